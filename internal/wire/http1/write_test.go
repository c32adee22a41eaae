package http1

import "testing"

func TestAppendRequest(t *testing.T) {
	path := AppendPath(nil, []byte("obj:a%b?c"))
	got := string(AppendRequest(nil, "PUT", path, "h:1", []byte("A: b\r\n"), []byte("xy")))
	want := "PUT /obj:a%25b%3Fc HTTP/1.1\r\nHost: h:1\r\nA: b\r\nContent-Length: 2\r\n\r\nxy"
	if got != want {
		t.Errorf("%q", got)
	}
}

// Guards against a body that is written behind a request without a length: the server read it as a request of its own,
// and its response was taken for the one to the next request on the connection (request smuggling). Every request that
// is written must be read as one request with the same body, whatever its method.
func TestEveryWrittenRequestIsReadAsOne(t *testing.T) {
	const body = "PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for _, method := range []string{"GET", "HEAD", "PUT", "POST", "DELETE"} {
		for _, content := range []string{"", "x", body} {
			b := AppendRequest(nil, method, []byte("/a"), "h", []byte("A: b\r\n"), []byte(content))
			request, size, fault := ReadRequest(b, testMaxBody)
			if fault != nil || size != len(b) || string(request.Body) != content {
				t.Errorf("%s with %q: %d of %d bytes are read, with the body %q, %v", method, content, size, len(b),
					request.Body, fault)
			}
		}
	}
}
