// Package relay is a node on sockets: one loop that holds all state and drives a host, as the adapter does on the
// simulator's wire. It decides nothing about requests, and knows no protocol of clients or servers. The loop and its clock
// are in this file; clients.go keeps the clients and faces.go speaks to them, caches.go keeps the servers and carriers.go
// speaks to them, and discovery.go follows the list.
package proxy

import (
	"cmp"
	"encoding/binary"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/settings"
	"dahliapin/internal/discovery"
	"dahliapin/internal/idletimeout"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/proxy/degradation"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/internal/proxy/handover"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/proxy/sockets"
	"dahliapin/internal/slotmap"
	"dahliapin/internal/timerqueue"
	"dahliapin/policy"
)

const (
	epoch       = policy.Instant(time.Second) // the clock's first reading: instants are never 0, which means none
	readyBy     = 250 * time.Millisecond      // from the start, to serve by the last list if no newer one comes
	comingFor   = 500 * time.Millisecond      // after the call to end, connections may still come: 0.2 to 0.4 s
	quietFor    = 150 * time.Millisecond      // without a new connection before clients are closed
	lingerFor   = 50 * time.Millisecond       // for the first command of who has just connected, before it is idle
	drainEvery  = 10 * time.Millisecond       // between looks for idle clients while draining
	spareToStop = 500 * time.Millisecond      // over the longest deadline, by which a node is to have ended
	mostToStop  = 3 * time.Second             // of the longest deadline, that who ends a process waits for: by the protocol
	lastWords   = 100 * time.Millisecond      // before that, by which all in hand is answered: ten looks for idle clients
	eventsAtOne = 256                         // events handled between looks at the deadlines
)

// The kinds of slot.
type (
	clientID uint64
	linkID   uint64
	handID   uint64
)

// Phase is how far a node has come.
type Phase int32

const (
	Starting Phase = iota
	Serving
	Standby // told by operators to take nobody, and not to end
	Draining
	Stopped
)

var phaseNames = [...]string{"starting", "serving", "standby", "draining", "stopped"}

func (p Phase) String() string { return phaseNames[p] }

// Config is where and with what a node runs.
type Config struct {
	Listen, Discovery string
	Listeners         listeners.File // further listeners, and caches that speak HTTP
	Seed              int64
	Descriptors       int
	OtherDescriptors  int   // descriptors that the process has for other things
	Memory            int64 // bytes it may use in all
	Settings          settings.Settings
	LastEndpoints     []byte // the list as last held, as discovery writes it, or nil
	Log               *logrus.Logger
	OnPhaseChange     func(Phase)                     // told of each phase; nil for nobody
	PublishMetrics    bool                            // hand out copies of the figures, for operators
	Inherited         *handover.Inherited             // what the process had that this one replaces; nil for none
	HandoverPath      string                          // where another process may take this one's place; empty for nowhere
	OnLoopIteration   func()                          // called at each turn of the loop, and not to wait; nil for nobody
	OnSharedLimits    func(bool)                      // told when two processes share the node's limits, and when not; nil for nobody
	Name              string                          // for records
	OnEvent           func(eventlog.Event, time.Time) // told of each, within the loop, and not to wait; nil for nobody
}

// Proxy is one node.
type Proxy struct {
	Config
	phase     Phase
	eng       *sockets.Engine
	host      *dispatch.Dispatcher
	began     time.Time        // with the monotonic clock's reading
	wallClock func() time.Time // for what the list states by it, and nothing else
	due       timerqueue.Queue[due]
	clients   slotmap.Table[clientID, client]
	links     slotmap.Table[linkID, link]
	hand      slotmap.Table[handID, request]
	taken     map[string]bool // the clients' ids of those in hand
	asked     asked           // what was read last
	came      reply           // the same of servers
	faces     []face          // by the address that a client came to
	caches    map[policy.EndpointID]*cache
	members   int // of them, those that are not the origin
	idleLinks idleLinks
	list      listCall
	kept      idletimeout.Timeout
	chance    keyhash.Source
	later     []func() // what must not happen within a call into the host
	count     metrics.Counters
	held      int // bytes of requests in hand, and of answers that wait for those before them
	partial   int // bytes of commands that have not come whole
	coming    int // the same of answers of caches and origin
	allMemory int64
	offered   *handover.Offer // nil for none
	replaced  bool            // another process lets people in
	alone     bool            // the process before this one has gone
	told      bool            // the process before this one knows that clients are taken here
	stance    *stance         // nil where nobody asks for figures
	sheet     atomic.Pointer[metrics.Snapshot]
	byGrade   []metrics.ClassSnapshot
	whole     uint64         // legs written whole
	pending   int            // requests taken and not ended
	looks     bool           // a look for idle clients is due, or was when the standby ended
	stoodBy   policy.Instant // when the call to stand by came
	ending    policy.Instant // when the call to end came
	lastCame  policy.Instant // when somebody last connected
	lookedAt  policy.Instant // when a node that drains last looked for idle clients
	looksIdle int            // such looks in a row, each on time, since then
	stalls    stallWatch
	asks      chan func()
	done      chan struct{}
}

// due is one deadline; exactly one of its parts is set.
type due struct {
	token  string // a timer of the host's
	leg    legRef // time to give a leg up
	link   linkID // time to look after a link
	list   uint64 // time to look after the list, if this call is still the one
	drain  bool   // time to look for idle clients
	ready  bool   // time to serve by the last list
	flush  clientID
	stream linkID // time to look at a value that is passed on
	sweep  bool   // time to look at clients that say nothing whole or are idle
}

type legRef struct {
	hand handID
	leg  int
}

// New listens and starts; Run is to follow.
func New(b Config) (*Proxy, error) {
	listen := []string{b.Listen}
	for _, f := range b.Listeners.Listeners {
		listen = append(listen, f.Listen)
	}
	var held map[string]net.Listener
	if b.Inherited != nil {
		held = b.Inherited.Listeners
	}
	eng, err := sockets.New(listen, b.Descriptors, held)
	if err != nil {
		return nil, err
	}
	r := &Proxy{Config: b, eng: eng, allMemory: b.Memory, began: time.Now(), wallClock: time.Now, caches: map[policy.EndpointID]*cache{}, taken: map[string]bool{},
		asks: make(chan func(), 16), done: make(chan struct{})}
	r.faces = []face{metaFace{}}
	for i := range b.Listeners.Listeners {
		if f := &b.Listeners.Listeners[i]; f.Protocol == listeners.HTTP {
			r.faces = append(r.faces, newHTTPFace(f, i, r))
		} else {
			r.faces = append(r.faces, metaFace{})
		}
	}
	var watcher dispatch.Observer
	if b.OnEvent != nil {
		watcher = eventlog.New(b.Name, func(e eventlog.Event) { b.OnEvent(e, r.began.Add(e.At.Since(epoch))) },
			func(e policy.Endpoint) bool { return r.isOrigin(e.Kind) })
	}
	decider := r.decider(watcher)
	r.byGrade = make([]metrics.ClassSnapshot, len(b.Settings.Policy.Classes))
	for name, n := range b.Settings.Names.Classes() {
		r.byGrade[n].Name = name
	}
	if b.PublishMetrics {
		r.stance = &stance{Observer: watcher, of: map[policy.EndpointID]policy.EndpointState{}, sent: map[policy.EndpointID][2]policy.Instant{}}
		watcher = r.stance
	}
	r.host = dispatch.NewWithDecider(r.now(), decider, r, watcher)
	r.kept = idletimeout.New(b.Settings.Policy.IdleTimeout)
	r.list.caller, r.chance.Seed = discovery.New(b.Settings.Policy.Nodes), uint32(b.Seed^b.Seed>>32)
	r.hearKnown()
	r.due.Push(r.now().Add(readyBy), due{ready: true})
	if b.Inherited != nil {
		r.succeed()
	} else {
		r.offer()
	}
	r.sweep()
	r.follow()
	return r, nil
}

// hearKnown takes the list as last held, if there is one that can be read. What is new since is less than the whole.
func (r *Proxy) hearKnown() {
	known, err := r.list.reader.Read(r.LastEndpoints)
	r.LastEndpoints = nil
	if err != nil {
		return
	}
	if r.hear(&known, policy.LastKnownUpdate); known.HasVersion && len(r.caches) > 0 {
		r.list.caller.SetVersion(known.Version)
	}
}

// decider is the module, behind the operator's service levels if there are any.
func (r *Proxy) decider(watcher dispatch.Observer) dispatch.Decider {
	module := policy.New(r.now(), r.Seed, r.Settings.Policy)
	if len(r.Listeners.Levels) == 0 {
		return module
	}
	return degradation.NewFilter(module, r.now(), uint32(r.Seed), r.Listeners.Levels, &r.Settings, func(now policy.Instant, level int, name string) {
		r.count.Level = uint64(level)
		r.Log.WithField("level", name).Warn("service level changed")
		if book, ok := watcher.(*eventlog.Recorder); ok {
			book.Level(now, name)
		}
	}, &r.count.Shed)
}

func (r *Proxy) isOrigin(kind int) bool {
	return r.Settings.Policy.CacheAside && kind == r.Settings.Policy.OriginKind
}

// Addr is where it listens; front counts the further ones from 1.
func (r *Proxy) Addr(front int) string { return r.eng.Addr(front).String() }

func (r *Proxy) now() policy.Instant { return r.at(time.Now()) }

func (r *Proxy) at(t time.Time) policy.Instant { return epoch.Add(t.Sub(r.began)) }

func (r *Proxy) enter(p Phase) {
	r.phase = p
	r.publish()
	if r.OnPhaseChange != nil {
		r.OnPhaseChange(p)
	}
}

// Shutdown asks the node to drain and stop. It may be called from anywhere, and more than once.
func (r *Proxy) Shutdown() { r.ask(r.drain) }

// SetDiscovery follows the list at another address from now on. The list last held stays until the whole one has come from
// there. It may be called from anywhere, and more than once.
func (r *Proxy) SetDiscovery(discovery string) { r.ask(func() { r.moveList(discovery) }) }

// Counters returns the counters as they stand. It may be called from anywhere.
func (r *Proxy) Counters() (c metrics.Counters) {
	answer := make(chan metrics.Counters, 1)
	if !r.ask(func() { answer <- r.count }) {
		return r.count
	}
	select {
	case c = <-answer:
	case <-r.done:
		c = r.count
	}
	return c
}

func (r *Proxy) ask(f func()) bool {
	select {
	case r.asks <- f:
		return true
	case <-r.done:
		return false
	}
}

// Run is the loop. It returns once the node has stopped.
func (r *Proxy) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r.phase != Stopped {
		if r.OnLoopIteration != nil {
			r.OnLoopIteration()
		}
		if r.heldUp() {
			r.awaitList()
		}
		events := r.eng.Take()
		r.beginIteration(len(events))
		r.handle(events)
		r.deadlines()
		for r.eng.Crowded() && r.makeRoom() {
			r.settle()
		}
		now := r.now()
		r.endIteration(now)
		if at, ok := r.due.Next(); ok {
			timer.Reset(at.Since(now))
		}
		if r.phase == Stopped {
			break
		}
		select {
		case <-r.eng.Wake():
		case <-timer.C:
		case f := <-r.asks:
			f()
			r.settle()
		}
	}
	if r.offered != nil {
		r.offered.Close()
	}
	r.eng.Stop()
	close(r.done)
}

// handle handles events. Those of the call for the list go first: nothing that waits beside news is decided by the list before it.
func (r *Proxy) handle(events []sockets.Event) {
	for i := range events {
		ev := &events[i]
		if ev.Wire != nil && ev.Wire.Out && linkID(ev.Wire.Tag) == r.list.link {
			r.event(ev)
			ev.Handled = true
		}
	}
	for i := range events {
		if !events[i].Handled {
			r.event(&events[i])
		}
		if i%eventsAtOne == eventsAtOne-1 {
			r.deadlines()
		}
	}
}

// settle does what calls into the host left to do.
func (r *Proxy) settle() {
	for len(r.later) > 0 {
		next := r.later
		r.later = nil
		for _, f := range next {
			f()
		}
	}
}

func (r *Proxy) event(ev *sockets.Event) {
	switch ev.What {
	case sockets.Opened:
		r.opened(ev)
	case sockets.Connected, sockets.Refused:
		r.dialled(ev)
	case sockets.Data:
		if ev.Wire.Out {
			r.linkData(linkID(ev.Wire.Tag), ev.Bytes())
		} else {
			r.clientData(clientID(ev.Wire.Tag), ev.Bytes(), r.at(ev.At))
		}
	case sockets.Closed:
		if ev.Wire.Out {
			r.linkClosed(linkID(ev.Wire.Tag), ev.Lost > 0, ev.Orderly)
		} else {
			r.clientClosed(clientID(ev.Wire.Tag))
		}
	}
	r.settle()
}

// deadlines does what is due. What that puts in anew waits until events have been handled, however soon it is due.
func (r *Proxy) deadlines() {
	now := r.now()
	for {
		d, ok := r.due.PopDue(now)
		if !ok {
			return
		}
		switch {
		case d.token != "":
			r.host.OnTimer(r.now(), d.token)
		case d.leg.hand != 0:
			r.giveUp(d.leg)
		case d.link != 0:
			r.tend(d.link)
		case d.list != 0:
			r.listSilent(d.list)
		case d.stream != 0:
			r.lookAtStream(d.stream)
		case d.flush != 0:
			r.closeFlushed(d.flush)
		case d.sweep:
			r.sweep()
		case d.ready:
			r.ready()
		case d.drain && r.phase == Draining:
			r.drainStep()
		case d.drain:
			r.standbyStep()
		}
		r.settle()
	}
}

func (r *Proxy) ready() {
	if r.phase == Starting && len(r.caches) > 0 {
		r.Log.WithField("caches", len(r.caches)).Info("serving")
		r.letIn()
		r.enter(Serving)
	}
}

func (r *Proxy) drain() {
	if r.phase == Draining || r.phase == Stopped {
		return
	}
	r.ending = r.now()
	r.Log.WithField("in_hand", r.hand.Len()).Info("draining")
	r.enter(Draining)
	r.giveBack()
	r.hasten()
	r.drainStep()
}

// hasten has what is in hand answered while the node can still say it. Guards against deadlines that lie beyond the node's own end, of
// which its clients would never have heard.
func (r *Proxy) hasten() {
	by := r.endBy().Add(-lastWords)
	r.host.CapDeadlines(r.now(), by)
	r.hand.Each(func(id handID, v *request) {
		for n, l := range v.legs {
			if l.out && l.giveUpAt > by {
				r.due.Push(by, due{leg: legRef{id, n}})
			}
		}
	})
}

// drainStep goes on serving while connections may still come, then closes clients as they fall idle.
func (r *Proxy) drainStep() {
	now := r.now()
	// guards against a process that was held up: nobody was let in meanwhile, and who came stands in the kernel's queue
	if r.looksIdle++; r.lastCame >= r.lookedAt || now.Since(r.lookedAt) > quietFor/2 {
		r.looksIdle = 0
	}
	r.lookedAt = now
	if r.replaced || now.Since(r.ending) >= comingFor && now.Since(r.lastCame) >= quietFor {
		r.closeIdleOnes()
		// guards against ending under one whom the kernel has let in and the loop has not heard of yet
		if r.clients.Len() == 0 && r.hand.Len() == 0 && now.Since(max(r.ending, r.lastCame)) >= quietFor && r.looksIdle >= int(quietFor/drainEvery)/2 {
			r.enter(Stopped)
			return
		}
	}
	if now >= r.endBy() { // whoever still comes, nobody waits any more
		r.enter(Stopped)
		return
	}
	r.due.Push(now.Add(drainEvery), due{drain: true})
}

func (r *Proxy) closeIdleOnes() {
	r.clients.Each(func(_ clientID, c *client) {
		if r.mayClose(c) {
			r.closeIdle(c)
		}
	})
}

// endBy is when a node that drains ends at the latest: before who told it to ends it.
func (r *Proxy) endBy() policy.Instant {
	return r.ending.Add(min(cmp.Or(r.Settings.LongestDeadline, mostToStop), mostToStop) + spareToStop)
}

// token is a request's id towards the host: a slot's, so that no client can name another's.
func token(id handID) policy.RequestID {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return policy.RequestID(b[:])
}

func slotOf(id policy.RequestID) handID {
	if len(id) != 8 {
		return 0
	}
	return handID(binary.BigEndian.Uint64([]byte(id)))
}

// SetTimer wakes the host.
func (r *Proxy) SetTimer(in time.Duration, token string) {
	r.due.Push(r.now().Add(in), due{token: token})
}

// PollEndpoints needs nothing: the list is always followed.
func (r *Proxy) PollEndpoints() {}

// makeRoom frees one descriptor of the least use: an idle link first, then an idle client.
func (r *Proxy) makeRoom() bool { return r.closeIdleLink() || r.closeIdleClient() }

// mayClose tells whether a client is idle; who has just connected has some time for its first command.
func (r *Proxy) mayClose(c *client) bool {
	return c.idle() && (c.first > 0 || r.now().Since(c.usedAt) >= lingerFor)
}

// closeIdleClient closes the one that has been idle longest, but first those that have never said anything.
func (r *Proxy) closeIdleClient() bool {
	var idle []*client
	r.clients.Each(func(_ clientID, c *client) {
		if r.mayClose(c) {
			idle = append(idle, c)
		}
	})
	slices.SortFunc(idle, leastKept(1))
	for _, c := range idle {
		if r.closeIdle(c) {
			r.count.ClosedForRoom++
			return true
		}
	}
	return false
}

// dial opens a connection for a link, making room for it if need be. Links never take the clients' share: who
// comes could not be let in then, and what it had sent would be lost. The one for the list is owed at any time.
func (r *Proxy) dial(addr string, id linkID, owed bool) error {
	if !owed && r.links.Len() > r.mostLinks() && !r.closeIdleLink() {
		return sockets.ErrNoDescriptor
	}
	err := r.eng.Dial(addr, r.connectTime(), uint64(id))
	if err != nil && r.makeRoom() {
		err = r.eng.Dial(addr, r.connectTime(), uint64(id))
	}
	return err
}
