package gossip

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/membership"
	"dahliapin/internal/monotime"
)

const (
	// tickInterval is the time between two ticks of the detector; there are several in each heartbeat interval.
	tickInterval = 50 * time.Millisecond
	// joinInterval is the time between two attempts to reach a seed while no other node is known.
	joinInterval = 500 * time.Millisecond
	// leaveTimeout is how long the library may take to announce that this node leaves.
	leaveTimeout = 300 * time.Millisecond
	// closeTimeout is how long Close waits for calls in progress. A call to a node that does not answer is abandoned.
	closeTimeout = 500 * time.Millisecond
	// trafficTraceTicks is the number of ticks between two trace lines about traffic.
	trafficTraceTicks = 40
)

// Config configures how a node joins its fleet.
type Config struct {
	Name        string // of the node
	FleetConfig *fleetconfig.File
	Log         *logrus.Logger
	// Now reads a clock that continues through a system suspend, such as [BootTime].
	Now func() monotime.Instant
	// Trace is called with each line of the trace, on a separate goroutine; nil disables the trace.
	Trace func([]byte)
	// OnNameConflict is called once this process has to exit because another process has its name. It may be nil.
	OnNameConflict func(error)
}

// Node takes part in the gossip of its fleet. Its methods may be called from any goroutine.
type Node struct {
	Config
	process   membership.ProcessID
	transport *memberlistTransport
	list      *memberlist.Memberlist
	queue     *memberlist.TransmitLimitedQueue // statements to be gossiped
	tracer    *tracer                          // nil if the trace is disabled

	lifecycle   lifecycle
	syncTargets chan string // addresses to exchange the full state with
	loopCount   atomic.Uint64
	knownCount  atomic.Int64  // number of processes that the detector knows
	presence    atomic.Int32  // the Presence to state
	unreadable  atomic.Uint64 // messages of this fleet that could not be decoded
	view        atomic.Pointer[membership.View]
	state       state
}

// state is shared by a node's goroutines and the library's callbacks.
type state struct {
	mu               sync.Mutex // guards all fields
	detector         *membership.Detector
	statements       statementStore
	conflictReported bool
	libraryMembers   []string // members of the library, for the trace
}

// lifecycle ends the goroutines of a node.
type lifecycle struct {
	closed     chan struct{} // closed by Close
	goroutines sync.WaitGroup
	once       sync.Once
}

func (l *lifecycle) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Open joins over sockets that it opens. If it cannot listen, the error names the address.
func Open(c Config) (*Node, error) {
	sockets, err := Listen(c.FleetConfig.Fleet.Listen)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for other nodes on %s: %w", c.FleetConfig.Fleet.Listen, err)
	}
	return Join(c, sockets)
}

// Join joins over a transport. The node closes the transport when it is closed; Join closes it if it fails.
func Join(c Config, sockets Transport) (*Node, error) {
	advertised, err := netip.ParseAddrPort(c.FleetConfig.Fleet.Advertise)
	if err != nil {
		sockets.close()
		return nil, err
	}
	process, err := newProcessID()
	if err != nil {
		sockets.close()
		return nil, err
	}
	n := newNode(c, process, advertised)
	n.transport = newTransport(sockets, advertised, c.FleetConfig, n.onHeartbeat)
	n.list, err = memberlist.Create(n.libraryConfig())
	if err != nil {
		_ = n.transport.Shutdown()
		n.tracer.close()
		return nil, fmt.Errorf("cannot start the gossip between nodes: %w", err)
	}
	n.start()
	return n, nil
}

// newProcessID draws a random ID that is not 0.
func newProcessID() (membership.ProcessID, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return 0, err
	}
	return membership.ProcessID(binary.LittleEndian.Uint64(id[:]) | 1), nil
}

func newNode(c Config, process membership.ProcessID, advertised netip.AddrPort) *Node {
	n := &Node{
		Config:      c,
		process:     process,
		tracer:      newTracer(c.Trace),
		lifecycle:   lifecycle{closed: make(chan struct{})},
		syncTargets: make(chan string, 1),
	}
	n.queue = &memberlist.TransmitLimitedQueue{
		RetransmitMult: retransmitMult,
		NumNodes:       func() int { return int(n.knownCount.Load()) },
	}
	n.state.statements = newStatementStore()
	members := &c.FleetConfig.Members
	timings := membership.Timings{
		MaxPause:          members.Pause(),
		HeartbeatInterval: members.HeartbeatInterval(),
		RejoinDelay:       members.RejoinDelay(),
		LoopTimeout:       members.LoopTimeout(),
		ForgetAfter:       members.ForgetAfter(),
	}
	n.state.detector = membership.New(
		membership.NewConfig(timings, members.MaxMembers),
		process,
		membership.NodeName(c.Name),
		advertised.String(),
		c.FleetConfig.Fleet.Seeds,
	)
	n.view.Store(n.state.detector.View())
	return n
}

// start starts the node's goroutines. The engine "plain" runs the library without the detector, as a baseline for
// rehearsals.
func (n *Node) start() {
	n.lifecycle.goroutines.Add(2)
	go n.joinSeeds()
	go n.syncWithTargets()
	if n.FleetConfig.Fleet.Engine != fleetconfig.EnginePlain {
		n.lifecycle.goroutines.Add(1)
		go n.runTicks()
	}
}

// joinSeeds contacts the seeds until another node is known.
func (n *Node) joinSeeds() {
	defer n.lifecycle.goroutines.Done()
	for {
		for _, seed := range n.FleetConfig.Fleet.Seeds {
			if n.list.NumMembers() > 1 || n.lifecycle.isClosed() {
				break
			}
			if seed != n.FleetConfig.Fleet.Advertise {
				_, _ = n.list.Join([]string{seed}) // a seed that does not answer is tried again
			}
		}
		select {
		case <-n.lifecycle.closed:
			return
		case <-time.After(joinInterval):
		}
	}
}

// syncWithTargets exchanges the full state with one node at a time.
func (n *Node) syncWithTargets() {
	defer n.lifecycle.goroutines.Done()
	for {
		select {
		case <-n.lifecycle.closed:
			return
		case addr := <-n.syncTargets:
			_, _ = n.list.Join([]string{addr}) // the detector requests the exchange again if needed
		}
	}
}

// runTicks ticks until the node is closed.
func (n *Node) runTicks() {
	defer n.lifecycle.goroutines.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ticks := 1; ; ticks++ {
		select {
		case <-n.lifecycle.closed:
			return
		case <-ticker.C:
			if ticks%trafficTraceTicks == 0 {
				n.traceTraffic()
			}
			n.tick()
		}
	}
}

// tick ticks the detector, and sends and publishes the result.
func (n *Node) tick() {
	result := n.tickDetector()
	n.publish(result.view)
	n.send(&result.actions)
	n.transport.onTick(n.knownCount.Load() > largeFleet)
	if result.conflict != nil && n.OnNameConflict != nil {
		n.OnNameConflict(result.conflict)
	}
}

// tickResult is the result of one tick of the detector.
type tickResult struct {
	actions  membership.Actions
	view     *membership.View
	conflict error // to be reported; nil for none, or if it has been reported
}

func (n *Node) tickDetector() tickResult {
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	detector := n.state.detector
	detector.LoopAdvanced(n.loopCount.Load())
	n.applyPresence()
	actions := detector.Tick(n.Now())
	view := detector.View()
	conflict := detector.NameConflict()
	n.broadcastOwnStatement()
	n.knownCount.Store(int64(detector.KnownCount()))
	if n.state.statements.len() > detector.KnownCount() {
		n.state.statements.keepOnly(n.process, view.Members)
	}
	if n.state.conflictReported {
		conflict = nil
	}
	if conflict != nil {
		n.state.conflictReported = true
	}
	return tickResult{actions: actions, view: view, conflict: conflict}
}

// send sends the heartbeats that are due, and requests the exchange of the full state if there is a target.
func (n *Node) send(actions *membership.Actions) {
	n.sendHeartbeat(actions.Heartbeat, actions.HeartbeatTo)
	n.sendHeartbeat(actions.Heartbeat, actions.ReplyTo)
	probe := actions.Heartbeat
	probe.WantsReply = true
	n.sendHeartbeat(probe, actions.ProbeTo)
	if actions.SyncWith == "" {
		return
	}
	select {
	case n.syncTargets <- actions.SyncWith:
	default: // an exchange is in progress
	}
}

func (n *Node) sendHeartbeat(h membership.Heartbeat, to []string) {
	if len(to) == 0 {
		return
	}
	message, err := encodeHeartbeat(h)
	if err != nil {
		return
	}
	for _, addr := range to {
		_ = n.transport.send(kindHeartbeat, message, addr) // a failure is equivalent to a lost datagram
	}
}

// onHeartbeat handles a heartbeat that has arrived.
func (n *Node) onHeartbeat(message []byte) {
	h, err := decodeHeartbeat(message)
	if err != nil {
		n.unreadable.Add(1)
		return
	}
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	n.state.detector.OnHeartbeat(h)
}

// LoopAdvanced reports an iteration of the event loop that serves clients. Without it this process sends no heartbeats.
func (n *Node) LoopAdvanced() { n.loopCount.Add(1) }

// Close ends the node. If graceful is set, it first announces to the others that the node leaves. It takes a second at
// most, even if others do not answer. Further calls have no effect.
func (n *Node) Close(graceful bool) {
	n.lifecycle.once.Do(func() {
		close(n.lifecycle.closed)
		if graceful {
			n.leave()
		}
		n.awaitGoroutines()
		_ = n.list.Shutdown()
		n.tracer.close()
	})
}

func (n *Node) leave() {
	n.state.mu.Lock()
	n.SetPresence(Leaving)
	n.applyPresence()
	n.state.mu.Unlock()
	_ = n.list.Leave(leaveTimeout)
}

// awaitGoroutines waits at most closeTimeout for the node's goroutines. A seed that accepts a connection and does not
// answer would otherwise keep the node from ending.
func (n *Node) awaitGoroutines() {
	ended := make(chan struct{})
	go func() {
		n.lifecycle.goroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
	}
}
