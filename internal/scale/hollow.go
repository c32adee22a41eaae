package scale

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/discovery"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/wire/http1"
)

const (
	turnsEach   = 100 * time.Millisecond // between turns of the loop that a hollow node does not have
	listPath    = "/registry/instances"
	longestList = 8 << 20
	listDialBy  = 2 * time.Second
)

// Part is something more of the control part that a hollow node runs.
type Part interface{ Close() }

// PartMaker opens a part of a node that has joined.
type PartMaker func(*Node) (Part, error)

// Node is one hollow node: the control part of a real one, on sockets.
type Node struct {
	Place Place
	Post  *gossip.Node
	parts []Part
	once  sync.Once
}

// OpenNode starts one, by the same file as a real one, with more parts than its membership and its calls for the list.
func OpenNode(at Place, f *fleetconfig.File, nodes int, r *ruler, more ...PartMaker) (*Node, error) {
	lines, err := gossip.Listen(at.Addr)
	if err != nil {
		return nil, err
	}
	if r != nil {
		lines = r.lines(lines, at.Region)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	n := &Node{Place: at}
	config := gossip.Config{Name: at.Name, FleetConfig: f, Log: quiet, Now: gossip.BootTime}
	if n.Post, err = gossip.Join(config, lines); err != nil {
		return nil, err
	}
	n.parts = append(n.parts, turn(n.Post))
	if at.List != "" {
		n.parts = append(n.parts, follow(at.List, nodes, uint32(keyhash.String(at.Name))))
	}
	for _, open := range more {
		p, err := open(n)
		if err != nil {
			n.Close(false)
			return nil, err
		}
		n.parts = append(n.parts, p)
	}
	return n, nil
}

// Close ends it; where it is not to end in order, the others are told nothing.
func (n *Node) Close(orderly bool) {
	n.once.Do(func() {
		for i := len(n.parts) - 1; i >= 0; i-- {
			n.parts[i].Close()
		}
		n.Post.Close(orderly)
	})
}

// turning stands for the loop that serves clients.
type turning struct{ end chan struct{} }

func turn(p *gossip.Node) turning {
	t := turning{make(chan struct{})}
	go func() {
		each := time.NewTicker(turnsEach)
		defer each.Stop()
		for {
			select {
			case <-t.end:
				return
			case <-each.C:
				p.LoopAdvanced()
			}
		}
	}()
	return t
}

func (t turning) Close() { close(t.end) }

// caller calls for the list of caches as a node does, and drops what it hears.
type caller struct {
	addr   string
	calls  discovery.Poller
	chance keyhash.Source
	began  time.Time // the call that is out; its connection, where it is the first there
	end    chan struct{}
	done   chan struct{}
	mu     sync.Mutex
	conn   net.Conn
	closed bool
}

func follow(addr string, nodes int, seed uint32) *caller {
	c := &caller{
		addr:   addr,
		calls:  discovery.New(nodes),
		chance: keyhash.Source{Seed: seed},
		end:    make(chan struct{}),
		done:   make(chan struct{}),
	}
	go func() {
		defer close(c.done)
		for {
			c.began = time.Now()
			how := c.follow()
			rest, _ := c.calls.OnFailure(how, time.Since(c.began), c.chance.Float64())
			select {
			case <-c.end:
				return
			case <-time.After(rest):
			}
		}
	}()
	return c
}

// follow calls on one connection until it fails.
func (c *caller) follow() discovery.Failure {
	conn, err := net.DialTimeout("tcp", c.addr, listDialBy)
	if err != nil || !c.hold(conn) {
		return discovery.ConnectionLost
	}
	defer conn.Close()
	in, have := make([]byte, 0, 4<<10), 0
	var parser fastjson.Parser
	for first := true; ; first = false {
		if !first {
			c.began = time.Now()
		}
		path, call := []byte(listPath), c.calls.NextPoll()
		if !call.Complete {
			path = strconv.AppendInt(append(path, "?since="...), int64(call.SinceVersion), 10)
			path = strconv.AppendInt(append(path, "&timeout_ms="...), int64(call.LongPoll/time.Millisecond), 10)
		}
		_ = conn.SetDeadline(time.Now().Add(call.Timeout))
		if _, err := conn.Write(http1.AppendRequest(nil, "GET", path, c.addr, nil, nil)); err != nil {
			return discovery.ConnectionLost
		}
		for read := (http1.Progress{}); ; {
			a, size, err := read.ReadResponse(in[:have], longestList, false)
			if err != nil {
				return discovery.Unreadable
			}
			if size > 0 {
				if how := c.heard(&a, &parser); how >= 0 {
					return how
				}
				have = copy(in, in[size:have])
				break
			}
			if have == cap(in) {
				in = append(make([]byte, 0, 2*cap(in)), in[:have]...)
			}
			n, err := conn.Read(in[have:cap(in)])
			if err != nil {
				return discovery.ConnectionLost
			}
			have += n
		}
	}
}

const taken discovery.Failure = -1

func (c *caller) heard(a *http1.Response, parser *fastjson.Parser) discovery.Failure {
	if a.Status == http1.Unavailable || a.Status == http1.TooMany {
		return discovery.Refused
	}
	news, err := parser.ParseBytes(bytes.Clone(a.Body))
	if a.Status != http.StatusOK || err != nil || !news.Exists("generation") {
		return discovery.Unreadable
	}
	generation := news.GetInt("generation")
	isComplete := news.GetBool("reset")
	if !c.calls.Accepts(generation, isComplete) {
		return discovery.Unreadable
	}
	c.calls.OnUpdate(generation, isComplete)
	return taken
}

func (c *caller) hold(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conn = conn
	return true
}

// Close ends it.
func (c *caller) Close() {
	c.mu.Lock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.mu.Unlock()
	close(c.end)
	<-c.done
}
