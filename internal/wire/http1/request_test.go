package http1

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

const testMaxBody = 64

// Guards against serving requests that two parsers on the path may interpret differently, so that part of one client's
// request is taken for another's (request smuggling), and requests that use unbounded memory.
func TestAmbiguousOrUnboundedRequestsAreRejected(t *testing.T) {
	get := "GET /k HTTP/1.1\r\nHost: n\r\n"
	put := "PUT /k HTTP/1.1\r\nHost: n\r\n"
	chunked := put + "Transfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
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
		"a signed chunk":         {chunked + "+3\r\nabc\r\n0\r\n\r\n", 400},
		"a chunk in 0x":          {chunked + "0x3\r\nabc\r\n0\r\n\r\n", 400},
		"a chunk with a space":   {chunked + "3 \r\nabc\r\n0\r\n\r\n", 400},
		"a chunk too short":      {chunked + "3\r\nabcd\r\n0\r\n\r\n", 400},
		"a chunk of 4 GB":        {chunked + "ffffffff\r\n", 413},
		"a chunk that wraps":     {chunked + "100000003\r\nabc\r\n", 400},
		"a trailer without end":  {chunked + "0\r\n" + strings.Repeat("X: y\r\n", 2000), 400},
	} {
		t.Run(name, func(t *testing.T) {
			_, size, fault := ReadRequest([]byte(test.text), testMaxBody)
			if fault == nil || fault.Status != test.status || size != 0 {
				t.Errorf("%v, size %d, want %d", fault, size, test.status)
			}
		})
	}
}

func TestPipelinedRequestsAreReadInOrder(t *testing.T) {
	text := "\r\nPUT /a?x=1 HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc" +
		"POST /b HTTP/1.1\r\nhost: n\r\ntransfer-encoding: Chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nT: v\r\n\r\n" +
		"GET /c HTTP/1.0\r\n\r\nHEAD /d HTTP/1.1\r\nHost: n\r\nConnection: x, Close\r\n\r\n"
	want := []string{"PUT /a?x=1 abc", "POST /b def", "GET /c  last", "HEAD /d  last"}
	for b := []byte(text); len(b) > 0; {
		q, size, fault := ReadRequest(b, testMaxBody)
		got := string(q.Method) + " " + string(q.Target) + " " + string(q.Body)
		if q.Close {
			got += " last"
		}
		if fault != nil || size == 0 || len(want) == 0 || got != want[0] {
			t.Fatalf("%q %v, want %v", got, fault, want)
		}
		b = b[size:]
		want = want[1:]
	}
}

// Continue is set while a client waits for status 100, until its body begins.
func TestContinueIsSetUntilTheBodyBegins(t *testing.T) {
	head := []byte("PUT /a HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	if q, size, _ := ReadRequest(head, testMaxBody); size != 0 || !q.Continue || q.TotalSize != len(head)+3 {
		t.Errorf("%+v", q)
	}
	if q, _, _ := ReadRequest(append(head, 'a'), testMaxBody); q.Continue {
		t.Error("Continue is set although the body has begun")
	}
}

// A request that is split at any position must be read like the whole: it is incomplete until all of it has been
// received, and is rejected if the whole is rejected. Written again from its parts, it must be read as the same
// request.
func FuzzRequestsSplitAnywhereReadAlike(f *testing.F) {
	f.Add([]byte("PUT /a HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabcGET /"))
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n"))
	f.Add([]byte("GET /c HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"))
	f.Add([]byte("GET /c HTTP/1.1\nHost: n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, wholeSize, wholeFault := ReadRequest(b, testMaxBody)
		var progress Progress
		for n := range b {
			inPieces, size, fault := progress.ReadRequest(b[:n], testMaxBody)
			if size > 0 || fault != nil {
				if fault == nil && (size != wholeSize || !bytes.Equal(inPieces.Body, whole.Body)) ||
					fault != nil && wholeFault == nil {
					t.Fatalf("%q in pieces reads as %d bytes (%v), the whole as %d (%v)", b[:n], size, fault,
						wholeSize, wholeFault)
				}
				progress = Progress{}
			}
			part, size, fault := ReadRequest(b[:n], testMaxBody)
			switch {
			case fault != nil && wholeFault == nil:
				t.Fatalf("%q is rejected (%v), but is accepted with more bytes", b[:n], fault)
			case size > 0 && (size != wholeSize || !bytes.Equal(part.Body, whole.Body)):
				t.Fatalf("%q reads as %d bytes, the whole as %d", b[:n], size, wholeSize)
			}
		}
		if wholeSize == 0 || wholeFault != nil {
			return
		}
		again := rewriteRequest(&whole)
		q, n, fault := ReadRequest(again, testMaxBody)
		isSame := bytes.Equal(q.Body, whole.Body) && bytes.Equal(q.Target, whole.Target)
		if fault != nil || n != len(again) || !isSame {
			t.Fatalf("%q, written again as %q: %v", b[:wholeSize], again, fault)
		}
	})
}

// rewriteRequest writes a request from its parts, with a Content-Length and at least one Host header.
func rewriteRequest(q *Request) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\n", q.Method, q.Target)
	hasHost := false
	q.Each(func(name, value []byte) {
		switch strings.ToLower(string(name)) {
		case "content-length", "transfer-encoding", "connection":
			return
		case "host":
			hasHost = true
		}
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	})
	if !hasHost {
		text.WriteString("Host: n\r\n")
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(q.Body), q.Body)
	return text.Bytes()
}

// Guards against parsing a chunked body again for each piece: a client that sent 16,000 chunks of one byte separately
// used 14 s of CPU time of the node within the time limit for receiving a request.
func TestRequestChunksAreReadOnce(t *testing.T) {
	const chunks, chunk = 16000, "1\r\nx\r\n"
	head := "POST /a HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"
	b := []byte(head + strings.Repeat(chunk, chunks) + "0\r\n\r\n")
	var progress Progress
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	size := 0
	for at := len(head) + len(chunk); size == 0; at = min(at+len(chunk), len(b)) {
		q, n, fault := progress.ReadRequest(b[:at], 2*chunks)
		if fault != nil {
			t.Fatal(fault)
		}
		size = n
		if size > 0 && (size != len(b) || len(q.Body) != chunks) {
			t.Fatalf("%d bytes with a body of %d", size, len(q.Body))
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / chunks; each > 1000 {
		t.Errorf("%d bytes were allocated for each chunk", each)
	}
}
