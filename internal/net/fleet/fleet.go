// Package fleet joins a node to the others of its fleet: it keeps the sockets between them, lets the gossip library carry what members
// say of themselves and of each other, and hands out what the fleet knows as a copy that anybody may read. It runs beside the
// node's loop, which never waits for it.
package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	stdlog "log"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"dahliapin/internal/fleet/charter"
	"dahliapin/internal/fleet/trace"
	"dahliapin/policy"
)

const (
	nameEnds   = "~"                    // before the process, in the names that the library knows
	joinEach   = 500 * time.Millisecond // between attempts to reach a seed, while nobody is known
	leaveBy    = 300 * time.Millisecond // to say that this node leaves
	turnsApart = 50 * time.Millisecond  // between looks at what is due
)

// Berth is where and with what a node joins.
type Berth struct {
	Name    string
	Charter *charter.File
	Log     *logrus.Logger
	Now     func() policy.Instant // by a clock that runs through suspends
	Trace   func([]byte)          // told each line of what is done here, off the loop; nil for nobody
}

// Post is one node's part in the fleet.
type Post struct {
	Berth
	process uint64
	t       *transport
	list    *memberlist.Memberlist
	trace   *tracer
	closed  chan struct{}
	done    sync.WaitGroup

	mu    sync.Mutex
	there []string // names of members, as the library has them
}

// Open joins by sockets of its own.
func Open(b Berth) (*Post, error) {
	lines, err := Listen(b.Charter.Fleet.Listen)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for other nodes on %s: %w", b.Charter.Fleet.Listen, err)
	}
	p, err := Join(b, lines)
	if err != nil {
		lines.close()
	}
	return p, err
}

// Join joins over such lines.
func Join(b Berth, lines Lines) (*Post, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return nil, err
	}
	p := &Post{Berth: b, process: binary.LittleEndian.Uint64(id[:]), closed: make(chan struct{}), trace: newTracer(b.Trace)}
	at, err := netip.ParseAddrPort(b.Charter.Fleet.Advertise)
	if err != nil {
		return nil, err
	}
	ways := map[string]string{}
	for _, w := range b.Charter.Ways {
		ways[w.To] = w.Through
	}
	p.t = newTransport(lines, at, ways, func([]byte, string) {})
	if p.list, err = memberlist.Create(p.engine()); err != nil {
		_ = p.t.Shutdown()
		return nil, fmt.Errorf("the gossip between nodes does not start: %w", err)
	}
	p.done.Add(1)
	go p.joining()
	return p, nil
}

// engine is how the library is set up.
func (p *Post) engine() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = fmt.Sprintf("%s%s%016x", p.Name, nameEnds, p.process)
	c.Transport, c.Events, c.SecretKey = p.t, p, p.Charter.Fleet.KeyBytes()
	c.Logger = stdlog.New(io.Discard, "", 0)
	if p.Charter.Fleet.Engine == charter.Tuned {
		tune(c)
	}
	return c
}

func tune(c *memberlist.Config) {
	c.EnableCompression = false // messages are short: it costs more than it saves
}

// joining asks the seeds until somebody is known.
func (p *Post) joining() {
	defer p.done.Done()
	for {
		for _, seed := range p.Charter.Fleet.Seeds {
			if p.list.NumMembers() > 1 {
				break
			}
			if seed != p.Charter.Fleet.Advertise {
				_, _ = p.list.Join([]string{seed})
			}
		}
		select {
		case <-p.closed:
			return
		case <-time.After(joinEach):
		}
	}
}

// NotifyJoin, NotifyLeave and NotifyUpdate are memberlist's.
func (p *Post) NotifyJoin(n *memberlist.Node) { p.library(n.Name, true) }

// NotifyLeave is memberlist's.
func (p *Post) NotifyLeave(n *memberlist.Node) { p.library(n.Name, false) }

// NotifyUpdate is memberlist's.
func (p *Post) NotifyUpdate(*memberlist.Node) {}

func (p *Post) library(name string, here bool) {
	node, _, _ := strings.Cut(name, nameEnds)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.there = slices.DeleteFunc(p.there, func(n string) bool { return n == node })
	l := trace.Line{What: trace.Library, Seen: node, Here: here}
	if here {
		p.there = append(p.there, node)
	}
	slices.Sort(p.there)
	l.Members = slices.Clone(p.there)
	p.say(l)
}

func (p *Post) say(l trace.Line) {
	l.At, l.Node, l.Process = p.Now(), p.Name, fmt.Sprintf("%016x", p.process)
	p.trace.say(l)
}

// Close leaves the fleet, in order or not.
func (p *Post) Close(orderly bool) {
	close(p.closed)
	p.done.Wait()
	if orderly {
		_ = p.list.Leave(leaveBy)
	}
	_ = p.list.Shutdown()
	p.trace.close()
}
