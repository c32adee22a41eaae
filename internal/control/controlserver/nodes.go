package controlserver

import (
	"sync"
	"sync/atomic"
	"time"

	"dahliapin/internal/control/replicatedlog"
)

const (
	beatEach    = 500 * time.Millisecond // a machine's sign of life where it has nothing else to say
	nodeSilence = 5 * time.Second        // after which a node's stream is dead
	entryBytes  = 64 << 10               // of entries in a frame
	behindBytes = 512 << 10              // that a node lacks, from which on it catches up, by the pace of all that do: a burst is less
	mostPace    = 100 * time.Millisecond // of pace that may be saved up
	callerStays = 30 * time.Second       // for who publishes to say something more
)

// pacer bounds what goes to all nodes that catch up.
type pacer struct {
	mu   sync.Mutex
	rate float64 // bytes a second
	free time.Time
}

// take tells how long to wait before so many bytes go.
func (p *pacer) take(bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if saved := now.Add(-mostPace); p.free.Before(saved) {
		p.free = saved
	}
	wait := p.free.Sub(now)
	p.free = p.free.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return wait
}

// serve takes a stream from a node, or from who publishes or asks.
func (m *Server) serve(l *line) {
	switch kind, err := greeted(l, m.File.Control.Label); {
	case err != nil:
		m.table.foreign.Add(1)
	case kind == kindNode:
		m.follow(l)
	case kind == kindCaller:
		m.answer(l)
	default:
		m.table.foreign.Add(1)
	}
}

// answer answers who publishes or asks.
func (m *Server) answer(l *line) {
	for {
		w, _, err := l.hear(callerStays)
		if err != nil {
			return
		}
		var out word
		switch w.Kind {
		case wordPublish:
			out = m.order(w)
		case wordAsk:
			out = m.table.all()
		default:
			return
		}
		if _, err := l.say(out, writeBy); err != nil {
			return
		}
	}
}

func (m *Server) order(w word) word {
	b, err := replicatedlog.DecodeBatch(w.Batch)
	for _, p := range b.Proposals {
		if err == nil {
			err = p.Check()
		}
	}
	var at []uint64
	if err == nil && len(b.Proposals) == 0 {
		err = replicatedlog.ErrProposal
	}
	if err == nil {
		at, err = m.publish(b.Proposals)
	}
	if err != nil {
		return word{Kind: wordRefused, Reason: err.Error()}
	}
	return word{Kind: wordOrdered, Indexes: at}
}

// stream is a node's, being delivered to.
type stream struct {
	*line
	acked atomic.Uint64
	nudge chan struct{} // something was acknowledged
	over  chan struct{}
}

// follow delivers to a node and hears up to where it has applied.
func (m *Server) follow(l *line) {
	hello, _, err := l.hear(greetBy)
	if err != nil || hello.Kind != wordHello || len(hello.Rows) != 1 || hello.Rows[0].Node == "" || len(hello.Rows[0].Node) > longestName {
		m.table.foreign.Add(1)
		return
	}
	s := &stream{line: l, nudge: make(chan struct{}, 1), over: make(chan struct{})}
	note := func(r row) bool {
		if r.Node != hello.Rows[0].Node || len(r.Reason) > longestReason {
			return false
		}
		r.Machine, r.AgoMs = m.id, 0
		s.acked.Store(r.Applied)
		m.table.note(r, m.Now())
		return true
	}
	note(hello.Rows[0])
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		defer l.Close()
		m.deliver(s, replicatedlog.LogID(hello.Log), replicatedlog.Index(hello.Rows[0].Applied), hello.Fresh)
	}()
	defer close(s.over)
	for {
		w, n, err := l.hear(nodeSilence)
		if err != nil || w.Kind != wordApplied || len(w.Rows) != 1 || !note(w.Rows[0]) {
			return
		}
		m.table.inBytes.Add(uint64(n))
		select {
		case s.nudge <- struct{}{}:
		default:
		}
	}
}

// deliver sends what follows an index, in order: so much unacknowledged at most, and by the pace of all where it lacks a lot.
func (m *Server) deliver(s *stream, log replicatedlog.LogID, sent replicatedlog.Index, anew bool) {
	begin := anew
	window := uint64(m.File.Bounds.WindowKB * (1 << 10))
	timer := time.NewTimer(0)
	defer timer.Stop()
	beat := true // the first word tells at once whether this machine is led
	said := time.Now()
	rest := func(fresh <-chan struct{}) (goes bool) {
		timer.Reset(time.Until(said.Add(beatEach))) // whatever is acknowledged meanwhile
		select {
		case <-timer.C:
			beat = true
		case <-fresh:
		case <-s.nudge:
		case <-s.over:
			return false
		case <-m.closed:
			return false
		}
		return true
	}
	for {
		fresh := *m.fresh.Load()
		w := word{Kind: wordEntries, Led: m.lead.Load().led}
		size, lacks := 0, uint64(0)
		m.mu.RLock()
		last := m.state.Last()
		if now := m.state.ID(); now == 0 {
			begin = false // nothing is known to be of the node's log, or for it to begin with
			last = 0
		} else if anew || log != now { // fresh, or from a log that is no more
			log, begin, anew = now, true, true
		}
		if w.Head = uint64(last); !begin && sent < last {
			lacks = m.state.Bytes(sent, last)
			if m.state.Bytes(replicatedlog.Index(s.acked.Load()), sent) < window {
				var is bool
				from := sent
				if w.Entries, sent, is = m.state.EntriesAfter(sent, entryBytes); !is {
					sent, begin = from, true
				}
				for _, e := range w.Entries {
					size += len(e)
				}
			}
		}
		fresher := false
		if begin {
			at, base := m.state.StartingPoint(anew)
			if fresher = at > sent || anew; fresher {
				w = word{Kind: wordBegin, Index: uint64(at), Log: uint64(log), Base: base, Head: uint64(last), Led: w.Led}
				sent = at
				s.acked.Store(uint64(at)) // what it had of another log is no measure
			}
			begin, anew = false, false
		}
		m.mu.RUnlock()
		if size == 0 && !fresher && !beat {
			if !rest(fresh) {
				return
			}
			continue
		}
		beat = false
		if lacks > behindBytes {
			if wait := m.pace.take(size); wait > 0 {
				select {
				case <-time.After(wait):
				case <-s.over:
					return
				case <-m.closed:
					return
				}
			}
		}
		said = time.Now()
		n, err := s.say(w, 2*writeBy)
		m.table.outBytes.Add(uint64(n))
		if err != nil {
			return
		}
	}
}
