// Package fleet joins a node to the others of its fleet: it keeps the sockets between them, lets the gossip library carry what members
// say of themselves and of each other, and hands out what the fleet knows as a copy that anybody may read. It runs beside the
// node's loop, which never waits for it.
package gossip

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"io"
	stdlog "log"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/membership"
	"dahliapin/internal/membership/trace"
	"dahliapin/internal/monotime"
)

const (
	nameEnds    = "~"                    // before the process, in the names that the library knows
	joinEach    = 500 * time.Millisecond // between attempts to reach a seed, while nobody is known
	leaveBy     = 300 * time.Millisecond // to say that this node leaves
	endBy       = 500 * time.Millisecond // for what is under way to end: a call to one who does not answer is left to itself
	streamBy    = 2 * time.Second        // for a stream to come up, and for each answer on it
	lookEach    = 50 * time.Millisecond  // between looks at what is due: several between two signs of life
	trafficEach = 40                     // looks between lines of how much went and came
	retransmit  = 4                      // times the logarithm of the fleet that a word is passed on: the library's own measure
	statesBy    = 20 << 20               // bytes of all that another has heard

	exchangeEach = 15 * time.Second // between two exchanges of all that is known that a node begins, in a small fleet
	exchangeFrom = 32               // members, from which on the library makes them rarer, and datagrams are read at looks
)

// Config is where and with what a node joins.
type Config struct {
	Name           string
	FleetConfig    *fleetconfig.File
	Log            *logrus.Logger
	Now            func() monotime.Instant // by a clock that runs through suspends
	Trace          func([]byte)            // told each line of what is done here, off the loop; nil for nobody
	OnNameConflict func(error)             // told once that this process is to end, as another has its name; nil for nobody
}

// Node is one node's part in the fleet.
type Node struct {
	Config
	process membership.ProcessID
	t       *transport
	list    *memberlist.Memberlist
	trace   *tracer
	queue   *memberlist.TransmitLimitedQueue
	closed  chan struct{}
	done    sync.WaitGroup
	syncs   chan string
	turns   atomic.Uint64
	known   atomic.Int64
	bad     atomic.Uint64 // messages that could not be read
	view    atomic.Pointer[membership.View]
	stance  atomic.Int32 // what this process is to be to the others
	once    sync.Once

	mu    sync.Mutex
	book  *membership.Detector
	raw   map[membership.ProcessID]heldWord // statements as they came
	held  map[uint64]bool                   // their sums: each comes many times
	there []string                          // names of members, as the library has them
	ended bool
	looks int // by its one goroutine
}

// Open joins by sockets of its own.
func Open(b Config) (*Node, error) {
	lines, err := Listen(b.FleetConfig.Fleet.Listen)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for other nodes on %s: %w", b.FleetConfig.Fleet.Listen, err)
	}
	return Join(b, lines)
}

// Join joins over such lines, and closes them at its end.
func Join(b Config, lines Transport) (*Node, error) {
	var id [8]byte
	at, err := netip.ParseAddrPort(b.FleetConfig.Fleet.Advertise)
	if err == nil {
		_, err = rand.Read(id[:])
	}
	if err != nil {
		lines.close()
		return nil, err
	}
	p := &Node{Config: b, process: membership.ProcessID(binary.LittleEndian.Uint64(id[:]) | 1), closed: make(chan struct{}), trace: newTracer(b.Trace),
		syncs: make(chan string, 1), raw: map[membership.ProcessID]heldWord{}, held: map[uint64]bool{}}
	p.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmit, NumNodes: func() int { return int(p.known.Load()) }}
	m := &b.FleetConfig.Members
	p.book = membership.New(membership.NewConfig(membership.Spans{Pause: m.Pause(), Heartbeat: m.Hello(), Rejoin: m.Back(), Loop: m.Loop(), Forget: m.Forget()}, m.MaxMembers), p.process, membership.NodeName(b.Name),
		at.String(), b.FleetConfig.Fleet.Seeds)
	p.view.Store(p.book.View())
	ways := map[string]string{}
	for _, w := range b.FleetConfig.AddressMappings {
		ways[w.To] = w.Through
	}
	p.t = newTransport(lines, at, b.FleetConfig.Fleet.Label, ways, p.hello)
	if p.list, err = memberlist.Create(p.engine()); err != nil {
		_ = p.t.Shutdown()
		p.trace.close()
		return nil, fmt.Errorf("the gossip between nodes does not start: %w", err)
	}
	p.done.Add(2)
	go p.joining()
	go p.syncing()
	if b.FleetConfig.Fleet.Engine != fleetconfig.Plain {
		p.done.Add(1)
		go p.looking()
	}
	return p, nil
}

// engine is how the library is set up.
func (p *Node) engine() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = fmt.Sprintf("%s%s%016x", p.Name, nameEnds, p.process)
	c.Transport, c.Events, c.Delegate, c.SecretKey = p.t, p, delegate{p}, p.FleetConfig.Fleet.KeyBytes()
	c.UDPBufferSize = longestDatagram - prefaceLen
	c.Logger = stdlog.New(io.Discard, "", 0)
	if p.FleetConfig.Fleet.Engine == fleetconfig.Tuned {
		tune(c)
	}
	return c
}

// tune sets the library's bounds for a carrier of words: it is quick to pass them on and slow to take anybody out, as who is there is
// decided above it.
func tune(c *memberlist.Config) {
	c.EnableCompression = false // messages are short: it costs more than it saves
	c.GossipInterval, c.GossipNodes = 100*time.Millisecond, 4
	c.ProbeInterval, c.ProbeTimeout = 5*time.Second, 3*time.Second // all that hangs on it is whom it gossips with, and its suspicions cost a busy fleet more than statements do
	c.SuspicionMult, c.IndirectChecks = 8, 4
	c.PushPullInterval = exchangeEach
	c.GossipToTheDeadTime, c.TCPTimeout = time.Minute, streamBy
}

// PushPullInterval is how often a node begins an exchange of all that is known, in a fleet of so many.
func PushPullInterval(members int) time.Duration {
	each := exchangeEach
	for n := exchangeFrom; n < members; n *= 2 {
		each += exchangeEach
	}
	return each
}

// joining asks the seeds until somebody is known.
func (p *Node) joining() {
	defer p.done.Done()
	for {
		for _, seed := range p.FleetConfig.Fleet.Seeds {
			if p.list.NumMembers() > 1 || p.over() {
				break
			}
			if seed != p.FleetConfig.Fleet.Advertise {
				_, _ = p.list.Join([]string{seed})
			}
		}
		select {
		case <-p.closed:
			return
		case <-time.After(joinEach):
		}
	}
}

func (p *Node) over() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}

// syncing exchanges all that is known with who is named, one after the other.
func (p *Node) syncing() {
	defer p.done.Done()
	for {
		select {
		case <-p.closed:
			return
		case addr := <-p.syncs:
			_, _ = p.list.Join([]string{addr})
		}
	}
}

// looking does what is due.
func (p *Node) looking() {
	defer p.done.Done()
	each := time.NewTicker(lookEach)
	defer each.Stop()
	for {
		select {
		case <-p.closed:
			return
		case <-each.C:
			p.look()
		}
	}
}

func (p *Node) look() {
	if p.looks++; p.looks%trafficEach == 0 {
		p.say(trace.Line{What: trace.Traffic, Out: p.t.count.outBytes.Load(), In: p.t.count.inBytes.Load()})
	}
	p.mu.Lock()
	p.book.LoopAdvanced(p.turns.Load())
	p.stand()
	do := p.book.Tick(p.Now())
	view, verdict := p.book.View(), p.book.NameConflict()
	p.tellOwn()
	p.known.Store(int64(p.book.KnownCount()))
	p.forget(view)
	tell := verdict != nil && !p.ended
	p.ended = p.ended || tell
	p.mu.Unlock()
	if was := p.view.Swap(view); was.Number != view.Number || was.CutOff != view.CutOff {
		p.changed(was, view)
	}
	p.send(do.Heartbeat, do.HeartbeatTo)
	p.send(do.Heartbeat, do.ReplyTo)
	asks := do.Heartbeat
	asks.WantsReply = true
	p.send(asks, do.ProbeTo)
	if do.SyncWith != "" {
		select {
		case p.syncs <- do.SyncWith:
		default: // one is under way
		}
	}
	p.t.look(p.known.Load() > exchangeFrom)
	if tell && p.OnNameConflict != nil {
		p.OnNameConflict(verdict)
	}
}

func (p *Node) send(h membership.Heartbeat, to []string) {
	if len(to) == 0 {
		return
	}
	b, err := encodeHello(h)
	if err != nil {
		return
	}
	for _, addr := range to {
		_ = p.t.send(kindHello, b, addr) // one that is lost is like any other
	}
}

// tellOwn has the own statement passed on where it is new; the lock is held.
func (p *Node) tellOwn() {
	if own, isNew := p.book.OwnStatement(); isNew {
		if b, err := encodeStatement(own); err == nil {
			p.hold(own.Process, b)
			p.queue.QueueBroadcast(word{own.Process, b})
		}
	}
}

// forget drops the words of those who are known no more; the lock is held.
func (p *Node) forget(v *membership.View) {
	if len(p.raw) <= p.book.KnownCount() {
		return
	}
	is := map[membership.ProcessID]bool{p.process: true}
	for _, m := range v.Members {
		is[m.Process] = true
	}
	for id := range p.raw {
		if !is[id] {
			delete(p.held, p.raw[id].sum)
			delete(p.raw, id)
		}
	}
}

// heldWord is a process's last statement as it came.
type heldWord struct {
	text []byte
	sum  uint64
}

var sums = maphash.MakeSeed()

// hold keeps a process's last word; the lock is held.
func (p *Node) hold(of membership.ProcessID, b []byte) {
	delete(p.held, p.raw[of].sum)
	p.raw[of] = heldWord{b, maphash.Bytes(sums, b)}
	p.held[p.raw[of].sum] = true
}

// holds tells whether a word is one that is held, as it came. Nothing new follows from it, and it need not be read again.
func (p *Node) holds(b []byte) bool {
	sum := maphash.Bytes(sums, b)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[sum]
}

func (p *Node) changed(was, is *membership.View) {
	l := trace.Line{What: trace.View, Number: is.Number, Mark: fmt.Sprintf("%016x", is.Fingerprint), Cut: is.CutOff}
	for _, n := range is.Nodes {
		l.Members = append(l.Members, string(n))
	}
	p.say(l)
	p.Log.WithFields(logrus.Fields{"members": len(is.Nodes), "view": is.Number, "cut_off": is.CutOff, "in": less(is.Nodes, was.Nodes),
		"out": less(was.Nodes, is.Nodes)}).Info("members")
}

// less are those of some names that others lack; both are in order.
func less(of, than []membership.NodeName) (rest []membership.NodeName) {
	for _, n := range of {
		for len(than) > 0 && than[0] < n {
			than = than[1:]
		}
		if len(than) == 0 || than[0] != n {
			rest = append(rest, n)
		}
	}
	return rest
}

// hello hears a sign of life.
func (p *Node) hello(b []byte) {
	h, err := decodeHello(b)
	if err != nil {
		p.bad.Add(1)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.OnHeartbeat(h)
}

// LoopAdvanced tells that the loop which serves clients has turned. It may be called from anywhere, and waits for nothing.
func (p *Node) LoopAdvanced() { p.turns.Add(1) }

// View is who is there, as it was last known.
func (p *Node) View() *membership.View { return p.view.Load() }

// Presence is what a process is to the others.
type Presence int32

const (
	Staying  Presence = iota
	Leaving           // it ends, or stands by
	Yielding          // it ends, and its name goes to the process that takes its place
)

// SetPresence has it be that, at the next look. It may be called from anywhere, and waits for nothing.
func (p *Node) SetPresence(s Presence) { p.stance.Store(int32(s)) }

// stand tells the others of a stance that has changed; the lock is held.
func (p *Node) stand() {
	switch Presence(p.stance.Load()) {
	case Staying:
		p.book.Rejoin()
	case Leaving:
		p.book.Leave(false)
	case Yielding:
		p.book.Leave(true)
	}
	p.tellOwn()
}

// word is a statement on its way.
type word struct {
	of   membership.ProcessID
	text []byte
}

// Invalidates is memberlist's: a newer word of the same process takes an older one's place.
func (w word) Invalidates(o memberlist.Broadcast) bool {
	old, is := o.(word)
	return is && old.of == w.of
}

// Name is memberlist's: with it, what a word takes the place of is looked up, else all that waits would be asked at each.
func (w word) Name() string { return hex(w.of) }

// Message is memberlist's.
func (w word) Message() []byte { return w.text }

// Finished is memberlist's.
func (w word) Finished() {}

// delegate is what the library calls.
type delegate struct{ p *Node }

// NodeMeta is memberlist's.
func (delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg is memberlist's: a statement has come.
func (d delegate) NotifyMsg(b []byte) {
	d.p.t.count.flows[statements].came(len(b))
	d.told(b)
}

func (d delegate) told(b []byte) {
	if d.p.holds(b) {
		return
	}
	b = slices.Clone(b)
	s, err := decodeStatement(b)
	if err != nil {
		d.p.bad.Add(1)
		return
	}
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	if d.p.book.Merge(s) {
		d.p.hold(s.Process, b)
		d.p.queue.QueueBroadcast(word{s.Process, b})
	}
}

// GetBroadcasts is memberlist's.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	all := d.p.queue.GetBroadcasts(overhead, limit)
	for _, b := range all {
		d.p.t.count.flows[statements].went(len(b))
	}
	return all
}

// LocalState is memberlist's: all that this process has heard.
func (d delegate) LocalState(bool) []byte {
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	all := make([][]byte, 0, len(d.p.raw))
	for _, w := range d.p.raw {
		all = append(all, w.text)
	}
	b, err := encodeState(all)
	if err != nil {
		return nil
	}
	return b
}

// MergeRemoteState is memberlist's.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	var all []cbor.RawMessage
	err := errWire
	if len(b) <= statesBy {
		all, err = decodeState(b)
	}
	if err != nil {
		d.p.bad.Add(1)
		return
	}
	for _, w := range all {
		d.told(w)
	}
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	d.p.book.SyncCompleted()
}

// NotifyJoin is memberlist's.
func (p *Node) NotifyJoin(n *memberlist.Node) { p.library(n.Name, true) }

// NotifyLeave is memberlist's.
func (p *Node) NotifyLeave(n *memberlist.Node) { p.library(n.Name, false) }

// NotifyUpdate is memberlist's.
func (p *Node) NotifyUpdate(*memberlist.Node) {}

func (p *Node) library(name string, here bool) {
	if p.trace == nil {
		return
	}
	node, _, _ := strings.Cut(name, nameEnds)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.there = slices.DeleteFunc(p.there, func(n string) bool { return n == name })
	if here {
		p.there = append(p.there, name)
	}
	l := trace.Line{What: trace.Library, Seen: node, Here: here}
	for _, n := range p.there {
		node, _, _ := strings.Cut(n, nameEnds)
		l.Members = append(l.Members, node)
	}
	slices.Sort(l.Members)
	l.Members = slices.Compact(l.Members)
	p.say(l)
}

func (p *Node) say(l trace.Line) {
	l.At, l.Node, l.Process = p.Now(), p.Name, hex(p.process)
	p.trace.say(l)
}

// Close ends it, and first tells the others in order, if it is to. It takes a second at the most, whoever does not answer.
func (p *Node) Close(orderly bool) {
	p.once.Do(func() {
		close(p.closed)
		if orderly {
			p.mu.Lock()
			p.SetPresence(Leaving)
			p.stand()
			p.mu.Unlock()
			_ = p.list.Leave(leaveBy)
		}
		ended := make(chan struct{})
		go func() {
			p.done.Wait()
			close(ended)
		}()
		// guards against a node that can't end since a seed takes its call and says nothing
		select {
		case <-ended:
		case <-time.After(endBy):
		}
		_ = p.list.Shutdown()
		p.trace.close()
	})
}
