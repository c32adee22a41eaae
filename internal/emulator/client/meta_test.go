package client

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/emulator/checker"
)

func TestMetaCommandEncodesRequest(t *testing.T) {
	read := &Request{ID: "7", Key: "k", Class: "read", Timeout: 400 * time.Millisecond}
	if got, want := encodeMeta(read), "mg k v O7 Pc=read,d=400\r\n"; got != want {
		t.Errorf("read: got %q, want %q", got, want)
	}
	write := &Request{
		ID: "8", Key: "k", IdempotencyKey: "w", Class: "submit", Write: true, Retry: true, Value: "abc",
		Timeout: time.Microsecond,
	}
	if got, want := encodeMeta(write), "ms k 3 O8 Pc=submit,d=1,k=w,r=1\r\nabc\r\n"; got != want {
		t.Errorf("write: got %q, want %q", got, want)
	}
}

func unexpectedLine(line string) Response {
	reason := fmt.Sprintf("the response begins with the unexpected line %q", line)
	return Response{Final: checker.Failed, InvalidReason: reason}
}

// A line that no node may send used to count as a failed request, so that a node that sends one broke no rule.
func TestReadMetaClassifiesResponses(t *testing.T) {
	for text, want := range map[string]Response{
		"VA 2 O7\r\nok\r\n": {Final: checker.Satisfied, Value: "ok"},
		"VA 2 O9\r\nok\r\n": {
			Final:         checker.Satisfied,
			Value:         "ok",
			InvalidReason: `the response has the ID of request "9"`,
		},
		"VA 2 O7\r\nokay": {
			Final:         checker.Satisfied,
			Value:         "ok",
			InvalidReason: "the value is not followed by CRLF",
		},
		"SERVER_ERROR busy 20\r\n":   {Final: checker.Rejected, RetryAfter: 20 * time.Millisecond},
		"SERVER_ERROR busy\r\n":      {Final: checker.Rejected},
		"SERVER_ERROR timed out\r\n": {Final: checker.Failed},
		"CLIENT_ERROR id in use\r\n": {Final: checker.Failed},
		"HD O7\r\n":                  unexpectedLine("HD O7"), // the answer to a write, but the request is a read
		"EN\r\n":                     unexpectedLine("EN"),
		"ERROR\r\n":                  unexpectedLine("ERROR"),
		"SERVER_ERROR\r\n":           unexpectedLine("SERVER_ERROR"), // without a text
		"\r\n":                       unexpectedLine(""),
	} {
		got, err := readMeta(bufio.NewReader(strings.NewReader(text)), &Request{ID: "7"})
		if err != nil || got != want {
			t.Errorf("%q: got %+v, %v, want %+v", text, got, err, want)
		}
	}
	got, err := readMeta(bufio.NewReader(strings.NewReader("HD O8 cabc\r\n")), &Request{ID: "8", Write: true})
	if want := (Response{Final: checker.Satisfied, Value: "abc"}); err != nil || got != want {
		t.Errorf("write: got %+v, %v, want %+v", got, err, want)
	}
	for _, text := range []string{"", "VA 2 O7\r\nok", "VA x O7\r\n", "VA -1 O7\r\n"} {
		if got, err := readMeta(bufio.NewReader(strings.NewReader(text)), &Request{ID: "7"}); err == nil {
			t.Errorf("%q: got %+v, want an error", text, got)
		}
	}
}
