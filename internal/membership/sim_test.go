package membership_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/membership"
	"dahliapin/internal/membership/trace"
	"dahliapin/internal/monotime"
	"dahliapin/internal/timerqueue"
)

const (
	step     = 50 * time.Millisecond
	pause    = 2 * time.Second
	fanOut   = 4 // as the library has it: each 100 ms to so many, some rounds long
	rounds   = 8
	onTheWay = time.Millisecond
)

var terms = membership.NewConfig(membership.Spans{
	Pause:     pause,
	Heartbeat: 300 * time.Millisecond,
	Rejoin:    2 * time.Second,
	Loop:      time.Second,
	Forget:    time.Minute,
}, 4000)

// sim plays books in virtual time: the decisions as in service, on a network of the go-between's faults, with gossip like the library's.
type sim struct {
	now    monotime.Instant
	nodes  []*simNode
	faults *netfault.Faults
	queue  timerqueue.Queue[func()]
	chance keyhash.Source
	views  *checker.Views
	made   uint64
	broken func(*membership.Detector)
	ticks  int
	byAddr map[string]*simNode

	recorder *recorder // nil: nothing is recorded
}

type simNode struct {
	s       *sim
	number  int
	name    string
	process *simProcess // nil while none runs
	stopped bool
	hangs   bool
	waiting []func(*simProcess) // messages that came while it stood still
}

type simProcess struct {
	n     *simNode
	book  *membership.Detector
	words map[membership.ProcessID]membership.Statement
	fresh map[membership.ProcessID]int // rounds still to go
	shown uint64
	cut   bool
	turns uint64
	addr  string
}

func newSim(nodes int, seed uint32, broken func(*membership.Detector)) *sim {
	s := &sim{now: 1, faults: netfault.New(seed), chance: keyhash.Source{Seed: seed}, views: checker.NewViews(nodes), broken: broken, byAddr: map[string]*simNode{}}
	for n := range nodes {
		s.nodes = append(s.nodes, &simNode{s: s, number: n, name: checker.NameOf(n)})
	}
	for _, n := range s.nodes {
		n.start()
	}
	return s
}

func addrOf(n int) string { return fmt.Sprintf("10.0.0.%d:7946", n+1) }

func (n *simNode) start() {
	s := n.s
	s.made++
	id := membership.ProcessID(keyhash.Mix(s.made<<20^uint64(s.chance.Seed)) | 1)
	p := &simProcess{n: n, words: map[membership.ProcessID]membership.Statement{}, fresh: map[membership.ProcessID]int{}, addr: addrOf(n.number)}
	p.book = membership.New(terms, id, membership.NodeName(n.name), p.addr, []string{addrOf(0), addrOf(1), addrOf(2)})
	if s.broken != nil {
		s.broken(p.book)
	}
	n.process, n.stopped, n.waiting, s.byAddr[p.addr] = p, false, nil, n
	for _, o := range []int{0, 1, 2} {
		s.at(onTheWay, func() { p.sync(addrOf(o)) })
	}
	s.views.Truth(s.now, n.name, true, true)
}

func (n *simNode) kill() {
	n.process, n.waiting = nil, nil
	n.s.views.Truth(n.s.now, n.name, false, false)
}

func (n *simNode) stop(yes bool) {
	if n.process == nil || n.stopped == yes {
		return
	}
	n.stopped = yes
	n.s.views.Truth(n.s.now, n.name, !yes, false)
	if !yes {
		late := n.waiting
		n.waiting = nil
		n.process.look() // the worst order: what it missed is not read yet
		if n.process == nil {
			return
		}
		for _, f := range late {
			f(n.process)
		}
	}
}

func (s *sim) cut(from, to int, yes bool) {
	s.faults.Change(from, to, func(w *netfault.Way) { w.Cut = yes })
	s.views.Cut(s.now, from, to, yes)
}

func (s *sim) at(in time.Duration, do func()) { s.queue.Push(s.now.Add(in), do) }

// send has a datagram come to whoever has an address then.
func (p *simProcess) send(addr string, hear func(*simProcess)) {
	s := p.n.s
	if to := s.byAddr[addr]; to != nil && to != p.n {
		for _, late := range s.faults.Fate(p.n.number, to.number) {
			s.at(onTheWay+late, func() {
				switch {
				case to.process == nil:
				case to.stopped:
					if len(to.waiting) < 500 {
						to.waiting = append(to.waiting, hear)
					}
				default:
					hear(to.process)
				}
			})
		}
	}
}

func (p *simProcess) told(w membership.Statement) {
	if p.book.Merge(w) {
		p.words[w.Process], p.fresh[w.Process] = w, rounds
	}
}

// sync exchanges all that both have heard, where streams come through.
func (p *simProcess) sync(addr string) {
	s := p.n.s
	if to := s.byAddr[addr]; to != nil && to.process != nil && !to.stopped && to.process != p && p.n.process == p {
		if _, stands := s.faults.Piece(p.n.number, to.number); stands {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(p.words)) {
			to.process.told(p.words[id])
		}
		for _, id := range slices.Sorted(maps.Keys(to.process.words)) {
			p.told(to.process.words[id])
		}
		p.book.SyncCompleted()
		to.process.book.SyncCompleted()
	}
}

func (p *simProcess) look() {
	s := p.n.s
	if !p.n.hangs {
		p.turns++
	}
	p.book.LoopAdvanced(p.turns)
	do := p.book.Tick(s.now)
	if s.recorder != nil {
		s.recorder.ticked(time.Duration(s.now), p.book, do)
	}
	if own, isNew := p.book.OwnStatement(); isNew {
		if s.recorder != nil {
			s.recorder.stated(own)
		}
		p.words[own.Process], p.fresh[own.Process] = own, rounds
	}
	hello := func(to []string, h membership.Heartbeat) {
		for _, a := range to {
			p.send(a, func(o *simProcess) { o.book.OnHeartbeat(h) })
		}
	}
	hello(do.HeartbeatTo, do.Heartbeat)
	hello(do.ReplyTo, do.Heartbeat)
	asks := do.Heartbeat
	asks.WantsReply = true
	hello(do.ProbeTo, asks)
	if do.SyncWith != "" {
		s.at(onTheWay, func() { p.sync(do.SyncWith) })
	}
	if s.ticks%2 == 0 {
		for _, id := range slices.Sorted(maps.Keys(p.fresh)) { // by order, as each draws chance
			w, left := p.words[id], p.fresh[id]
			for range fanOut {
				if to := s.nodes[int(s.chance.Float64()*float64(len(s.nodes)))]; to != p.n {
					p.send(addrOf(to.number), func(o *simProcess) { o.told(w) })
				}
			}
			if p.fresh[id] = left - 1; left <= 1 {
				delete(p.fresh, id)
			}
		}
	}
	if p.book.NameConflict() != nil {
		p.n.kill()
		return
	}
	if v := p.book.View(); v.Number != p.shown || v.CutOff != p.cut {
		p.shown, p.cut = v.Number, v.CutOff
		l := trace.Line{Node: p.n.name, What: trace.View, Process: fmt.Sprint(v.Own), Number: v.Number, Cut: v.CutOff}
		for _, n := range v.Nodes {
			l.Members = append(l.Members, string(n))
		}
		s.views.Heard(s.now, l)
	}
}

// run goes on for a while.
func (s *sim) run(long time.Duration) {
	for end := s.now.Add(long); s.now < end; s.ticks++ {
		for i, n := range s.nodes {
			s.queue.Push(s.now.Add(time.Duration(i)*step/time.Duration(len(s.nodes))), func() {
				if n.process != nil && !n.stopped {
					n.process.look()
				}
			})
		}
		next := s.now.Add(step)
		for {
			at, any := s.queue.Next()
			if !any || at >= next {
				break
			}
			do, _ := s.queue.PopDue(at)
			s.now = max(s.now, at)
			do()
		}
		s.now = next
	}
}

// verdict is the judge's, who sees what nodes wrote and what befell them.
func (s *sim) verdict() *checker.Verdict { return s.views.Judge(trace.View, pause, s.now) }
