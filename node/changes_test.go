package node

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/controlserver"
	"dahliapin/internal/control/logfollower"
	changes "dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/membership/gossip"
)

// control is a control machine on its own.
func control(t *testing.T) controlclient.Client {
	f := fleetconfig.DefaultControl()
	f.Control = fleetconfig.Control{ID: 1, Label: "l", Peers: "127.0.0.1:0", Nodes: "127.0.0.1:0", Data: t.TempDir()}
	f.Machines, f.Bounds.ElectMs = []fleetconfig.Machine{{ID: 1, Name: "c", Addr: "127.0.0.1:1"}}, 200
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	m, err := controlserver.Open(controlserver.Config{File: &f, New: true, Log: quiet, Now: gossip.BootTime})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return controlclient.Client{Servers: []string{m.Addr()}, Label: "l"}
}

func published(t *testing.T, c controlclient.Client, all ...changes.Proposal) {
	t.Helper()
	ctx, done := context.WithTimeout(context.Background(), 10*time.Second)
	defer done()
	if _, err := c.Publish(ctx, all); err != nil {
		t.Fatal(err)
	}
}

// safe is written to by several.
type safe struct {
	mu sync.Mutex
	to *strings.Builder
}

func (s *safe) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.to.Write(b)
}

// A published configuration is taken as one that is read again, keeps each node's own, and one that can't be used changes nothing; purges
// reach the hook. Operators see it; who follows nothing has no word of it.
func TestANodeFollowsTheLogOfChanges(t *testing.T) {
	at := control(t)
	published(t, at, controlclient.NewProposal(changes.Purge, []byte("before it began")))
	text := strings.Replace(posting, `"sockets":100`, `"sockets":200`, 1)
	start := func(followed string) (*Node, *strings.Builder, func()) {
		p, err := ParseConfig([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if err := p.ParseFleet("f", []byte("[fleet]\nlabel='l'\nlisten='127.0.0.1:0'\nadvertise='127.0.0.1:9'\n"+followed)); err != nil {
			t.Fatal(err)
		}
		purged := make(chan string, 9)
		p.OnPurge = func(index uint64, key string) { purged <- fmt.Sprint(index, key) }
		log, said := logrus.New(), &strings.Builder{}
		log.SetOutput(&safe{to: said})
		n, err := New(p, log)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan bool)
		go func() { n.Serve(); close(done) }()
		return n, said, func() {
			n.Shutdown()
			<-done
			close(purged)
			for k := range purged {
				said.WriteString(k + ";")
			}
		}
	}
	n, said, end := start(fmt.Sprintf("[changes]\nat=['%s']\n", at.Servers[0]))
	status := func() *logfollower.Status {
		s, _ := known{n}.FleetStatus()
		return s.(FleetStatus).Changes
	}
	until := func(what string, is func(s *logfollower.Status) bool) {
		t.Helper()
		for by := time.Now().Add(10 * time.Second); !is(status()); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(by) {
				t.Fatalf("never %s: %+v", what, status())
			}
		}
	}
	until("began", func(s *logfollower.Status) bool { return s.PresumedPurged == 1 })
	published(t, at, controlclient.NewProposal(changes.Purge, []byte("k")), controlclient.NewProposal(changes.Config, []byte(strings.Replace(text, `"n"`, `"all"`, 1))))
	until("took a configuration", func(s *logfollower.Status) bool { return s.Config == 3 && s.Applied == 3 })
	published(t, at, controlclient.NewProposal(changes.Config, []byte("no configuration")), controlclient.NewProposal(changes.Purge, []byte("l")))
	until("refused one", func(s *logfollower.Status) bool {
		return s.Refused == 4 && s.Config == 3 && s.Reason != "" && s.Applied == 5
	})
	if s := status(); s.Purges != 2 || s.Stale || s.Gaps != 0 {
		t.Errorf("%+v", s)
	}
	if end(); !strings.HasSuffix(said.String(), "2k;5l;") || strings.Contains(said.String(), "differs") || !strings.Contains(said.String(), "configuration read again") {
		t.Errorf("purges, at the end, and what is each node's own: %s", said)
	}
	n, _, end = start("")
	if s, _ := (known{n}).FleetStatus(); n.follows.Load() != nil {
		t.Errorf("a node without control machines: %+v", s)
	}
	s, _ := (known{n}).FleetStatus()
	if _, alone := s.(gossip.Status); !alone {
		t.Errorf("its status: %T", s)
	}
	end()
}
