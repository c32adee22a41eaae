//go:build linux && (amd64 || arm64)

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/controlserver"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/membership"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/syscallfault"
	"dahliapin/node"
)

// The sites of a node in a fleet.
const (
	gossipListener  site = "gossip listener"
	gossipIn        site = "member to node"
	gossipOut       site = "node to member"
	gossipDatagrams site = "gossip datagrams"
	controlConn     site = "control server"
)

const (
	gossipProcesses     = 8                     // traced at the same time; they mostly wait
	followerCutInterval = 50 * time.Millisecond // between two cuts of the stream to the control server
	loopInterval        = 20 * time.Millisecond // between two iterations of the event loop that a member of the test reports
	joinsWithin         = 2 * time.Second       // during a fault, before a member of the test goes on
)

// fleetTimings configures members that notice failures soon.
const fleetTimings = "[members]\nhello_ms=50\npause_s=0.6\nback_s=0.3\n"

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// TestLogFollowerSyscallFaults injects each error that Linux documents at each system call of a node's connection to a
// control server. The node must follow the log as before, beside what TestSyscallFaults requires.
func TestLogFollowerSyscallFaults(t *testing.T) {
	sites := []site{controlConn}
	runFaults(t, faultProcesses, shortFormFraction, streamFaults(streamSites{connections: sites, written: sites, servers: sites}),
		func(t testing.TB) faultTarget { return startFaultNode(t, followLog(t)) })
}

// followLog starts a control server, and returns the options of a node that follows it through a relay.
func followLog(t testing.TB) faultNodeOptions {
	file := fleetconfig.DefaultControl()
	file.Control = fleetconfig.Control{
		ID: 1, Label: "l", Peers: "127.0.0.1:0", Nodes: "127.0.0.1:0", Data: t.TempDir(),
	}
	file.Servers = []fleetconfig.ControlServer{{ID: 1, Name: "c", Addr: "127.0.0.1:1"}}
	file.Bounds.ElectionMs = quickElection
	server, err := controlserver.Open(controlserver.Config{
		File: &file, FirstStart: true, Log: quietLog(), Now: gossip.BootTime,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c := controlclient.Client{Servers: []string{server.Addr()}, Label: "l"}
	way := startRelay(t, server.Addr())
	return faultNodeOptions{
		fleet: fleetFile(t, freePorts(t, 1)[0], "", "[changes]\nat=['"+way.addr()+"']\n"),
		ports: map[site]int{controlConn: portOf(t, way.addr())},
		alongside: []func(func() bool){
			func(goesOn func() bool) {
				for goesOn() {
					publishPurge(c)
					time.Sleep(thinkTime)
				}
			},
			func(goesOn func() bool) {
				for goesOn() {
					way.cut()
					time.Sleep(followerCutInterval)
				}
			},
		},
		expected: func(*faultNode) []expectation {
			return []expectation{
				{"no change is taken", func() bool { return publishPurge(c) }},
				{"the log is no longer followed", func() bool { return nodeHasCaughtUp(c) }},
			}
		},
	}
}

// publishPurge has a purge ordered, and reports whether it was acknowledged.
func publishPurge(c controlclient.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), publishWithin)
	defer cancel()
	_, err := c.Publish(ctx, []replicatedlog.Proposal{controlclient.NewProposal(replicatedlog.Purge, []byte("purged"))})
	return err == nil
}

// nodeHasCaughtUp reports whether the one node of the fleet has applied all changes, without a gap.
func nodeHasCaughtUp(c controlclient.Client) bool {
	o, err := c.Overview()
	return err == nil && len(o.Nodes) == 1 && o.NodesCaughtUp() && o.Nodes[0].Applied == o.Last && o.Nodes[0].Gaps == 0
}

// fleetFile writes the file of the fleet that a node joins, and returns its path.
func fleetFile(t testing.TB, listen, seed, more string) string {
	t.Helper()
	text := fmt.Sprintf("[fleet]\nlabel='l'\nlisten='%s'\n", listen)
	if seed != "" {
		text += fmt.Sprintf("seeds=['%s']\n", seed)
	}
	path := t.TempDir() + "/fleet.toml"
	if err := os.WriteFile(path, []byte(text+fleetTimings+more), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// gossipFaults lists the errors that each call of the gossip between members may return.
func gossipFaults() []callFaults {
	connections := []site{gossipIn, gossipOut}
	return append(
		streamFaults(streamSites{
			listeners: []site{gossipListener}, connections: connections, written: connections,
			servers: []site{gossipOut},
		}),
		callFaults{syscallfault.Receive, []site{gossipDatagrams}, []unix.Errno{
			0, unix.EINTR, unix.ENOMEM, unix.ENOBUFS, unix.ECONNREFUSED, unix.ENETDOWN,
		}},
		callFaults{syscallfault.Send, []site{gossipDatagrams}, []unix.Errno{
			unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.EACCES, unix.ECONNREFUSED, unix.ENETUNREACH,
			unix.EHOSTUNREACH, unix.EADDRNOTAVAIL, unix.EMSGSIZE, unix.ENETDOWN,
		}},
	)
}

// TestGossipSyscallFaults injects each error that Linux documents at each system call of the gossip between members.
// Members must see each other as before, beside what TestSyscallFaults requires.
func TestGossipSyscallFaults(t *testing.T) {
	runFaults(t, gossipProcesses, shortFormFraction, gossipFaults(), func(t testing.TB) faultTarget { return startFaultNode(t, joinFleet(t)) })
}

// faultFleet is the fleet of a traced node.
type faultFleet struct {
	node string // address of the traced node

	mu   sync.Mutex
	seed *testMember // the other member, which the traced node joins through
}

// joinFleet starts a member, and returns the options of a node that joins it. During a fault that member is replaced by
// one that knows no others, so that the node joins again, and another one joins through the node for a moment.
func joinFleet(t testing.TB) faultNodeOptions {
	var addrs []string
	f := &faultFleet{}
	replace := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.seed != nil {
			f.seed.close()
		}
		var err error
		f.seed, err = startTestMember("p", addrs[1], "")
		return err
	}
	if !eventually(joinsWithin, func() bool { // another process may have taken a port meanwhile
		addrs = freePorts(t, 3)
		return replace() == nil
	}) {
		t.Fatal("the first member cannot listen")
	}
	f.node = addrs[0]
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.seed != nil {
			f.seed.close()
		}
	})
	return faultNodeOptions{
		fleet: fleetFile(t, f.node, addrs[1], ""),
		ports: map[site]int{gossipIn: portOf(t, f.node), gossipOut: portOf(t, addrs[1])},
		alongside: []func(func() bool){
			func(goesOn func() bool) {
				for goesOn() && eventually(joinsWithin, func() bool { return replace() == nil }) {
					eventually(joinsWithin, func() bool { return f.seedSees("n") })
				}
			},
			func(goesOn func() bool) {
				for goesOn() {
					visitor, err := startTestMember("v", addrs[2], f.node)
					if err != nil {
						continue
					}
					eventually(joinsWithin, func() bool { return visitor.sees("n") })
					visitor.close()
				}
			},
		},
		expected: func(n *faultNode) []expectation {
			return []expectation{
				{"the other member does not see the node", func() bool { return f.seedSees("n", "p") }},
				{"the node does not see the other member", func() bool { return n.seesMembers(2) }},
			}
		},
	}
}

// seedSees reports whether the seed's view has the members.
func (f *faultFleet) seedSees(names ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seed != nil && f.seed.sees(names...)
}

// seesMembers reports whether the node has that many members in its view and is not cut off.
func (n *faultNode) seesMembers(count int) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + n.ops + "/fleet/status")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var status node.FleetStatus
	err = json.NewDecoder(answer.Body).Decode(&status)
	return err == nil && status.Members == count && !status.MayBePartitioned
}

// testMember is a member of the fleet within the test's process.
type testMember struct {
	*gossip.Node
	closed chan struct{}
}

// startTestMember starts a member that listens on an address and joins through a seed; an empty seed stands for none.
func startTestMember(name, listen, seed string) (*testMember, error) {
	text := fmt.Sprintf("[fleet]\nlabel='l'\nlisten='%s'\nseeds=['%s']\n", listen, cmp.Or(seed, listen))
	file, err := fleetconfig.Parse("fleet.toml", []byte(text+fleetTimings))
	if err != nil {
		return nil, err
	}
	member, err := gossip.Open(gossip.Config{Name: name, FleetConfig: file, Log: quietLog(), Now: gossip.BootTime})
	if err != nil {
		return nil, err
	}
	m := &testMember{Node: member, closed: make(chan struct{})}
	go m.advanceLoop()
	return m, nil
}

// advanceLoop takes the place of the event loop that serves clients.
func (m *testMember) advanceLoop() {
	for {
		select {
		case <-m.closed:
			return
		case <-time.After(loopInterval):
			m.LoopAdvanced()
		}
	}
}

// close lets the member leave the fleet.
func (m *testMember) close() {
	close(m.closed)
	m.Close(true)
}

// sees reports whether the member's view has the nodes.
func (m *testMember) sees(names ...string) bool {
	view := m.View()
	for _, name := range names {
		if !slices.Contains(view.Nodes, membership.NodeName(name)) {
			return false
		}
	}
	return true
}
