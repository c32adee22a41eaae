package http1

import (
	"bytes"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

const mostBody = 64

// Each shape is one that two readers on the way may take differently, or that takes memory without end. Taken for good, part
// of one client's request would be read as another's.
func TestShapesThatCouldSmuggleARequestAreRefused(t *testing.T) {
	get := "GET /k HTTP/1.1\r\nHost: n\r\n"
	put := "PUT /k HTTP/1.1\r\nHost: n\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"both lengths":           {put + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 400},
		"two lengths":            {put + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		"two lengths alike":      {put + "Content-Length: 3\r\ncontent-length: 3\r\n\r\nabc", 400},
		"a list of lengths":      {put + "Content-Length: 3, 3\r\n\r\nabc", 400},
		"a signed length":        {put + "Content-Length: +3\r\n\r\nabc", 400},
		"an empty length":        {put + "Content-Length:\r\n\r\n", 400},
		"a length of 3 GB":       {put + "Content-Length: 3221225472\r\n\r\n", 413},
		"a length that wraps":    {put + "Content-Length: 18446744073709551619\r\n\r\nabc", 400},
		"another coding":         {put + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"a disguised coding":     {put + "Transfer-Encoding: xchunked\r\n\r\n", 501},
		"two codings":            {put + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", 400},
		"a coding in 1.0":        {"PUT /k HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"a space before colon":   {put + "Content-Length : 3\r\n\r\nabc", 400},
		"a folded line":          {get + "X: a\r\n b\r\n\r\n", 400},
		"a bare line feed":       {"GET /k HTTP/1.1\nHost: n\n\n", 400},
		"a bare feed in headers": {get + "X: a\nContent-Length: 3\r\n\r\n", 400},
		"a bare return":          {get + "X: a\rContent-Length: 3\r\n\r\n", 400},
		"a null":                 {get + "X: a\x00b\r\n\r\n", 400},
		"no host":                {"GET /k HTTP/1.1\r\n\r\n", 400},
		"two hosts":              {get + "Host: m\r\n\r\n", 400},
		"two spaces":             {"GET  /k HTTP/1.1\r\nHost: n\r\n\r\n", 400},
		"a bad method":           {"G(T /k HTTP/1.1\r\nHost: n\r\n\r\n", 400},
		"another version":        {"GET /k HTTP/2.0\r\nHost: n\r\n\r\n", 505},
		"a long target":          {"GET /" + strings.Repeat("k", 5000) + " HTTP/1.1\r\n", 414},
		"10,000 headers":         {get + strings.Repeat("X: y\r\n", 10000) + "\r\n", 431},
		"a header without end":   {get + "X: " + strings.Repeat("y", 20000), 431},
		"an odd expectation":     {get + "Expect: tea\r\n\r\n", 417},
		"a signed chunk":         {put + "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n", 400},
		"a chunk in 0x":          {put + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400},
		"a chunk with a space":   {put + "Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n", 400},
		"a chunk too short":      {put + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400},
		"a chunk of 4 GB":        {put + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", 413},
		"a chunk that wraps":     {put + "Transfer-Encoding: chunked\r\n\r\n100000003\r\nabc\r\n", 400},
		"a trailer without end":  {put + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: y\r\n", 2000), 400},
	} {
		if _, size, fault := ReadRequest([]byte(c.text), mostBody); fault == nil || fault.Status != c.status || size != 0 {
			t.Errorf("%s: %v, size %d, want %d", name, fault, size, c.status)
		}
	}
}

// What is well formed is read whole, one request after another, and who waits for 100 is told so once.
func TestRequestsAreReadOneAfterAnother(t *testing.T) {
	text := "\r\nPUT /a?x=1 HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc" +
		"POST /b HTTP/1.1\r\nhost: n\r\ntransfer-encoding: Chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nT: v\r\n\r\n" +
		"GET /c HTTP/1.0\r\n\r\nHEAD /d HTTP/1.1\r\nHost: n\r\nConnection: x, Close\r\n\r\n"
	want := []string{"PUT /a?x=1 abc", "POST /b def", "GET /c  last", "HEAD /d  last"}
	for b := []byte(text); len(b) > 0; {
		q, size, fault := ReadRequest(b, mostBody)
		got := string(q.Method) + " " + string(q.Target) + " " + string(q.Body)
		if q.Close {
			got += " last"
		}
		if fault != nil || size == 0 || len(want) == 0 || got != want[0] {
			t.Fatalf("%q %v, want %v", got, fault, want)
		}
		b, want = b[size:], want[1:]
	}
	waits := []byte("PUT /a HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	if q, size, _ := ReadRequest(waits, mostBody); size != 0 || !q.Continue || q.TotalSize != len(waits)+3 {
		t.Errorf("%+v", q)
	}
	if q, _, _ := ReadRequest(append(waits, 'a'), mostBody); q.Continue {
		t.Error("it sends already")
	}
}

// Cut anywhere, a request reads as the whole does: it asks for more until it is there, and is refused at last where the whole
// is refused. Written again from its parts it reads alike.
func FuzzRequestsSplitAnywhereReadAlike(f *testing.F) {
	f.Add([]byte("PUT /a HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabcGET /"))
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n"))
	f.Add([]byte("GET /c HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"))
	f.Add([]byte("GET /c HTTP/1.1\nHost: n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, size, fault := ReadRequest(b, mostBody)
		var read Progress
		for n := range b {
			if kept, got, refused := read.ReadRequest(b[:n], mostBody); got > 0 || refused != nil { // piece by piece it is the same
				if refused == nil && (got != size || !bytes.Equal(kept.Body, whole.Body)) || refused != nil && fault == nil {
					t.Fatalf("%q in pieces reads as %d bytes (%v), the whole as %d (%v)", b[:n], got, refused, size, fault)
				}
				read = Progress{}
			}
			part, got, refused := ReadRequest(b[:n], mostBody)
			switch {
			case refused != nil && fault == nil:
				t.Fatalf("%q is refused (%v), with more it is not", b[:n], refused)
			case got > 0 && (got != size || !bytes.Equal(part.Body, whole.Body)):
				t.Fatalf("%q reads as %d bytes, the whole as %d", b[:n], got, size)
			}
		}
		if size == 0 || fault != nil {
			return
		}
		again := append(append(append([]byte(nil), whole.Method...), ' '), whole.Target...)
		again = append(again, " HTTP/1.1\r\n"...)
		host := false
		whole.Each(func(name, value []byte) {
			if l := strings.ToLower(string(name)); l != "content-length" && l != "transfer-encoding" && l != "connection" {
				host = host || l == "host"
				again = append(append(append(append(again, name...), ": "...), value...), crlf...)
			}
		})
		if !host {
			again = append(again, "Host: n\r\n"...)
		}
		again = append(again, "Content-Length: "...)
		again = strconv.AppendInt(again, int64(len(whole.Body)), 10)
		again = append(append(again, "\r\n\r\n"...), whole.Body...)
		q, n, refused := ReadRequest(again, mostBody)
		if refused != nil || n != len(again) || !bytes.Equal(q.Body, whole.Body) || !bytes.Equal(q.Target, whole.Target) {
			t.Fatalf("%q, written again as %q: %v", b[:size], again, refused)
		}
	})
}

// A client that sent 16,000 chunks of one byte, each by itself, took 14 s of the node's core within what a request may take to come.
func TestARequestsChunksAreLookedAtOnce(t *testing.T) {
	const chunks, one = 16000, "1\r\nx\r\n"
	head := "POST /a HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"
	b := []byte(head + strings.Repeat(one, chunks) + "0\r\n\r\n")
	var read Progress
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	size := 0
	for at := len(head) + len(one); size == 0; at = min(at+len(one), len(b)) {
		q, n, fault := read.ReadRequest(b[:at], 2*chunks)
		if fault != nil {
			t.Fatal(fault)
		}
		if size = n; size > 0 && (size != len(b) || len(q.Body) != chunks) {
			t.Fatalf("%d bytes with a body of %d", size, len(q.Body))
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / chunks; each > 1000 {
		t.Errorf("%d bytes were allocated for each chunk", each)
	}
}
