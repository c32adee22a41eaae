package http1

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"dahliapin/internal/golden"
)

func TestMessagesMatchGoldenFile(t *testing.T) {
	var got strings.Builder
	printRequests(&got)
	printResponses(&got)
	printWritten(&got)
	golden.Check(t, "messages.txt", []byte(got.String()))
}

func printRequests(out io.Writer) {
	for _, text := range []string{
		"GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n",
		"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"GET /a HTTP/1.0\r\n\r\n",
		"GET /a HTTP/1.1\r\n\r\n",
		"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"GET /a HT",
		"GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\nHost: h\n\n",
		"GET /" + strings.Repeat("a", 20000) + " HTTP/1.1\r\n\r\n",
		"PUT /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
	} {
		q, size, fault := ReadRequest([]byte(text), 1000)
		fmt.Fprintf(out, "request %.60q: %q %q host %q body %q size %d fault %v\n", text, q.Method, q.Target,
			q.Header("Host"), q.Body, size, fault)
		q.Each(func(name, value []byte) { fmt.Fprintf(out, "  %q %q\n", name, value) })
	}
}

func printResponses(out io.Writer) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nto the end",
		"HTTP/1.1 429 Too Many\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 20",
		"SSH-2.0\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
	} {
		for _, ended := range []bool{false, true} {
			r, size, err := ReadResponse([]byte(text), 1000, ended)
			fmt.Fprintf(out, "answer %.60q ended %v: %d body %q size %d %v\n", text, ended, r.Status, r.Body, size, err)
			r.Each(func(name, value []byte) { fmt.Fprintf(out, "  %q %q\n", name, value) })
		}
	}
}

func printWritten(out io.Writer) {
	for _, b := range [][]byte{
		AppendRequest(nil, "GET", []byte("/a"), "host:1", nil, nil),
		AppendRequest(nil, "PUT", []byte("/a"), "host:1", []byte("X-A: 1\r\n"), []byte("body")),
		AppendPath(nil, []byte("a b/c?d%e")),
		AppendTarget(nil, []byte("a b/c?d%e")),
		AppendResponseHead(nil, 200, "", 5, false),
		AppendResponseHead(nil, 503, "Date: x\r\n", 0, true, "Retry-After: 1"),
		AppendResponseHead(nil, 304, "", NoBody, false, "Etag: x", "Vary: y"),
		AppendResponseHead(nil, 429, "", 0, false),
		AppendResponseHead(nil, 204, "", NoBody, true),
	} {
		fmt.Fprintf(out, "written %q\n", b)
	}
}
