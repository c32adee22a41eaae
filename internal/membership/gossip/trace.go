package gossip

import (
	"encoding/json"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"dahliapin/internal/membership/trace"
	"dahliapin/internal/monotime"
)

// maxQueuedLines limits the trace lines that are queued; further lines are dropped and counted, so that the trace
// blocks nothing.
const maxQueuedLines = 4096

// BootTime reads the clock that all processes of a machine share and that continues through a system suspend.
func BootTime() monotime.Instant {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return monotime.Instant(t.Nano())
}

// tracer passes lines to a function on a separate goroutine. Lines that are added after close are lost, as the library
// may still report changes then. A nil tracer discards all lines.
type tracer struct {
	lines   chan trace.Line
	ended   chan struct{} // closed by close
	done    chan struct{} // closed once the last line has been written
	dropped atomic.Uint64
	write   func([]byte)
}

func newTracer(write func([]byte)) *tracer {
	if write == nil {
		return nil
	}
	t := &tracer{
		lines: make(chan trace.Line, maxQueuedLines),
		ended: make(chan struct{}),
		done:  make(chan struct{}),
		write: write,
	}
	go t.run()
	return t
}

func (t *tracer) run() {
	defer close(t.done)
	for {
		select {
		case line := <-t.lines:
			t.emit(line)
		case <-t.ended:
			for len(t.lines) > 0 {
				t.emit(<-t.lines)
			}
			return
		}
	}
}

func (t *tracer) emit(line trace.Line) {
	line.Dropped = t.dropped.Load()
	if text, err := json.Marshal(line); err == nil {
		t.write(append(text, '\n'))
	}
}

// add queues a line, or drops and counts it if the queue is full.
func (t *tracer) add(line trace.Line) {
	if t == nil {
		return
	}
	select {
	case t.lines <- line:
	default:
		t.dropped.Add(1)
	}
}

// close waits until the queued lines are written.
func (t *tracer) close() {
	if t != nil {
		close(t.ended)
		<-t.done
	}
}

// writeTrace adds a line of this node to the trace.
func (n *Node) writeTrace(line trace.Line) {
	line.At = n.Now()
	line.Node = n.Name
	line.Process = hexID(n.process)
	n.tracer.add(line)
}

// traceTraffic traces the bytes of all datagrams sent and received so far.
func (n *Node) traceTraffic() {
	counters := &n.transport.counters
	n.writeTrace(trace.Line{
		Kind:     trace.Traffic,
		BytesOut: counters.outBytes.Load(),
		BytesIn:  counters.inBytes.Load(),
	})
}
