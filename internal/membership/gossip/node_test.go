package gossip

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/fleetconfig"
)

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startNodes starts nodes on loopback with short timeouts. The first one is the seed of all. Each has an event loop
// that advances until the test ends.
func startNodes(t *testing.T, count int, change func(*fleetconfig.File)) []*Node {
	t.Helper()
	var nodes []*Node
	seed := ""
	for i := range count {
		sockets, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		config := fleetconfig.Default()
		config.Members.HeartbeatMs = 50
		config.Members.PauseS = 0.4
		config.Members.RejoinS = 0.3
		config.Fleet.Advertise = sockets.Datagrams.LocalAddr().String()
		if i == 0 {
			seed = config.Fleet.Advertise
		}
		config.Fleet.Seeds = []string{seed}
		if change != nil {
			change(&config)
		}
		node, err := Join(Config{
			Name:        string(rune('a' + i)),
			FleetConfig: &config,
			Log:         discardLog(),
			Now:         BootTime,
			Trace:       func([]byte) {},
		}, sockets)
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, node)
		t.Cleanup(func() { node.Close(false) })
		advanceLoop(t, node)
	}
	return nodes
}

// advanceLoop takes the place of the event loop that serves clients.
func advanceLoop(t *testing.T, node *Node) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				node.LoopAdvanced()
			}
		}
	}()
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached: %s", what)
		}
	}
}

// haveSameView returns the condition that all nodes have the same view with the given number of members.
func haveSameView(nodes []*Node, members int) func() bool {
	return func() bool {
		for _, node := range nodes {
			view := node.View()
			if len(view.Nodes) != members || view.Fingerprint != nodes[0].View().Fingerprint {
				return false
			}
		}
		return true
	}
}

// Three nodes on sockets must have the same view. One that leaves gracefully must be removed, and be a member again
// once it participates again. Meanwhile the first node gets datagrams and streams that are damaged or from other
// fleets: it must drop and count them, close the streams, and stay in the fleet.
func TestNodesJoinLeaveAndDropForeignMessages(t *testing.T) {
	nodes := startNodes(t, 3, func(c *fleetconfig.File) { c.Fleet.Key = "MDEyMzQ1Njc4OWFiY2RlZg==" })
	first, last := nodes[0], nodes[2]
	eventually(t, "all know all", haveSameView(nodes, 3))
	addr := first.FleetConfig.Fleet.Advertise
	ownPreface := func(kind byte) string { return string(first.transport.fleet.preface(kind)) }
	foreignPreface := func(kind byte) string { return string(fleetID(1).preface(kind)) }

	conn, err := net.Dial("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, datagram := range []string{
		"",
		"x",
		"\xda\x17\x01",
		"\xda\x17\x02hhhhh",
		ownPreface('z') + "...",
		ownPreface('h'),
		ownPreface('h') + "\xa1\x00\x01",
		ownPreface('g'),
		ownPreface('g') + "\xff\xff\xff",
		ownPreface('h') + "\xbf",
		foreignPreface('h'),
		string(make([]byte, 9000)),
	} {
		io.WriteString(conn, datagram)
	}
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", ownPreface('h'), foreignPreface('g'), "\xda\x17"} {
		expectClosed(t, addr, text)
	}
	eventually(t, "all foreign and unreadable messages are counted", func() bool {
		status, _ := first.FleetStatus()
		return status.Foreign >= 9 && status.Unreadable >= 3
	})

	last.SetPresence(Leaving)
	eventually(t, "the node that left is not a member", haveSameView(nodes[:2], 2))
	last.SetPresence(Participating)
	eventually(t, "the node is a member again", haveSameView(nodes, 3))
	if status, takesPart := first.FleetStatus(); !takesPart || status.MayBePartitioned {
		t.Errorf("takes part: %t, status %+v", takesPart, status)
	}
}

// expectClosed opens a stream that begins with text, and fails the test unless the other side closes it.
func expectClosed(t *testing.T, addr, text string) {
	t.Helper()
	stream, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	io.WriteString(stream, text)
	stream.(*net.TCPConn).CloseWrite()
	stream.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.ReadAll(stream); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q: not closed: %v", text, err)
	}
}

// Guards against a node that takes ten seconds per seed to end because a seed accepts connections and does not answer,
// and against a library that still reports events to a closed trace.
func TestCloseDoesNotWaitForSilentSeeds(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	seed := silent.Addr().String()
	node := startNodes(t, 1, func(c *fleetconfig.File) { c.Fleet.Seeds = []string{seed, seed, seed} })[0]
	time.Sleep(50 * time.Millisecond) // the connection to the first seed is in progress
	began := time.Now()
	node.Close(true)
	node.Close(true)
	if took := time.Since(began); took > closeTimeout+leaveTimeout+time.Second {
		t.Errorf("Close took %v", took)
	}
	events{node}.NotifyLeave(&memberlist.Node{Name: "x"})
}
