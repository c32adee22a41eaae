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
	clockEpoch          = policy.Instant(time.Second) // the clock's first reading: instants are never 0, which means none
	lastKnownListDelay  = 250 * time.Millisecond      // from the start, to serve by the last list if no newer one comes
	drainAcceptTime     = 500 * time.Millisecond      // after the call to end, connections may still come: 0.2 to 0.4 s
	drainQuietTime      = 150 * time.Millisecond      // without a new connection before clients are closed
	firstCommandGrace   = 50 * time.Millisecond       // for the first command of who has just connected, before it is idle
	drainCheckInterval  = 10 * time.Millisecond       // between looks for idle clients while draining
	shutdownMargin      = 500 * time.Millisecond      // over the longest deadline, by which a node is to have ended
	maxShutdownWait     = 3 * time.Second             // of the longest deadline, that who ends a process waits for: by the protocol
	answerMargin        = 100 * time.Millisecond      // before that, by which all in hand is answered: ten looks for idle clients
	eventsPerTimerCheck = 256                         // events handled between looks at the deadlines
)

// The kinds of slot.
type (
	clientConnID   uint64
	upstreamConnID uint64
	inflightID     uint64
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
	phase                   Phase
	engine                  *sockets.Engine
	dispatcher              *dispatch.Dispatcher
	startedAt               time.Time        // with the monotonic clock's reading
	wallClock               func() time.Time // for what the list states by it, and nothing else
	timers                  timerqueue.Queue[timerEvent]
	clients                 slotmap.Table[clientConnID, clientConn]
	conns                   slotmap.Table[upstreamConnID, upstreamConn]
	inflight                slotmap.Table[inflightID, inflightRequest]
	inflightIDs             map[string]bool   // the clients' ids of those in hand
	parsed                  parsedRequest     // what was read last
	response                upstreamResponse  // the same of servers
	codecs                  []downstreamCodec // by the address that a client came to
	endpoints               map[policy.EndpointID]*knownEndpoint
	memberCount             int // of them, those that are not the origin
	idleConns               idleConnList
	watch                   endpointWatch
	idleTimeouts            idletimeout.Timeout
	jitter                  keyhash.Source
	deferred                []func() // what must not happen within a call into the host
	counters                metrics.Counters
	bufferedBytes           int // bytes of requests in hand, and of answers that wait for those before them
	incompleteRequestBytes  int // bytes of commands that have not come whole
	incompleteResponseBytes int // the same of answers of caches and origin
	totalMemory             int64
	offer                   *handover.Offer // nil for none
	replaced                bool            // another process lets people in
	predecessorGone         bool            // the process before this one has gone
	predecessorNotified     bool            // the process before this one knows that clients are taken here
	endpointStats           *endpointStats  // nil where nobody asks for figures
	snapshot                atomic.Pointer[metrics.Snapshot]
	byClass                 []metrics.ClassSnapshot
	attemptsSent            uint64         // legs written whole
	pending                 int            // requests taken and not ended
	idleCheckScheduled      bool           // a look for idle clients is due, or was when the standby ended
	standbyStartedAt        policy.Instant // when the call to stand by came
	drainStartedAt          policy.Instant // when the call to end came
	lastConnectedAt         policy.Instant // when somebody last connected
	lastIdleCheckAt         policy.Instant // when a node that drains last looked for idle clients
	idleChecks              int            // such looks in a row, each on time, since then
	stalls                  stallWatch
	commands                chan func()
	done                    chan struct{}
}

// timerEvent is one deadline; exactly one of its parts is set.
type timerEvent struct {
	dispatcherTimer string         // a timer of the host's
	attempt         attemptRef     // time to give a leg up
	conn            upstreamConnID // time to look after a link
	poll            uint64         // time to look after the list, if this call is still the one
	idleCheck       bool           // time to look for idle clients
	lastKnownList   bool           // time to serve by the last list
	flush           clientConnID
	stream          upstreamConnID // time to look at a value that is passed on
	sweep           bool           // time to look at clients that say nothing whole or are idle
}

type attemptRef struct {
	request inflightID
	index   int
}

// New listens and starts; Run is to follow.
func New(config Config) (*Proxy, error) {
	addrs := []string{config.Listen}
	for _, listener := range config.Listeners.Listeners {
		addrs = append(addrs, listener.Listen)
	}
	var inherited map[string]net.Listener
	if config.Inherited != nil {
		inherited = config.Inherited.Listeners
	}
	engine, err := sockets.New(addrs, config.Descriptors, inherited)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Config: config, engine: engine, totalMemory: config.Memory, startedAt: time.Now(), wallClock: time.Now, endpoints: map[policy.EndpointID]*knownEndpoint{}, inflightIDs: map[string]bool{},
		commands: make(chan func(), 16), done: make(chan struct{})}
	p.codecs = []downstreamCodec{metaDownstream{}}
	for i := range config.Listeners.Listeners {
		if listener := &config.Listeners.Listeners[i]; listener.Protocol == listeners.HTTP {
			p.codecs = append(p.codecs, newHTTPDownstream(listener, i, p))
		} else {
			p.codecs = append(p.codecs, metaDownstream{})
		}
	}
	var observer dispatch.Observer
	if config.OnEvent != nil {
		observer = eventlog.New(config.Name, func(e eventlog.Event) { config.OnEvent(e, p.startedAt.Add(e.At.Since(clockEpoch))) },
			func(e policy.Endpoint) bool { return p.isOrigin(e.Kind) })
	}
	decider := p.newDecider(observer)
	p.byClass = make([]metrics.ClassSnapshot, len(config.Settings.Policy.Classes))
	for name, n := range config.Settings.Names.Classes() {
		p.byClass[n].Name = name
	}
	if config.PublishMetrics {
		p.endpointStats = &endpointStats{Observer: observer, states: map[policy.EndpointID]policy.EndpointState{}, lastAttempts: map[policy.EndpointID][2]policy.Instant{}}
		observer = p.endpointStats
	}
	p.dispatcher = dispatch.NewWithDecider(p.now(), decider, p, observer)
	p.idleTimeouts = idletimeout.New(config.Settings.Policy.IdleTimeout)
	p.watch.poller, p.jitter.Seed = discovery.New(config.Settings.Policy.Nodes), uint32(config.Seed^config.Seed>>32)
	p.applyLastKnownEndpoints()
	p.timers.Push(p.now().Add(lastKnownListDelay), timerEvent{lastKnownList: true})
	if config.Inherited != nil {
		p.joinPredecessor()
	} else {
		p.offerHandover()
	}
	p.sweepClients()
	p.startWatch()
	return p, nil
}

// applyLastKnownEndpoints takes the list as last held, if there is one that can be read. What is new since is less than the whole.
func (p *Proxy) applyLastKnownEndpoints() {
	list, err := p.watch.reader.Read(p.LastEndpoints)
	p.LastEndpoints = nil
	if err != nil {
		return
	}
	if p.applyEndpointList(&list, policy.LastKnownUpdate); list.HasVersion && len(p.endpoints) > 0 {
		p.watch.poller.SetVersion(list.Version)
	}
}

// newDecider is the module, behind the operator's service levels if there are any.
func (p *Proxy) newDecider(observer dispatch.Observer) dispatch.Decider {
	module := policy.New(p.now(), p.Seed, p.Settings.Policy)
	if len(p.Listeners.Levels) == 0 {
		return module
	}
	return degradation.NewFilter(module, p.now(), uint32(p.Seed), p.Listeners.Levels, &p.Settings, func(now policy.Instant, level int, name string) {
		p.counters.Level = uint64(level)
		p.Log.WithField("level", name).Warn("service level changed")
		if recorder, ok := observer.(*eventlog.Recorder); ok {
			recorder.Level(now, name)
		}
	}, &p.counters.Shed)
}

func (p *Proxy) isOrigin(kind int) bool {
	return p.Settings.Policy.CacheAside && kind == p.Settings.Policy.OriginKind
}

// Addr is where it listens; front counts the further ones from 1.
func (p *Proxy) Addr(front int) string { return p.engine.Addr(front).String() }

func (p *Proxy) now() policy.Instant { return p.instantOf(time.Now()) }

func (p *Proxy) instantOf(t time.Time) policy.Instant { return clockEpoch.Add(t.Sub(p.startedAt)) }

func (p *Proxy) enterPhase(phase Phase) {
	p.phase = phase
	p.publishMetrics()
	if p.OnPhaseChange != nil {
		p.OnPhaseChange(phase)
	}
}

// Shutdown asks the node to drain and stop. It may be called from anywhere, and more than once.
func (p *Proxy) Shutdown() { p.runInLoop(p.startDrain) }

// SetDiscovery follows the list at another address from now on. The list last held stays until the whole one has come from
// there. It may be called from anywhere, and more than once.
func (p *Proxy) SetDiscovery(discovery string) { p.runInLoop(func() { p.changeDiscovery(discovery) }) }

// Counters returns the counters as they stand. It may be called from anywhere.
func (p *Proxy) Counters() (c metrics.Counters) {
	answer := make(chan metrics.Counters, 1)
	if !p.runInLoop(func() { answer <- p.counters }) {
		return p.counters
	}
	select {
	case c = <-answer:
	case <-p.done:
		c = p.counters
	}
	return c
}

func (p *Proxy) runInLoop(f func()) bool {
	select {
	case p.commands <- f:
		return true
	case <-p.done:
		return false
	}
}

// Run is the loop. It returns once the node has stopped.
func (p *Proxy) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for p.phase != Stopped {
		if p.OnLoopIteration != nil {
			p.OnLoopIteration()
		}
		if p.wasHeldUp() {
			p.awaitEndpointList()
		}
		events := p.engine.Take()
		p.beginIteration(len(events))
		p.handleEvents(events)
		p.fireTimers()
		for p.engine.ClientsWait() && p.freeDescriptor() {
			p.runDeferred()
		}
		now := p.now()
		p.endIteration(now)
		if at, ok := p.timers.Next(); ok {
			timer.Reset(at.Since(now))
		}
		if p.phase == Stopped {
			break
		}
		select {
		case <-p.engine.Wake():
		case <-timer.C:
		case f := <-p.commands:
			f()
			p.runDeferred()
		}
	}
	if p.offer != nil {
		p.offer.Close()
	}
	p.engine.Stop()
	close(p.done)
}

// handleEvents handles events. Those of the call for the list go first: nothing that waits beside news is decided by the list before it.
func (p *Proxy) handleEvents(events []sockets.Event) {
	for i := range events {
		ev := &events[i]
		if ev.Conn != nil && ev.Conn.Dialed && upstreamConnID(ev.Conn.Tag) == p.watch.conn {
			p.handleEvent(ev)
			ev.Handled = true
		}
	}
	for i := range events {
		if !events[i].Handled {
			p.handleEvent(&events[i])
		}
		if i%eventsPerTimerCheck == eventsPerTimerCheck-1 {
			p.fireTimers()
		}
	}
}

// runDeferred does what calls into the host left to do.
func (p *Proxy) runDeferred() {
	for len(p.deferred) > 0 {
		next := p.deferred
		p.deferred = nil
		for _, f := range next {
			f()
		}
	}
}

func (p *Proxy) handleEvent(ev *sockets.Event) {
	switch ev.Kind {
	case sockets.Opened:
		p.onClientConnected(ev)
	case sockets.Connected, sockets.Refused:
		p.onDialResult(ev)
	case sockets.Data:
		if ev.Conn.Dialed {
			p.onUpstreamData(upstreamConnID(ev.Conn.Tag), ev.Bytes())
		} else {
			p.onClientData(clientConnID(ev.Conn.Tag), ev.Bytes(), p.instantOf(ev.At))
		}
	case sockets.Closed:
		if ev.Conn.Dialed {
			p.onUpstreamClosed(upstreamConnID(ev.Conn.Tag), ev.Lost > 0, ev.Orderly)
		} else {
			p.onClientClosed(clientConnID(ev.Conn.Tag))
		}
	}
	p.runDeferred()
}

// fireTimers does what is due. What that puts in anew waits until events have been handled, however soon it is due.
func (p *Proxy) fireTimers() {
	now := p.now()
	for {
		event, ok := p.timers.PopDue(now)
		if !ok {
			return
		}
		switch {
		case event.dispatcherTimer != "":
			p.dispatcher.OnTimer(p.now(), event.dispatcherTimer)
		case event.attempt.request != 0:
			p.onAttemptDeadline(event.attempt)
		case event.conn != 0:
			p.onConnTimer(event.conn)
		case event.poll != 0:
			p.onPollTimer(event.poll)
		case event.stream != 0:
			p.onStreamTimer(event.stream)
		case event.flush != 0:
			p.closeOnceFlushed(event.flush)
		case event.sweep:
			p.sweepClients()
		case event.lastKnownList:
			p.serveIfReady()
		case event.idleCheck && p.phase == Draining:
			p.drainStep()
		case event.idleCheck:
			p.standbyStep()
		}
		p.runDeferred()
	}
}

func (p *Proxy) serveIfReady() {
	if p.phase == Starting && len(p.endpoints) > 0 {
		p.Log.WithField("caches", len(p.endpoints)).Info("serving")
		p.startAccepting()
		p.enterPhase(Serving)
	}
}

func (p *Proxy) startDrain() {
	if p.phase == Draining || p.phase == Stopped {
		return
	}
	p.drainStartedAt = p.now()
	p.Log.WithField("in_hand", p.inflight.Len()).Info("draining")
	p.enterPhase(Draining)
	p.returnToPredecessor()
	p.capInflightDeadlines()
	p.drainStep()
}

// capInflightDeadlines has what is in hand answered while the node can still say it. Guards against deadlines that lie beyond the node's own end, of
// which its clients would never have heard.
func (p *Proxy) capInflightDeadlines() {
	by := p.drainDeadline().Add(-answerMargin)
	p.dispatcher.CapDeadlines(p.now(), by)
	p.inflight.Each(func(id inflightID, req *inflightRequest) {
		for n, l := range req.attempts {
			if l.inFlight && l.deadline > by {
				p.timers.Push(by, timerEvent{attempt: attemptRef{id, n}})
			}
		}
	})
}

// drainStep goes on serving while connections may still come, then closes clients as they fall idle.
func (p *Proxy) drainStep() {
	now := p.now()
	// guards against a process that was held up: nobody was let in meanwhile, and who came stands in the kernel's queue
	if p.idleChecks++; p.lastConnectedAt >= p.lastIdleCheckAt || now.Since(p.lastIdleCheckAt) > drainQuietTime/2 {
		p.idleChecks = 0
	}
	p.lastIdleCheckAt = now
	if p.replaced || now.Since(p.drainStartedAt) >= drainAcceptTime && now.Since(p.lastConnectedAt) >= drainQuietTime {
		p.closeIdleClients()
		// guards against ending under one whom the kernel has let in and the loop has not heard of yet
		if p.clients.Len() == 0 && p.inflight.Len() == 0 && now.Since(max(p.drainStartedAt, p.lastConnectedAt)) >= drainQuietTime && p.idleChecks >= int(drainQuietTime/drainCheckInterval)/2 {
			p.enterPhase(Stopped)
			return
		}
	}
	if now >= p.drainDeadline() { // whoever still comes, nobody waits any more
		p.enterPhase(Stopped)
		return
	}
	p.timers.Push(now.Add(drainCheckInterval), timerEvent{idleCheck: true})
}

func (p *Proxy) closeIdleClients() {
	p.clients.Each(func(_ clientConnID, client *clientConn) {
		if p.mayCloseClient(client) {
			p.closeIfQuiet(client)
		}
	})
}

// drainDeadline is when a node that drains ends at the latest: before who told it to ends it.
func (p *Proxy) drainDeadline() policy.Instant {
	return p.drainStartedAt.Add(min(cmp.Or(p.Settings.LongestDeadline, maxShutdownWait), maxShutdownWait) + shutdownMargin)
}

// token is a request's id towards the host: a slot's, so that no client can name another's.
func policyRequestID(id inflightID) policy.RequestID {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return policy.RequestID(b[:])
}

func inflightIDOf(id policy.RequestID) inflightID {
	if len(id) != 8 {
		return 0
	}
	return inflightID(binary.BigEndian.Uint64([]byte(id)))
}

// SetTimer wakes the host.
func (p *Proxy) SetTimer(in time.Duration, token string) {
	p.timers.Push(p.now().Add(in), timerEvent{dispatcherTimer: token})
}

// PollEndpoints needs nothing: the list is always followed.
func (p *Proxy) PollEndpoints() {}

// freeDescriptor frees one descriptor of the least use: an idle link first, then an idle client.
func (p *Proxy) freeDescriptor() bool { return p.closeLongestIdleConn() || p.closeLongestIdleClient() }

// mayCloseClient tells whether a client is idle; who has just connected has some time for its first command.
func (p *Proxy) mayCloseClient(client *clientConn) bool {
	return client.idle() && (client.firstSlot > 0 || p.now().Since(client.lastUsedAt) >= firstCommandGrace)
}

// closeLongestIdleClient closes the one that has been idle longest, but first those that have never said anything.
func (p *Proxy) closeLongestIdleClient() bool {
	var idle []*clientConn
	p.clients.Each(func(_ clientConnID, client *clientConn) {
		if p.mayCloseClient(client) {
			idle = append(idle, client)
		}
	})
	slices.SortFunc(idle, compareByUse(1))
	for _, client := range idle {
		if p.closeIfQuiet(client) {
			p.counters.ClosedForRoom++
			return true
		}
	}
	return false
}

// dial opens a connection for a link, making room for it if need be. Links never take the clients' share: who
// comes could not be let in then, and what it had sent would be lost. The one for the list is owed at any time.
func (p *Proxy) dial(addr string, id upstreamConnID, reserved bool) error {
	if !reserved && p.conns.Len() > p.maxUpstreamConns() && !p.closeLongestIdleConn() {
		return sockets.ErrNoDescriptor
	}
	err := p.engine.Dial(addr, p.connectTimeout(), uint64(id))
	if err != nil && p.freeDescriptor() {
		err = p.engine.Dial(addr, p.connectTimeout(), uint64(id))
	}
	return err
}
