package http1

import (
	"bytes"
	"runtime"
	"strings"
	"testing"
)

func FuzzAnswersSplitAnywhereReadAlike(f *testing.F) {
	for _, s := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Call-Id: a\r\n\r\nhello",
		"HTTP/1.1 503 No\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n", "HTTP/1.1 204 None\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "nonsense\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		want, size, err := ReadResponse(b, 1000, false)
		if size > len(b) || len(want.Body) > 1000 {
			t.Fatalf("%d of %d bytes, a body of %d", size, len(b), len(want.Body))
		}
		var read Progress
		for at := range b {
			got, n, wrong := ReadResponse(b[:at], 1000, false)
			if n == 0 && wrong == nil { // piece by piece it is the same
				if kept, m, bad := read.ReadResponse(b[:at], 1000, false); m != 0 || bad != nil || kept.Status != got.Status {
					t.Fatalf("%d of %q in pieces: %d %v", at, b, m, bad)
				}
			}
			if n != 0 && (n != size || got.Status != want.Status || !bytes.Equal(got.Body, want.Body)) || wrong != nil && err == nil {
				t.Fatalf("%d of %q: %d %v, whole: %d %v", at, b, n, wrong, size, err)
			}
		}
		if got, n, wrong := read.ReadResponse(b, 1000, false); n != size || (wrong == nil) != (err == nil) || !bytes.Equal(got.Body, want.Body) {
			t.Fatalf("%q in pieces: %d %v %q, whole: %d %v %q", b, n, wrong, got.Body, size, err, want.Body)
		}
	})
}

// A list of 1 MB that came in chunks and pieces of 1,000 bytes was copied anew with each piece: 2.4 s of a core.
func TestChunksThatComeInPiecesAreLookedAtOnce(t *testing.T) {
	const chunk, chunks, head = 1000, 1000, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	one := "3e8\r\n" + strings.Repeat("x", chunk) + "\r\n"
	whole := []byte(head + strings.Repeat(one, chunks) + "0\r\n\r\n")
	var read Progress
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	size := 0
	for at := len(one); size == 0; at = min(at+len(one), len(whole)) {
		a, n, err := read.ReadResponse(whole[:at], 2*chunk*chunks, false)
		if err != nil {
			t.Fatal(err)
		}
		if size = n; size > 0 && (size != len(whole) || len(a.Body) != chunk*chunks) {
			t.Fatalf("%d bytes with a body of %d", size, len(a.Body))
		}
	}
	runtime.ReadMemStats(&after)
	if bytes := after.TotalAlloc - before.TotalAlloc; bytes > 2*chunk*chunks {
		t.Errorf("%d bytes were allocated for a body of %d", bytes, chunk*chunks)
	}
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		in     string
		ended  bool
		status int
		body   string
		last   bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP", false, 200, "hello", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", false, 200, "abcde", false},
		{"HTTP/1.1 500 Oh\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false, 500, "", true},
		{"HTTP/1.0 200 OK\r\n\r\nrest", true, 200, "rest", true},
		{"HTTP/1.0 200 OK\r\n\r\nrest", false, 0, "", false},
	} {
		a, size, err := ReadResponse([]byte(c.in), 100, c.ended)
		if err != nil || (size > 0) != (c.status > 0) || size > 0 && (a.Status != c.status || string(a.Body) != c.body || a.Close != c.last) {
			t.Errorf("%q: %v %d %v", c.in, a, size, err)
		}
	}
}

// One with two lengths was served by the first of them: 49 values cut to three bytes on one day.
func TestWhatCantBeReadIsToldAtOnce(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, bad := range []string{"\x8c", "HTTP/2", "HTTP/1.1 20x OK\r\n", "HTTP/1.1 2000\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1_200_OK\r\n",
		ok + "no colon\r\n", ok + "Content-Length : 5\r\n", ok + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
		ok + "Content-Length: -5\r\n\r\n", ok + "Content-Length: +5\r\n\r\n", ok + "Content-Length: 3221225472\r\n\r\n",
		ok + "Content-Length:\r\n\r\n", ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		ok + "Transfer-Encoding: zip\r\n\r\n", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("T: 1\r\n", maxHead),
		ok + strings.Repeat("x", maxHead), ok + strings.Repeat("X: y\r\n", maxHead), strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", maxHead)} {
		if a, size, err := ReadResponse([]byte(bad), 100, false); err == nil {
			t.Errorf("%.90q: %v, %d", bad, a, size)
		}
	}
	const twice = ok + "content-length: 5\r\nContent-Length: 5\r\nX-Load-Report: \x01\xff=,\r\n\r\nhello"
	if a, _, err := ReadResponse([]byte(strings.Repeat("HTTP/1.1 103 Hint\r\nA: b\r\n\r\n", 3)+twice), 100, false); err != nil || string(a.Body) != "hello" {
		t.Errorf("%v %v", a, err)
	}
}

func TestRequest(t *testing.T) {
	got := string(AppendRequest(nil, "PUT", AppendPath(nil, []byte("obj:a%b?c")), "h:1", []byte("A: b\r\n"), []byte("xy")))
	if want := "PUT /obj:a%25b%3Fc HTTP/1.1\r\nHost: h:1\r\nA: b\r\nContent-Length: 2\r\n\r\nxy"; got != want {
		t.Errorf("%q", got)
	}
}
