// Package node is dahliapin as a library: one router on sockets that another program may embed.
package node

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/proxy"
	"dahliapin/internal/proxy/admin"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/internal/proxy/handover"
	"dahliapin/internal/proxy/metrics"
)

const (
	fewestSockets = 64   // descriptors that a node can do anything with
	fewestWithOps = 136  // the same where a node can be replaced: two processes, each with operators' callers
	usualSockets  = 1024 // descriptors where no limit is stated: what most systems allow
	usualMemory   = 192  // MB where no limit is stated
	rarely        = 200  // percent that the heap may grow between collections: it is small, and a long value is a fair part of it
	heapShare     = 0.6  // of the memory limit at which the collector works harder: stacks and sockets need some
	deskFiles     = 2    // descriptors of the operators' desk beside its callers: its listener and one just let in
	recordsAhead  = 4096 // records that may wait for who keeps them; more are dropped and counted, as no request is to wait
	fewestThreads = 2    // so that the loop need not wait for the poller to come back from its wait
)

// Phase is how far a node has come.
type Phase = proxy.Phase

// The phases, in their order.
const (
	Starting = proxy.Starting
	Serving  = proxy.Serving
	Standby  = proxy.Standby
	Draining = proxy.Draining
	Stopped  = proxy.Stopped
)

// Event is a record of what a node did to a cache.
type Event = eventlog.Event

// told is one on its way.
type told struct {
	entry Event
	at    time.Time
}

// Node is one node.
type Node struct {
	relay   *proxy.Proxy
	records chan told // nil where nobody is told
	kept    chan struct{}
	fault   atomic.Pointer[error] // why it had to end
	dropped uint64                // records; the loop's own until it has ended
	phase   atomic.Int32
	log     *logrus.Logger
	posting *Config                              // as it started
	desk    *admin.Server                        // nil where no operators call
	post    atomic.Pointer[gossip.Node]          // nil where it knows of no other node, or not yet
	follows atomic.Pointer[logfollower.Follower] // nil where it follows no log of changes, or not yet
	hung    chan struct{}                        // closed when the loop is to go on; nil while it does
	takes   sync.Once                            // its place among the nodes
	yields  bool                                 // its place in the fleet goes to the process that replaces it; the loop's own
}

// New listens as the posting says and starts. Serve is to follow.
func New(p *Config, log *logrus.Logger) (*Node, error) {
	n := &Node{log: log, posting: p}
	var note func(Event, time.Time)
	if p.OnEvent != nil {
		n.records, n.kept = make(chan told, recordsAhead), make(chan struct{})
		note = n.note
	}
	var err error
	beside := 0
	if p.Admin != "" {
		if n.desk, err = admin.Open(p.Admin); err != nil {
			return nil, err
		}
		beside = admin.MaxConnections + deskFiles
	}
	beside += p.fleetFiles()
	succeeds, handoverAt := n.predecessor()
	var turned func()
	if p.charter != nil {
		turned = n.turned
	}
	n.relay, err = proxy.New(proxy.Config{
		OnLoopIteration: turned,
		Listen:          p.Listen, Listeners: p.operator, Discovery: p.Discovery, Seed: p.Seed, Descriptors: cmp.Or(p.Sockets, usualSockets) - beside, OtherDescriptors: beside, PublishMetrics: n.desk != nil,
		Inherited: succeeds, HandoverPath: handoverAt, OnSharedLimits: n.together,
		Memory: p.memory(), Settings: p.terms, LastEndpoints: p.known, Log: log,
		OnPhaseChange: n.moved, Name: p.Name, OnEvent: note,
	})
	p.known = nil
	if err != nil {
		if n.desk != nil {
			n.desk.Close()
		}
		if succeeds != nil {
			succeeds.Close()
		}
		return nil, err
	}
	if n.desk != nil {
		n.desk.Serve(n.relay, n.fleet(), log)
	}
	if p.charter != nil && succeeds == nil { // else it waits for the one before it to go
		if err := n.join(); err != nil {
			n.relay.Shutdown()
			n.relay.Run()
			if n.desk != nil {
				n.desk.Close()
			}
			return nil, err
		}
	}
	listening := logrus.Fields{"name": p.Name, "listen": n.Addr()}
	if ops := n.AdminAddr(); ops != "" {
		listening["ops"] = ops
	}
	log.WithFields(listening).Info("listening")
	return n, nil
}

// note hands a record over, or drops it where whoever keeps them is slow.
func (n *Node) note(e Event, at time.Time) {
	select {
	case n.records <- told{e, at}:
	default:
		n.dropped++
	}
}

// Serve runs until the node has stopped, and its records are kept.
func (n *Node) Serve() {
	if n.desk != nil {
		defer n.desk.Close()
	}
	defer func() {
		if post := n.post.Load(); post != nil {
			post.Close(!n.yields)
		}
		if follows := n.follows.Load(); follows != nil {
			follows.Close()
		}
	}()
	if n.records == nil {
		n.relay.Run()
		return
	}
	go func() {
		defer close(n.kept)
		for t := range n.records {
			n.posting.OnEvent(t.entry, t.at)
		}
	}()
	n.relay.Run()
	close(n.records)
	<-n.kept
	if n.dropped > 0 {
		n.log.WithField("records", n.dropped).Warn("records dropped: whoever keeps them was slow")
	}
}

// Shutdown asks the node to drain and stop. It may be called from anywhere.
func (n *Node) Shutdown() { n.relay.Shutdown() }

// Reload takes a posting that has come anew: the address of discovery, and nothing else. What else differs is named
// in the log, for a restart to take. It may be called from anywhere.
func (n *Node) Reload(p *Config) {
	at := n.posting
	log := n.log.WithField("discovery", p.Discovery)
	for field, same := range map[string]bool{"name": p.Name == at.Name, "listen": p.Listen == at.Listen,
		"limits":   p.MemoryMB == at.MemoryMB && p.Sockets == at.Sockets,
		"settings": reflect.DeepEqual(p.terms, at.terms)} {
		if !same {
			log = log.WithField(field, "differs; a restart takes it")
		}
	}
	log.Info("configuration read again")
	n.relay.SetDiscovery(p.Discovery)
}

// Err tells why the node had to end by itself; nil for no such reason. It is to be asked once Serve has returned.
func (n *Node) Err() error {
	if err := n.fault.Load(); err != nil {
		return *err
	}
	return nil
}

// Phase tells how far it has come.
func (n *Node) Phase() Phase { return Phase(n.phase.Load()) }

// Addr is where it listens.
func (n *Node) Addr() string { return n.relay.Addr(0) }

// AdminAddr is where operators call; empty for nowhere.
func (n *Node) AdminAddr() string {
	if n.desk == nil {
		return ""
	}
	return n.desk.Addr()
}

// ListenerAddr is where a further listener of the operator's file listens, by its number there from 0.
func (n *Node) ListenerAddr(i int) string { return n.relay.Addr(i + 1) }

// Counters returns its counters.
func (n *Node) Counters() metrics.Counters { return n.relay.Counters() }

// ApplyLimits makes the process keep within a posting's limits. It is for a program that runs one node and nothing else.
func ApplyLimits(p *Config) {
	runtime.GOMAXPROCS(max(fewestThreads, runtime.GOMAXPROCS(0)))
	debug.SetGCPercent(rarely)
	p.fitted = true
	p.fit(false)
}

// predecessor finds the process that this one is to replace, and where this one may be replaced itself. Only nodes that operators
// call are replaced, and whatever is wrong with the folder for it, a node starts as without it.
func (n *Node) predecessor() (*handover.Inherited, string) {
	if at, err := netip.ParseAddrPort(n.posting.Listen); n.desk == nil || err != nil || at.Port() == 0 {
		return nil, ""
	}
	path := handover.Path(os.TempDir(), n.posting.Listen)
	from, err := handover.Inherit(path)
	if err != nil {
		n.log.WithError(err).Warn("no process can be replaced")
	}
	if from != nil {
		n.log.WithField("listeners", len(from.Listeners)).Info("taking another process's place")
	}
	return from, path
}

// together has two processes of one node share its memory.
func (n *Node) together(two bool) {
	if n.posting.fitted {
		n.posting.fit(two)
	}
	if !two && n.posting.charter != nil && n.post.Load() == nil {
		n.takes.Do(func() { go n.takeOver() })
	}
}

func (p *Config) fit(together bool) {
	limit := heapShare * float64(p.memory())
	if together {
		limit /= 2
	}
	debug.SetMemoryLimit(int64(limit))
}

func (p *Config) memory() int64 { return int64(cmp.Or(p.MemoryMB, usualMemory)) << 20 }

// LogCounters writes the counters to the log, in one line.
func (n *Node) LogCounters() {
	fields := logrus.Fields{}
	c := n.Counters()
	c.Each(func(name string, count uint64) { fields[name] = count })
	n.log.WithFields(fields).Info(fmt.Sprintf("counters, %s", n.Phase()))
}
