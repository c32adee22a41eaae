package gossip

import (
	"encoding/json"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"dahliapin/internal/membership/trace"
	"dahliapin/internal/monotime"
)

const traceAhead = 4096 // lines that may wait for who keeps them; more are dropped, as nothing is to wait

// BootTime reads the clock that all processes of a machine share, and that runs on through a suspend.
func BootTime() monotime.Instant {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return monotime.Instant(t.Nano())
}

// tracer hands lines over without waiting. Who still has something to say after its end says it to nobody.
type tracer struct {
	lines chan trace.Line
	end   chan struct{}
	done  chan struct{}
	lost  atomic.Uint64
}

func newTracer(keep func([]byte)) *tracer {
	if keep == nil {
		return nil
	}
	t := &tracer{lines: make(chan trace.Line, traceAhead), end: make(chan struct{}), done: make(chan struct{})}
	tell := func(l trace.Line) {
		l.Lost = t.lost.Load()
		if text, err := json.Marshal(l); err == nil {
			keep(append(text, '\n'))
		}
	}
	go func() {
		defer close(t.done)
		for {
			select {
			case l := <-t.lines:
				tell(l)
			case <-t.end:
				for len(t.lines) > 0 {
					tell(<-t.lines)
				}
				return
			}
		}
	}()
	return t
}

func (t *tracer) say(l trace.Line) {
	if t == nil {
		return
	}
	select {
	case t.lines <- l:
	default:
		t.lost.Add(1)
	}
}

func (t *tracer) close() {
	if t != nil {
		close(t.end)
		<-t.done
	}
}
