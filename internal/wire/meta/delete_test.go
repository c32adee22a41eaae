package meta

import "testing"

func TestAppendDelete(t *testing.T) {
	if got := string(AppendDelete(nil, []byte("k"), 255)); got != "md k Off\r\n" {
		t.Errorf("%q", got)
	}
}

func TestReadDeleteResponse(t *testing.T) {
	for _, test := range []struct {
		name, text string
		id         uint64
		flushed    bool
		size       int
		invalid    bool
	}{
		{name: "deleted, and the next", text: "HD Off\r\nHD", id: 255, size: 8},
		{name: "not found", text: "NF O1\r\n", id: 1, size: 7},
		{name: "another flag", text: "HD k1 O1\r\n", id: 1, size: 10},
		{name: "flushed", text: "OK\r\n", flushed: true, size: 4},
		{name: "nothing yet", text: ""},
		{name: "first byte", text: "H"},
		{name: "no line end yet", text: "NF O"},
		{name: "no id", text: "HD\r\n", invalid: true},
		{name: "id that is not a number", text: "HD Oxyz\r\n", invalid: true},
		{name: "response to another command", text: "EN O1\r\n", invalid: true},
		{name: "garbage", text: "\x8c\xa1", invalid: true},
		{name: "rejected", text: "SERVER_ERROR busy\r\n", invalid: true},
		{name: "error", text: "ERROR\r\n", invalid: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			id, flushed, size, err := ReadDeleteResponse([]byte(test.text))
			if id != test.id || flushed != test.flushed || size != test.size || (err != nil) != test.invalid {
				t.Errorf("%q: %d, %t, %d, %v", test.text, id, flushed, size, err)
			}
		})
	}
}
