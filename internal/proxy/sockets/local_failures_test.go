package sockets

import (
	"testing"
	"time"
)

func TestDelaysAfterLocalFailuresGrow(t *testing.T) {
	var f localFailures
	start := time.Now()
	for _, test := range []struct{ after, want time.Duration }{
		{0, minFailureDelay},
		{minFailureDelay, minFailureDelay},
		{2 * minFailureDelay, 2 * minFailureDelay},
		{4 * minFailureDelay, 4 * minFailureDelay},
		{time.Hour, maxFailureDelay},
	} {
		if got := f.delay("a", start.Add(test.after)); got != test.want {
			t.Errorf("%v after the first failure: delay %v, want %v", test.after, got, test.want)
		}
	}
	if got := f.delay("b", start.Add(time.Hour)); got != minFailureDelay {
		t.Errorf("first failure of another address: delay %v", got)
	}
	f.forget("a")
	if got := f.delay("a", start.Add(time.Hour)); got != minFailureDelay {
		t.Errorf("first failure after a successful dial: delay %v", got)
	}
}
