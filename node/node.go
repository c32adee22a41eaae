package node

import (
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/proxy"
	"dahliapin/internal/proxy/admin"
	"dahliapin/internal/proxy/handover"
	"dahliapin/internal/proxy/metrics"
)

// Phase is a phase in the lifecycle of a node.
type Phase = proxy.Phase

// The phases. Starting is followed by Serving; both may change to Standby, and Standby changes back to Starting
// (leaveStandby). All may change to Draining, which is followed by Stopped, the final phase. joinAfterTakeover relies
// on these two being the last.
const (
	Starting = proxy.Starting
	Serving  = proxy.Serving
	Standby  = proxy.Standby
	Draining = proxy.Draining
	Stopped  = proxy.Stopped
)

// Node is a running node.
type Node struct {
	config *Config // at the start of the node
	log    *logrus.Logger
	phase  atomic.Int32
	fatal  atomic.Pointer[error] // why the node shut itself down; nil if it did not

	proxy    *proxy.Proxy
	admin    *admin.Server                        // nil without an admin address
	gossip   atomic.Pointer[gossip.Node]          // nil without a fleet, or until it is joined
	follower atomic.Pointer[logfollower.Follower] // nil without a replicated log, or until the fleet is joined
	events   *eventQueue                          // nil without Config.OnEvent

	joinOnce  sync.Once     // guards the join after a takeover
	replaced  bool          // another process has taken over this node in the fleet; owned by the event loop
	loopBlock chan struct{} // closed to end BlockLoop; nil while the loop runs
}

// New opens the configured listeners and starts the node. Call Serve next.
func New(c *Config, log *logrus.Logger) (*Node, error) {
	n := &Node{log: log, config: c}
	if c.OnEvent != nil {
		n.events = newEventQueue()
	}
	if c.Admin != "" {
		server, err := admin.Listen(c.Admin)
		if err != nil {
			return nil, err
		}
		n.admin = server
	}
	inherited, handoverPath := n.inherit()
	err := n.startProxy(inherited, handoverPath)
	c.lastList = nil
	if err != nil {
		n.closeAdmin()
		if inherited != nil {
			inherited.Close()
		}
		return nil, err
	}
	if n.admin != nil {
		n.admin.Serve(n.proxy, n.adminFleet(), log)
	}
	// A process that takes over from another one joins the fleet after the other has stopped; see onSharedLimits.
	if c.fleet != nil && inherited == nil {
		if err := n.join(); err != nil {
			n.proxy.Shutdown()
			n.proxy.Run()
			n.closeAdmin()
			return nil, err
		}
	}
	listening := logrus.Fields{"name": c.Name, "listen": n.Addr()}
	if addr := n.AdminAddr(); addr != "" {
		listening["ops"] = addr
	}
	log.WithFields(listening).Info("listening")
	return n, nil
}

func (n *Node) startProxy(inherited *handover.Inherited, handoverPath string) error {
	c := n.config
	config := proxy.Config{
		Name: c.Name, Listen: c.Listen, Listeners: c.listeners, Discovery: c.Discovery, Seed: c.Seed,
		DescriptorLimit: c.proxyDescriptors(), ReservedDescriptors: c.otherDescriptors(), MemoryLimit: c.dataMemory(),
		Settings: c.settings, LastKnownEndpoints: c.lastList, Log: n.log, PublishMetrics: n.admin != nil,
		Inherited: inherited, HandoverPath: handoverPath,
		OnSharedLimits: n.onSharedLimits, OnPhaseChange: n.onPhaseChange,
	}
	if n.events != nil {
		config.OnEvent = n.events.add
	}
	if c.fleet != nil {
		config.OnLoopIteration = n.onLoopIteration
	}
	var err error
	n.proxy, err = proxy.New(config)
	return err
}

// Serve runs until the node has stopped and all its events have been received.
func (n *Node) Serve() {
	defer n.closeAdmin()
	defer n.leaveFleet()
	if n.events == nil {
		n.proxy.Run()
		return
	}
	n.events.start(n.config.OnEvent)
	n.proxy.Run()
	if dropped := n.events.close(); dropped > 0 {
		n.log.WithField("records", dropped).Warn("events dropped because Config.OnEvent was too slow")
	}
}

func (n *Node) closeAdmin() {
	if n.admin != nil {
		n.admin.Close()
	}
}

// Shutdown asks the node to drain and stop. It may be called from any goroutine.
func (n *Node) Shutdown() { n.proxy.Shutdown() }

// Reload applies the discovery address of a changed configuration and nothing else. Other differences are logged, as
// they require a restart. It may be called from any goroutine.
func (n *Node) Reload(c *Config) {
	running := n.config
	log := n.log.WithField("discovery", c.Discovery)
	sameLimits := c.MemoryMB == running.MemoryMB && c.Sockets == running.Sockets
	for field, same := range map[string]bool{
		"name":     c.Name == running.Name,
		"listen":   c.Listen == running.Listen,
		"limits":   sameLimits,
		"settings": reflect.DeepEqual(c.settings, running.settings),
	} {
		if !same {
			log = log.WithField(field, "differs; takes effect after a restart")
		}
	}
	log.Info("configuration reloaded")
	n.proxy.SetDiscovery(c.Discovery)
}

// Err returns why the node shut itself down, or nil if it was asked to shut down. Call it after Serve has returned.
func (n *Node) Err() error {
	if err := n.fatal.Load(); err != nil {
		return *err
	}
	return nil
}

// Phase returns the current phase. It may be called from any goroutine.
func (n *Node) Phase() Phase { return Phase(n.phase.Load()) }

// Addr returns the address and port on which the node listens for clients.
func (n *Node) Addr() string { return n.proxy.Addr(0) }

// AdminAddr returns the address and port of the admin server, or an empty string for none.
func (n *Node) AdminAddr() string {
	if n.admin == nil {
		return ""
	}
	return n.admin.Addr()
}

// ListenerAddr returns the address and port of a listener in the listeners file, by its index there.
func (n *Node) ListenerAddr(i int) string { return n.proxy.Addr(i + 1) }

// Counters returns a copy of the node's counters.
func (n *Node) Counters() metrics.Counters { return n.proxy.Counters() }

// LogCounters writes the counters to the log, in one line.
func (n *Node) LogCounters() {
	fields := logrus.Fields{}
	c := n.Counters()
	c.Each(func(name string, count uint64) { fields[name] = count })
	n.log.WithFields(fields).Info(fmt.Sprintf("counters, %s", n.Phase()))
}

// BlockLoop blocks the event loop or, at the next call, unblocks it. The rest of the process keeps running, so that the
// node is alive for its peers but does not serve its clients. It is for fleet tests and must be called from one
// goroutine.
func (n *Node) BlockLoop() {
	if n.loopBlock != nil {
		close(n.loopBlock)
		n.loopBlock = nil
		return
	}
	n.loopBlock = make(chan struct{})
	n.proxy.BlockLoop(n.loopBlock)
}
