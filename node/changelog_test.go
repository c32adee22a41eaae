package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/controlserver"
	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/membership/gossip"
)

// startControlServer starts a single control server and returns a client of it.
func startControlServer(t *testing.T) controlclient.Client {
	t.Helper()
	file := fleetconfig.DefaultControl()
	file.Control = fleetconfig.Control{
		ID: 1, Label: "l", Peers: "127.0.0.1:0", Nodes: "127.0.0.1:0", Data: t.TempDir(),
	}
	file.Servers = []fleetconfig.ControlServer{{ID: 1, Name: "c", Addr: "127.0.0.1:1"}}
	file.Bounds.ElectionMs = 200
	server, err := controlserver.Open(controlserver.Config{
		File: &file, FirstStart: true, Log: silentLog(), Now: gossip.BootTime,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return controlclient.Client{Servers: []string{server.Addr()}, Label: "l"}
}

func publish(t *testing.T, c controlclient.Client, proposals ...replicatedlog.Proposal) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := c.Publish(ctx, proposals); err != nil {
		t.Fatal(err)
	}
}

func purgeOf(key string) replicatedlog.Proposal {
	return controlclient.NewProposal(replicatedlog.Purge, []byte(key))
}

func configOf(text string) replicatedlog.Proposal {
	return controlclient.NewProposal(replicatedlog.Config, []byte(text))
}

// lockedBuffer is a buffer that several goroutines may write to.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

// fleetNode is a node that is the only member of its fleet.
type fleetNode struct {
	*Node
	log    lockedBuffer
	purges chan string // index and key of each
	done   chan struct{}
}

// startFleetNode starts a node; changes is the section [changes] of its fleet configuration, or empty.
func startFleetNode(t *testing.T, configText, changes string) *fleetNode {
	t.Helper()
	config, err := ParseConfig([]byte(configText))
	if err != nil {
		t.Fatal(err)
	}
	const fleet = "[fleet]\nlabel='l'\nlisten='127.0.0.1:0'\nadvertise='127.0.0.1:9'\n"
	if err := config.ParseFleet("f", []byte(fleet+changes)); err != nil {
		t.Fatal(err)
	}
	f := &fleetNode{purges: make(chan string, 9), done: make(chan struct{})}
	config.OnPurge = func(index uint64, key string) { f.purges <- fmt.Sprint(index, key) }
	log := logrus.New()
	log.SetOutput(&f.log)
	if f.Node, err = New(config, log); err != nil {
		t.Fatal(err)
	}
	go func() {
		f.Serve()
		close(f.done)
	}()
	return f
}

// stop shuts the node down and returns its log and its purges.
func (f *fleetNode) stop() (log string, purges []string) {
	f.Shutdown()
	<-f.done
	close(f.purges)
	for purge := range f.purges {
		purges = append(purges, purge)
	}
	return f.log.text.String(), purges
}

func (f *fleetNode) followerStatus() *logfollower.Status {
	status, _ := fleetView{f.Node}.FleetStatus()
	return status.(FleetStatus).Changes
}

// waitUntil waits until a condition holds for the follower's status.
func (f *fleetNode) waitUntil(t *testing.T, what string, holds func(*logfollower.Status) bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds(f.followerStatus()) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until the follower %s: %+v", what, f.followerStatus())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A published configuration must be reloaded with the values that are specific to the node unchanged, and an invalid
// one must change nothing. Purges must be reported, and the status must show which entries have been applied.
func TestNodeFollowsTheReplicatedLog(t *testing.T) {
	client := startControlServer(t)
	publish(t, client, purgeOf("before it began"))
	text := strings.Replace(testConfig, `"sockets":100`, `"sockets":200`, 1)
	n := startFleetNode(t, text, fmt.Sprintf("[changes]\nat=['%s']\n", client.Servers[0]))
	n.waitUntil(t, "presumes earlier purges", func(s *logfollower.Status) bool { return s.PresumedPurged == 1 })

	publish(t, client, purgeOf("k"), configOf(strings.Replace(text, `"n"`, `"all"`, 1)))
	n.waitUntil(t, "has applied the configuration", func(s *logfollower.Status) bool {
		return s.Config == 3 && s.Applied == 3
	})

	publish(t, client, configOf("no configuration"), purgeOf("l"))
	n.waitUntil(t, "has refused the invalid configuration", func(s *logfollower.Status) bool {
		return s.Refused == 4 && s.Config == 3 && s.Reason != "" && s.Applied == 5
	})
	if s := n.followerStatus(); s.Purges != 2 || s.Stale || s.Gaps != 0 {
		t.Errorf("%+v", s)
	}
	log, purges := n.stop()
	if !slices.Equal(purges, []string{"2k", "5l"}) {
		t.Errorf("purges %q", purges)
	}
	if strings.Contains(log, "differs") || !strings.Contains(log, "configuration reloaded") {
		t.Errorf("the node's own values were replaced by published ones: %s", log)
	}
}

func TestNodeWithoutControlServersFollowsNoLog(t *testing.T) {
	n := startFleetNode(t, strings.Replace(testConfig, `"sockets":100`, `"sockets":200`, 1), "")
	defer n.stop()
	if n.follower.Load() != nil {
		t.Error("the node follows a replicated log")
	}
	status, _ := fleetView{n.Node}.FleetStatus()
	if _, ok := status.(gossip.Status); !ok {
		t.Errorf("its status is %T", status)
	}
}
