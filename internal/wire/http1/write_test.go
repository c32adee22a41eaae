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
