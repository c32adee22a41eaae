//go:build linux && (amd64 || arm64)

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/cachestub"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/syscallfault"
)

// The sites of a control server, beside cacheConn and discoveryConn.
const (
	nodesListener site = "nodes' listener"
	peersListener site = "peers' listener"
	nodeConn      site = "node or operator"
	peerIn        site = "peer to server"
	peerOut       site = "server to peer"
)

const (
	publishWithin = time.Second            // before a publisher gives up
	cutInterval   = 300 * time.Millisecond // between two cuts of the control server's connections
	followerStale = time.Minute
	quickElection = 300  // election timeout in milliseconds of a control server that is to lead
	slowElection  = 1500 // of one that is to follow
)

// controlFaults lists the errors that each call of a control server may return.
func controlFaults() []callFaults {
	return streamFaults(streamSites{
		listeners:   []site{nodesListener, peersListener},
		connections: []site{nodeConn, peerIn, peerOut, cacheConn, discoveryConn},
		written:     []site{nodeConn, peerOut, cacheConn, discoveryConn}, // peers only send on streams that they open
		servers:     []site{peerOut, cacheConn, discoveryConn},
	})
}

// TestControlServerSyscallFaults injects each error that Linux documents at each of a control server's system calls. An
// acknowledged change must reach each follower of any control server exactly once, and its purge must reach the caches.
// Nothing may spin, no descriptor may leak, and the server must take and replicate changes as before.
func TestControlServerSyscallFaults(t *testing.T) {
	var started atomic.Int64
	runFaults(t, faultProcesses, shortFormFraction, controlFaults(), func(t testing.TB) faultTarget {
		return startFaultControlServer(t, started.Add(1)%2 == 0)
	})
}

// faultControlServer is a traced control server with two others, a cache and discovery, and a node that follows the
// traced server and one that follows another server.
type faultControlServer struct {
	*tracedProcess
	faultServers
	process   *exec.Cmd
	ports     map[site]int
	peerPorts []int // at which it reaches the other servers
	relays    []*relay
	cache     *cachestub.Cache
	client    controlclient.Client // of the traced server
	followers []*recordingFollower
	published atomic.Int64
	requests  atomic.Int64

	mu      sync.Mutex
	ordered []string // keys whose purges were acknowledged
}

// isOf reports whether a socket of the control server belongs to the site.
func (s *faultControlServer) isOf(at site, socket syscallfault.Socket) bool {
	switch at {
	case nodesListener, peersListener:
		return socket.Listening && socket.LocalPort == s.ports[at]
	case nodeConn:
		return !socket.Listening && socket.LocalPort == s.ports[nodesListener]
	case peerIn:
		return !socket.Listening && socket.LocalPort == s.ports[peersListener]
	case peerOut:
		return slices.Contains(s.peerPorts, socket.PeerPort)
	default:
		return socket.PeerPort == s.ports[at]
	}
}

// startFaultControlServer starts a control server, which probably leads or follows, and traces it.
func startFaultControlServer(t testing.TB, leads bool) *faultControlServer {
	s := &faultControlServer{}
	var err error
	if s.cache, err = cachestub.Open("c", nil, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.cache.Close)
	discovery := httptest.NewServer(s.discoveryHandler(s.cache.Addr(), "127.0.0.1:1"))
	t.Cleanup(discovery.CloseClientConnections)
	fleet := s.newFleet(t, discovery.Listener.Addr().String(), leads)
	s.ports = map[site]int{
		nodesListener: portOf(t, fleet.nodes[0]), peersListener: portOf(t, fleet.peers[0]),
		cacheConn: portOf(t, s.cache.Addr()), discoveryConn: portOf(t, discovery.Listener.Addr().String()),
	}
	for i := range fleet.peers {
		process, log := fleet.start(t, i, "--new")
		waitForLine(t, log, "control server listening")
		go drain(log)
		if i == 0 {
			s.process = process
		}
	}
	s.client = controlclient.Client{Servers: fleet.nodes[:1], Label: "l"}
	for i := range 2 {
		s.followers = append(s.followers, followControlServer(t, fleet.nodes[i]))
	}
	if !eventually(recoverWithin, s.publish) { // a follower starts once there is an entry, and skips it
		t.Fatal("no change is taken")
	}
	s.ordered = nil
	for _, follower := range s.followers {
		if !eventually(recoverWithin, follower.hasStarted) {
			t.Fatal("a follower does not start")
		}
	}
	s.tracedProcess = traceProcess(t, s.process.Process.Pid)
	s.load(faultLoad, nil)
	if failures := s.converges(); len(failures) > 0 {
		t.Fatalf("before any fault: %q", failures)
	}
	s.countIdleDescriptors(t)
	return s
}

// newFleet returns three control servers that reach each other through relays. The first carries out purges.
func (s *faultControlServer) newFleet(t testing.TB, discovery string, leads bool) *controlFleet {
	fleet := newControlFleet(t)
	fleet.peers, fleet.reached = fleet.peers[:3], nil
	fleet.section = fmt.Sprintf("[purges]\ndiscovery='%s'\nfills_s=0.05\n", discovery)
	fleet.elections = []int{slowElection, quickElection, quickElection}
	if leads {
		fleet.elections = []int{quickElection, slowElection, slowElection}
	}
	for i, addr := range fleet.peers {
		r := startRelay(t, addr)
		s.relays = append(s.relays, r)
		fleet.reached = append(fleet.reached, r.addr())
		if i > 0 {
			s.peerPorts = append(s.peerPorts, portOf(t, r.addr()))
		}
	}
	return fleet
}

func drain(log chan string) {
	for range log {
	}
}

func (s *faultControlServer) end() { _ = s.process.Process.Kill() }

// publish has a purge ordered by the traced server, and reports whether it was acknowledged.
func (s *faultControlServer) publish() bool {
	key := fmt.Sprint("k", s.published.Add(1))
	s.cache.Fill(key, 1)
	ctx, cancel := context.WithTimeout(context.Background(), publishWithin)
	defer cancel()
	s.requests.Add(1)
	_, err := s.client.Publish(ctx, []replicatedlog.Proposal{
		controlclient.NewProposal(replicatedlog.Purge, []byte(key)),
	})
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ordered = append(s.ordered, key)
	return true
}

// load has purges published, the overview read and the streams between control servers cut, until the load of a fault
// ends.
func (s *faultControlServer) load(length time.Duration, injection *syscallfault.Injection) {
	goesOn := loadLasts(length, injection)
	var all sync.WaitGroup
	for range 2 {
		all.Go(func() {
			for goesOn() {
				s.publish()
				time.Sleep(thinkTime)
			}
		})
	}
	all.Go(func() {
		for goesOn() {
			s.requests.Add(1)
			_, _ = s.client.Overview()
			time.Sleep(4 * thinkTime)
		}
	})
	all.Go(func() {
		for goesOn() {
			s.cutConnections()
			time.Sleep(cutInterval)
		}
	})
	all.Wait()
}

// cutConnections closes the connections of control servers to each other and to the cache.
func (s *faultControlServer) cutConnections() {
	for _, r := range s.relays {
		r.cut()
	}
	s.cache.SetFault(cachestub.Refuse, 0)
	s.cache.SetFault(cachestub.None, 0)
}

// runWithFault injects a fault under load, and returns how many calls failed and what broke.
func (s *faultControlServer) runWithFault(f *fault) (injected int, failures []string) {
	injection, asked := s.tracer.Inject(f.rule(s.isOf)), s.requests.Load()
	s.load(f.load(), injection)
	s.tracer.Clear()
	injected = injection.Injected()
	failures = append(f.checkRepeats(injected, s.requests.Load()-asked), s.converges()...)
	polls := s.polls.Load()
	failures = append(failures, s.recoversTo(
		expectation{"discovery is no longer polled", func() bool { return s.polls.Load() > polls }},
	)...)
	return injected, failures
}

// converges returns what does not hold soon: a change is taken, and each acknowledged change reaches the followers once
// and the cache.
func (s *faultControlServer) converges() (failures []string) {
	expected := []expectation{
		{"no change is taken", s.publish},
		{"purges do not reach the cache", func() bool { return len(s.unpurged()) == 0 }},
	}
	for i, follower := range s.followers {
		expected = append(expected, expectation{
			fmt.Sprintf("changes do not reach the follower of server %d", i+1),
			func() bool { return follower.hasAll(s.orderedKeys()) },
		})
	}
	for _, e := range expected {
		if !eventually(recoverWithin, e.holds) {
			failures = append(failures, e.failure)
		}
	}
	for _, follower := range s.followers {
		failures = append(failures, follower.wrong()...)
	}
	return failures
}

func (s *faultControlServer) orderedKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ordered)
}

// unpurged returns the keys whose purges were acknowledged, and that the cache still has.
func (s *faultControlServer) unpurged() []string {
	return slices.DeleteFunc(s.orderedKeys(), func(key string) bool {
		_, has := s.cache.Serve(key)
		return !has
	})
}

// recordingFollower follows a control server and records what it receives. It implements replicatedlog.Handler.
type recordingFollower struct {
	mu       sync.Mutex
	started  bool
	purged   map[string]int // how often a purge was received, by key
	failures []string
}

// followControlServer follows a control server until the end of the test.
func followControlServer(t testing.TB, addr string) *recordingFollower {
	r := &recordingFollower{purged: map[string]int{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := logfollower.Start(logfollower.Config{
		Name: "follower of " + addr, Process: 1, Label: "l", Servers: []string{addr}, StaleAfter: followerStale,
		Applier: replicatedlog.NewApplier(r), Log: log, Now: gossip.BootTime,
	})
	t.Cleanup(f.Close)
	return r
}

// PresumePurged records the start of the log, or later a failure, as the follower missed entries.
func (r *recordingFollower) PresumePurged(upTo replicatedlog.Index) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started {
		r.failures = append(r.failures, fmt.Sprintf("a follower skipped the entries up to %d", upTo))
	}
	r.started = true
}

func (r *recordingFollower) hasStarted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// Purge records a purge.
func (r *recordingFollower) Purge(_ replicatedlog.Index, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.purged[key]++
	if r.purged[key] > 1 {
		r.failures = append(r.failures, key+" was received more than once")
	}
}

// Configure rejects a configuration, as none is published.
func (r *recordingFollower) Configure(replicatedlog.Index, []byte) error {
	return errors.New("no configuration was published")
}

// hasAll reports whether all keys were received.
func (r *recordingFollower) hasAll(keys []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(keys, func(key string) bool { return r.purged[key] == 0 })
}

// wrong returns what was wrong with the entries received since the last call.
func (r *recordingFollower) wrong() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	failures := r.failures
	r.failures = nil
	return failures
}
