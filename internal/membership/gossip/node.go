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
	// tickInterval is the time between two ticks of the detector: several in each heartbeat interval.
	tickInterval = 50 * time.Millisecond
	// joinInterval is the time between two attempts to reach a seed while nobody is known.
	joinInterval = 500 * time.Millisecond
	// leaveTimeout is how long the library may take to say that this node leaves.
	leaveTimeout = 300 * time.Millisecond
	// closeTimeout is how long Close waits for calls under way; a call to one that doesn't answer is left to itself.
	closeTimeout = 500 * time.Millisecond
	// trafficTraceTicks is the number of ticks between two trace lines about traffic.
	trafficTraceTicks = 40
)

// Config says where and how a node joins.
type Config struct {
	Name        string // of the node
	FleetConfig *fleetconfig.File
	Log         *logrus.Logger
	// Now reads a clock that runs on through a suspend, such as BootTime.
	Now func() monotime.Instant
	// Trace is called with each line of the trace, on a goroutine of its own; nil for no trace.
	Trace func([]byte)
	// OnNameConflict is called once this process has to end as another one has its name; nil for nobody.
	OnNameConflict func(error)
}

// Node is a node's part in the gossip of its fleet. Its methods may be called from any goroutine.
type Node struct {
	Config
	process   membership.ProcessID
	transport *transport
	list      *memberlist.Memberlist
	queue     *memberlist.TransmitLimitedQueue // statements that are to be passed on
	tracer    *tracer                          // nil for no trace

	lifecycle   lifecycle
	syncTargets chan string // addresses to exchange the full state with
	loopCount   atomic.Uint64
	knownCount  atomic.Int64  // processes that the detector knows
	presence    atomic.Int32  // the Presence to be stated
	unreadable  atomic.Uint64 // messages of this fleet that could not be read
	view        atomic.Pointer[membership.View]
	state       state
}

// state is what a node's goroutines and the library's calls share.
type state struct {
	mu               sync.Mutex // for all of it
	detector         *membership.Detector
	statements       statementStore
	conflictReported bool
	libraryMembers   []string // as the library has them, for the trace
}

// lifecycle ends a node's goroutines.
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

// Open joins over sockets of its own. The error tells which address can't be listened on.
func Open(c Config) (*Node, error) {
	sockets, err := Listen(c.FleetConfig.Fleet.Listen)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for other nodes on %s: %w", c.FleetConfig.Fleet.Listen, err)
	}
	return Join(c, sockets)
}

// Join joins over a transport, which it closes in the end, also where it fails.
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
		return nil, fmt.Errorf("the gossip between nodes does not start: %w", err)
	}
	n.start()
	return n, nil
}

// newProcessID draws an id that isn't 0.
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
	spans := membership.Timings{
		MaxPause:          members.Pause(),
		HeartbeatInterval: members.HeartbeatInterval(),
		RejoinDelay:       members.RejoinDelay(),
		LoopTimeout:       members.LoopTimeout(),
		ForgetAfter:       members.ForgetAfter(),
	}
	n.state.detector = membership.New(
		membership.NewConfig(spans, members.MaxMembers),
		process,
		membership.NodeName(c.Name),
		advertised.String(),
		c.FleetConfig.Fleet.Seeds,
	)
	n.view.Store(n.state.detector.View())
	return n
}

// start starts the node's goroutines. With the engine "plain" the library is alone, as a baseline for rehearsals.
func (n *Node) start() {
	n.lifecycle.goroutines.Add(2)
	go n.joinSeeds()
	go n.syncWithTargets()
	if n.FleetConfig.Fleet.Engine != fleetconfig.EnginePlain {
		n.lifecycle.goroutines.Add(1)
		go n.runTicks()
	}
}

// joinSeeds asks the seeds until somebody is known.
func (n *Node) joinSeeds() {
	defer n.lifecycle.goroutines.Done()
	for {
		for _, seed := range n.FleetConfig.Fleet.Seeds {
			if n.list.NumMembers() > 1 || n.lifecycle.isClosed() {
				break
			}
			if seed != n.FleetConfig.Fleet.Advertise {
				_, _ = n.list.Join([]string{seed}) // one that doesn't answer is asked again
			}
		}
		select {
		case <-n.lifecycle.closed:
			return
		case <-time.After(joinInterval):
		}
	}
}

// syncWithTargets exchanges the full state with one node after the other.
func (n *Node) syncWithTargets() {
	defer n.lifecycle.goroutines.Done()
	for {
		select {
		case <-n.lifecycle.closed:
			return
		case addr := <-n.syncTargets:
			_, _ = n.list.Join([]string{addr}) // the detector asks again where it is needed
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

// tick has the detector do what is due, and sends and publishes what follows from that.
func (n *Node) tick() {
	result := n.tickDetector()
	n.publish(result.view)
	n.send(&result.actions)
	n.transport.onTick(n.knownCount.Load() > largeFleet)
	if result.conflict != nil && n.OnNameConflict != nil {
		n.OnNameConflict(result.conflict)
	}
}

// tickResult is what one tick of the detector leads to.
type tickResult struct {
	actions  membership.Actions
	view     *membership.View
	conflict error // to be reported; nil for none, or where it was reported before
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

// send sends the heartbeats that are due, and passes on with which node to exchange the full state.
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
	default: // an exchange is under way
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
		_ = n.transport.send(kindHeartbeat, message, addr) // one that fails is like one that is lost
	}
}

// onHeartbeat takes a heartbeat that has arrived.
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

// LoopAdvanced tells that the loop that serves clients has gone round. Without it this process sends no heartbeats.
func (n *Node) LoopAdvanced() { n.loopCount.Add(1) }

// Close ends the node, and first tells the others that it leaves where orderly is set. It takes a second at most,
// even if others don't answer. Further calls do nothing.
func (n *Node) Close(orderly bool) {
	n.lifecycle.once.Do(func() {
		close(n.lifecycle.closed)
		if orderly {
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

// awaitGoroutines waits for the node's goroutines, for closeTimeout at most. Guards against a node that can't end
// since a seed accepts its connection and says nothing.
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
