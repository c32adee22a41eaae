package controlserver

import (
	"net"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/keyhash"
)

const (
	mostPeerStreams = 32                     // from other control machines at once: each has one, and some that are about to end
	mostCallers     = 64                     // who publish or ask at once
	mostOutbox      = 4096                   // raft's messages that wait for a stream; more are dropped, raft sends them again
	frameOfRaft     = 1 << 20                // bytes of raft's messages that go together
	peerSilence     = 5 * time.Second        // a control machine says something each 300 ms: after so long its stream is dead
	leastAgain      = 50 * time.Millisecond  // before a stream is opened again, at first
	mostAgain       = 2 * time.Second        // and later: jittered from 0
	refusedRest     = 200 * time.Millisecond // after a failure to accept, as for want of descriptors
)

// conns are all streams that are open, to be closed at the end.
type conns struct {
	mu   sync.Mutex
	all  map[net.Conn]bool
	over bool
}

// hold keeps a stream, or closes it where all has ended.
func (c *conns) hold(s net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		_ = s.Close()
		return false
	}
	c.all[s] = true
	return true
}

func (c *conns) release(s net.Conn) {
	c.mu.Lock()
	delete(c.all, s)
	c.mu.Unlock()
	_ = s.Close()
}

func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	for s := range c.all {
		_ = s.Close()
	}
}

// accept takes streams, so many at once.
func (m *Server) accept(l net.Listener, most int, take func(*line)) {
	defer m.done.Done()
	slots := make(chan struct{}, most)
	for {
		c, err := l.Accept()
		if err != nil {
			select {
			case <-m.closed:
				return
			case <-time.After(refusedRest):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			m.table.turnedAway.Add(1)
			_ = c.Close()
			continue
		}
		if !m.conns.hold(c) {
			return
		}
		m.done.Add(1)
		go func() {
			defer m.done.Done()
			defer func() { <-slots }()
			defer m.conns.release(c)
			take(newLine(c, longestFrame))
		}()
	}
}

// peer sends to another control machine.
type peer struct {
	fleetconfig.Machine
	m      *Server
	out    chan *pb.Message
	chance keyhash.Source
}

func newPeer(m *Server, other fleetconfig.Machine) *peer {
	p := &peer{Machine: other, m: m, out: make(chan *pb.Message, mostOutbox), chance: keyhash.Source{Seed: uint32(keyhash.Salted(m.id, int(other.ID)))}}
	m.done.Add(1)
	go p.run()
	return p
}

// send queues a message, in the loop. What finds no room is lost, as on any network.
func (p *peer) send(out *pb.Message) {
	select {
	case p.out <- out:
	default:
		p.lost(out)
	}
}

// lost tells raft, in the loop, that a message did not go.
func (p *peer) lost(out *pb.Message) {
	p.m.raw.ReportUnreachable(p.ID)
	if out != nil && out.GetType() == pb.MsgSnap {
		p.m.raw.ReportSnapshot(p.ID, raft.SnapshotFailure)
	}
}

// run keeps a stream open and sends what is queued.
func (p *peer) run() {
	defer p.m.done.Done()
	for tries := 0; ; tries++ {
		if began := time.Now(); tries > 0 {
			wait := time.Duration(p.chance.Float64() * float64(min(mostAgain, leastAgain<<min(tries, 8))))
			for wait > 0 { // what is queued meanwhile is old by then
				select {
				case out := <-p.out:
					p.m.call(func() { p.lost(out) })
				case <-time.After(wait):
				case <-p.m.closed:
					return
				}
				wait -= time.Since(began)
				began = time.Now()
			}
		}
		select {
		case <-p.m.closed:
			return
		default:
		}
		l, err := call(p.m.Dial, p.Addr, kindPeer, p.m.File.Control.Label, longestByPeer)
		if err != nil {
			continue
		}
		if !p.m.conns.hold(l.Conn) {
			return
		}
		if _, err = l.say(word{Kind: wordHello, Index: p.m.id}, greetBy); err == nil {
			tries = 0
			p.over(l)
		}
		p.m.conns.release(l.Conn)
	}
}

// over sends over a stream until it breaks.
func (p *peer) over(l *line) {
	tables := time.NewTicker(tablesEach)
	defer tables.Stop()
	broke := make(chan struct{})
	go func() { // nothing comes this way but its end, which a write would find out late
		_, _ = l.Conn.Read(make([]byte, 1))
		close(broke)
	}()
	for {
		var all []*pb.Message
		w := word{Kind: wordRaft}
		select {
		case out := <-p.out:
			all = append(all, out)
		case <-tables.C:
			w = p.m.table.own()
		case <-broke:
			return
		case <-p.m.closed:
			return
		}
		by, size := writeBy, 0
		if w.Kind == wordRaft {
			for size = len(all[0].GetSnapshot().GetData()); size < frameOfRaft && len(p.out) > 0 && len(all) < mostTurn; {
				out := <-p.out
				for _, e := range out.GetEntries() {
					size += len(e.GetData())
				}
				size += len(out.GetSnapshot().GetData())
				all = append(all, out)
			}
			for _, out := range all {
				if b, err := marshal(out); err == nil {
					w.Raft = append(w.Raft, b)
				}
			}
		}
		if size > longestFrame {
			by = longWriteBy
		}
		n, err := l.say(w, by)
		p.m.table.outBytes.Add(uint64(n))
		for _, out := range all {
			if err != nil {
				p.m.call(func() { p.lost(out) })
			} else if out.GetType() == pb.MsgSnap {
				p.m.call(func() { p.m.raw.ReportSnapshot(p.ID, raft.SnapshotFinish) })
			}
		}
		if err != nil {
			return
		}
	}
}

// hearPeer takes what another control machine sends.
func (m *Server) hearPeer(l *line) {
	l.most = longestByPeer
	if kind, err := greeted(l, m.File.Control.Label); err != nil || kind != kindPeer {
		m.table.foreign.Add(1)
		return
	}
	hello, _, err := l.hear(greetBy)
	if err != nil || hello.Kind != wordHello || m.peers[hello.Index] == nil {
		m.table.foreign.Add(1)
		return
	}
	for {
		w, n, err := l.hear(peerSilence)
		if err != nil {
			return
		}
		m.table.inBytes.Add(uint64(n))
		switch w.Kind {
		case wordTable:
			m.table.hear(hello.Index, w)
		case wordRaft:
			for _, b := range w.Raft {
				in, err := unmarshal(b)
				if err != nil || in.GetTo() != m.id || in.GetFrom() != hello.Index && in.GetType() != pb.MsgProp || raft.IsLocalMsg(in.GetType()) {
					m.table.foreign.Add(1)
					continue
				}
				select {
				case m.inbox <- in:
				case <-m.closed:
					return
				}
			}
		}
	}
}
