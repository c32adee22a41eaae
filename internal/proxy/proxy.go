package proxy

import (
	"net"
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/discovery"
	"dahliapin/internal/idletimeout"
	"dahliapin/internal/proxy/degradation"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/proxy/requestids"
	"dahliapin/internal/proxy/sockets"
	"dahliapin/policy"
)

// maxQueuedCommands is how many commands from other goroutines may be queued for the event loop before their callers
// block. They come from operators and from a takeover, a few at a time.
const maxQueuedCommands = 16

// Proxy is one node. Each of its parts holds the state of one concern. The event loop consists of methods of Proxy, and
// only it reads and writes that state; what other goroutines may access is documented as such.
type Proxy struct {
	config     Config // Discovery, MemoryLimit and LastKnownEndpoints change while the node runs
	clock      clock
	engine     *sockets.Engine
	dispatcher *dispatch.Dispatcher
	timers     timerTable
	tasks      taskQueue
	lifecycle  lifecycle
	takeover   takeover
	downstream downstream
	inflight   inflightTable
	upstream   upstream
	endpoints  endpointTable
	metrics    metricsPublisher
	stalls     stallDetector
}

// New opens the listeners and starts a node. It returns an error if a listener cannot be opened. Run must be called
// next.
func New(config Config) (*Proxy, error) {
	addrs := []string{config.Listen}
	for _, listener := range config.Listeners.Listeners {
		addrs = append(addrs, listener.Listen)
	}
	var inherited map[string]net.Listener
	if config.Inherited != nil {
		inherited = config.Inherited.Listeners
	}
	engine, err := sockets.New(addrs, config.DescriptorLimit, inherited)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		config:   config,
		clock:    clock{startedAt: time.Now(), wall: time.Now},
		engine:   engine,
		tasks:    taskQueue{commands: make(chan func(), maxQueuedCommands), done: make(chan struct{})},
		takeover: takeover{totalMemory: config.MemoryLimit},
		inflight: inflightTable{
			ids:       map[string]bool{},
			recentIDs: requestids.NewRecent(config.MemoryLimit / recentIDsDivisor),
		},
		endpoints: endpointTable{byID: map[policy.EndpointID]*knownEndpoint{}},
	}
	p.downstream.codecs = p.newDownstreamCodecs()
	p.metrics.byClass = newClassSnapshots(&config.Settings)
	p.startDispatcher()
	p.upstream.idleTimeout = idletimeout.New(config.Settings.Policy.IdleTimeout)
	p.endpoints.watch.poller = discovery.New(config.Settings.Policy.Nodes)
	p.endpoints.watch.jitter.Seed = uint32(config.Seed ^ config.Seed>>32)
	p.applyLastKnownEndpoints()
	p.schedule(p.now().Add(lastKnownListDelay), timerEvent{kind: timerLastKnownList})
	if config.Inherited != nil {
		p.startAsSuccessor()
	} else {
		p.offerHandover()
	}
	p.sweep()
	p.startWatch()
	return p, nil
}

// newDownstreamCodecs returns the codecs of the listeners, in the order of the listeners.
func (p *Proxy) newDownstreamCodecs() []downstreamCodec {
	codecs := []downstreamCodec{metaDownstream{}}
	for i := range p.config.Listeners.Listeners {
		listener := &p.config.Listeners.Listeners[i]
		if listener.Protocol == listeners.ProtocolHTTP {
			codecs = append(codecs, newHTTPDownstream(listener, i, p))
		} else {
			codecs = append(codecs, metaDownstream{})
		}
	}
	return codecs
}

// startDispatcher starts the dispatcher with the decisions of package policy. Its observers are the endpoint stats,
// followed by the event log's recorder, each only if it is configured.
func (p *Proxy) startDispatcher() {
	var observer dispatch.Observer
	if p.config.OnEvent != nil {
		record := func(e eventlog.Event) { p.config.OnEvent(e, p.clock.timeOf(e.At)) }
		isOrigin := func(e policy.Endpoint) bool { return p.isOrigin(e.Kind) }
		observer = eventlog.New(p.config.Name, record, isOrigin)
	}
	decider := p.newDecider(observer)
	if p.config.PublishMetrics {
		p.metrics.endpoints = newEndpointStats(observer)
		observer = p.metrics.endpoints
	}
	p.dispatcher = dispatch.NewWithDecider(p.now(), decider, p, observer)
}

// newDecider returns the decider of package policy, wrapped in the filter for the operators' degradation levels if
// there are any.
func (p *Proxy) newDecider(observer dispatch.Observer) dispatch.Decider {
	router := policy.New(p.now(), p.config.Seed, p.config.Settings.Policy)
	levels := p.config.Listeners.Levels
	if len(levels) == 0 {
		return router
	}
	onChange := func(now policy.Instant, level int, name string) {
		p.metrics.counters.Level = uint64(level)
		p.config.Log.WithField("level", name).Warn("degradation level changed")
		if recorder, ok := observer.(*eventlog.Recorder); ok {
			recorder.LevelChanged(now, name)
		}
	}
	seed := uint32(p.config.Seed)
	return degradation.NewFilter(router, p.now(), seed, levels, &p.config.Settings, onChange, &p.metrics.counters.Shed)
}

// Addr returns the address of a listener: number 0 is that of Config.Listen, and those of Config.Listeners follow.
func (p *Proxy) Addr(listener int) string { return p.engine.Addr(listener).String() }

// Shutdown makes the node drain and stop. It may be called from any goroutine, and more than once.
func (p *Proxy) Shutdown() { p.runInLoop(p.startDrain) }

// SetDiscovery makes the node poll the endpoint list at another address from now on. The last list received stays in
// use until a complete one arrives from there. It may be called from any goroutine, and more than once.
func (p *Proxy) SetDiscovery(addr string) { p.runInLoop(func() { p.changeDiscovery(addr) }) }

// Counters returns the current counters. It may be called from any goroutine, also after the node has stopped.
func (p *Proxy) Counters() metrics.Counters {
	answer := make(chan metrics.Counters, 1)
	if !p.runInLoop(func() { answer <- p.metrics.counters }) {
		return p.metrics.counters
	}
	select {
	case counters := <-answer:
		return counters
	case <-p.tasks.done:
		return p.metrics.counters
	}
}

// Metrics returns the last snapshot published, or nil if there is none. It may be called from any goroutine.
func (p *Proxy) Metrics() *metrics.Snapshot { return p.metrics.snapshot.Load() }

// BlockLoop blocks the event loop until a channel is closed. Rehearsals use it to simulate a process that hangs.
func (p *Proxy) BlockLoop(until <-chan struct{}) { p.runInLoop(func() { <-until }) }

// Replaced reports whether another process of the node accepts the connections: a successor, or the predecessor to
// which this process has returned them. It may be called only within the event loop, that is, by a callback of Config.
func (p *Proxy) Replaced() bool { return p.takeover.otherProcessAccepts }
