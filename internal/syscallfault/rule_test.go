package syscallfault

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A rule that shortens the buffer of a call without one used to change another argument of the call.
func TestShortBufferNeedsACallWithABuffer(t *testing.T) {
	inject := func(rule Rule) (refused bool) {
		defer func() { refused = recover() != nil }()
		(&Tracer{}).Inject(rule)
		return false
	}
	for _, call := range []Call{
		Accept, NewSocket, Connect, Duplicate, EpollWait, EpollAdd, SetOption, GetOption, LocalName, RemoteName,
	} {
		if !inject(Rule{Call: call}) {
			t.Errorf("%s: a short buffer is not refused", call.Name)
		}
		if inject(Rule{Call: call, Errno: unix.EIO}) {
			t.Errorf("%s: an error is refused", call.Name)
		}
	}
	for _, call := range []Call{Read, Write, Receive} {
		if inject(Rule{Call: call}) {
			t.Errorf("%s: a short buffer is refused", call.Name)
		}
	}
}

// Each schedule is applied to twelve matching calls, one per millisecond.
func TestScheduleSelectsCalls(t *testing.T) {
	for _, test := range []struct {
		name     string
		schedule Schedule
		fail     string // one digit per call, 1 if it fails
	}{
		{"every call", Schedule{}, "111111111111"},
		{"first call only", Schedule{Limit: 1}, "100000000000"},
		{"every third call", Schedule{Every: 3}, "001001001001"},
		{"every third call, at most two", Schedule{Every: 3, Limit: 2}, "001001000000"},
		{"for 4 ms", Schedule{Duration: 4 * time.Millisecond}, "111110000000"},
		{"at least 2 ms apart", Schedule{MinInterval: 2 * time.Millisecond}, "101010101010"},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			i := &Injection{rule: Rule{Errno: unix.EIO, Schedule: test.schedule}, now: func() time.Time { return now }}
			got := ""
			for range test.fail {
				if i.due() {
					got += "1"
				} else {
					got += "0"
				}
				now = now.Add(time.Millisecond)
			}
			if got != test.fail {
				t.Errorf("failed calls are %s, want %s", got, test.fail)
			}
		})
	}
}
