package client

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/emulator/checker"
)

func TestMetaCommands(t *testing.T) {
	read := &Request{ID: "7", Key: "k", Class: "read", Timeout: 400 * time.Millisecond}
	if got := metaCommand(read); got != "mg k v O7 Pc=read,d=400\r\n" {
		t.Errorf("%q", got)
	}
	write := &Request{
		ID: "8", Key: "k", IdempotencyKey: "w", Class: "submit", Write: true, Retry: true, Value: "abc",
		Timeout: time.Microsecond,
	}
	if got := metaCommand(write); got != "ms k 3 O8 Pc=submit,d=1,k=w,r=1\r\nabc\r\n" {
		t.Errorf("%q", got)
	}
}

func TestMetaResponses(t *testing.T) {
	for text, want := range map[string]Response{
		"VA 2 O7\r\nok\r\n":          {Final: checker.Satisfied, Value: "ok"},
		"VA 2 O9\r\nok\r\n":          {Final: checker.Satisfied, Value: "ok", InvalidReason: `the answer names request "9"`},
		"VA 2 O7\r\nokay":            {Final: checker.Satisfied, Value: "ok", InvalidReason: "a value does not end where it should"},
		"SERVER_ERROR busy 20\r\n":   {Final: checker.Rejected, RetryAfter: 20 * time.Millisecond},
		"SERVER_ERROR busy\r\n":      {Final: checker.Rejected},
		"SERVER_ERROR timed out\r\n": {Final: checker.Failed},
		"HD O7\r\n":                  {Final: checker.Failed},
		"EN\r\n":                     {Final: checker.Failed},
	} {
		got, err := readMeta(bufio.NewReader(strings.NewReader(text)), &Request{ID: "7"})
		if err != nil || got != want {
			t.Errorf("%q: %+v, %v", text, got, err)
		}
	}
	got, err := readMeta(bufio.NewReader(strings.NewReader("HD O8 cabc\r\n")), &Request{ID: "8", Write: true})
	if want := (Response{Final: checker.Satisfied, Value: "abc"}); err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	for _, text := range []string{"", "VA 2 O7\r\nok", "VA x O7\r\n", "VA -1 O7\r\n"} {
		if got, err := readMeta(bufio.NewReader(strings.NewReader(text)), &Request{ID: "7"}); err == nil {
			t.Errorf("%q: %+v", text, got)
		}
	}
}
