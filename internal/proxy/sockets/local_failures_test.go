package sockets

import (
	"testing"
	"time"
)

func TestPausesAfterLocalFailuresGrow(t *testing.T) {
	var f localFailures
	start := time.Now()
	for _, test := range []struct{ after, want time.Duration }{
		{0, minLocalPause},
		{minLocalPause, minLocalPause},
		{2 * minLocalPause, 2 * minLocalPause},
		{4 * minLocalPause, 4 * minLocalPause},
		{time.Hour, maxLocalPause},
	} {
		if got := f.pause("a", start.Add(test.after)); got != test.want {
			t.Errorf("%v after the first failure: %v, not %v", test.after, got, test.want)
		}
	}
	if got := f.pause("b", start.Add(time.Hour)); got != minLocalPause {
		t.Errorf("another address: %v", got)
	}
	f.forget("a")
	if got := f.pause("a", start.Add(time.Hour)); got != minLocalPause {
		t.Errorf("once it has been dialed: %v", got)
	}
}
