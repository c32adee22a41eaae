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
	// loopInterval is the interval at which a simulated node reports progress of an event loop, which it does not have.
	loopInterval    = 100 * time.Millisecond
	listPath        = "/registry/instances"
	maxListBytes    = 8 << 20 // maximum size of a response with the endpoint list
	listDialTimeout = 2 * time.Second
)

// Component is an additional control plane component that a simulated node runs.
type Component interface{ Close() }

// ComponentStarter starts a component of a node that has joined the fleet.
type ComponentStarter func(*Node) (Component, error)

// Node is a simulated node. It runs the control plane of a real node on its own sockets, without the proxy.
type Node struct {
	Place      Place
	Membership *gossip.Node
	components []Component
	closeOnce  sync.Once
}

// OpenNode starts a simulated node with the same fleet file as a real one. The node runs membership, the polling of the
// endpoint list, and the given components. If r is not nil, the node's sockets apply these network rules.
func OpenNode(at Place, f *fleetconfig.File, nodes int, r *networkRules, more ...ComponentStarter) (*Node, error) {
	transport, err := gossip.Listen(at.Addr)
	if err != nil {
		return nil, err
	}
	if r != nil {
		transport = r.wrap(transport, at.Region)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	n := &Node{Place: at}
	config := gossip.Config{Name: at.Name, FleetConfig: f, Log: quiet, Now: gossip.BootTime}
	if n.Membership, err = gossip.Join(config, transport); err != nil {
		return nil, err
	}
	n.components = append(n.components, startProgressTicker(n.Membership))
	if at.List != "" {
		n.components = append(n.components, startListPoller(at.List, nodes, uint32(keyhash.String(at.Name))))
	}
	for _, open := range more {
		p, err := open(n)
		if err != nil {
			n.Close(false)
			return nil, err
		}
		n.components = append(n.components, p)
	}
	return n, nil
}

// Close stops the node. An orderly stop is announced to the other nodes; to them, any other stop is a crash.
func (n *Node) Close(orderly bool) {
	n.closeOnce.Do(func() {
		for i := len(n.components) - 1; i >= 0; i-- {
			n.components[i].Close()
		}
		n.Membership.Close(orderly)
	})
}

// progressTicker reports to the membership that the process is not stalled, as the event loop of a real node does.
type progressTicker struct{ end chan struct{} }

func startProgressTicker(membership *gossip.Node) progressTicker {
	t := progressTicker{make(chan struct{})}
	go func() {
		each := time.NewTicker(loopInterval)
		defer each.Stop()
		for {
			select {
			case <-t.end:
				return
			case <-each.C:
				membership.LoopAdvanced()
			}
		}
	}()
	return t
}

func (t progressTicker) Close() { close(t.end) }

// listPoller polls the endpoint list like a real node and discards the entries.
type listPoller struct {
	addr      string
	poller    discovery.Poller
	random    keyhash.Source
	startedAt time.Time // start of the poll in flight; for the first poll on a connection, start of the dial
	end       chan struct{}
	done      chan struct{}
	mu        sync.Mutex
	conn      net.Conn
	closed    bool
}

func startListPoller(addr string, nodes int, seed uint32) *listPoller {
	c := &listPoller{
		addr:   addr,
		poller: discovery.New(nodes),
		random: keyhash.Source{Seed: seed},
		end:    make(chan struct{}),
		done:   make(chan struct{}),
	}
	go func() {
		defer close(c.done)
		for {
			c.startedAt = time.Now()
			failure := c.pollUntilFailure()
			rest, _ := c.poller.OnFailure(failure, time.Since(c.startedAt), c.random.Float64())
			select {
			case <-c.end:
				return
			case <-time.After(rest):
			}
		}
	}()
	return c
}

// pollUntilFailure polls on one connection until a poll fails, and returns the failure.
func (c *listPoller) pollUntilFailure() discovery.Failure {
	conn, err := net.DialTimeout("tcp", c.addr, listDialTimeout)
	if err != nil || !c.track(conn) {
		return discovery.ConnectionLost
	}
	defer conn.Close()
	buffer, filled := make([]byte, 0, 4<<10), 0
	var parser fastjson.Parser
	for first := true; ; first = false {
		if !first {
			c.startedAt = time.Now()
		}
		path, call := []byte(listPath), c.poller.NextPoll()
		if !call.Complete {
			path = strconv.AppendInt(append(path, "?since="...), int64(call.SinceVersion), 10)
			path = strconv.AppendInt(append(path, "&timeout_ms="...), int64(call.LongPollTime/time.Millisecond), 10)
		}
		_ = conn.SetDeadline(time.Now().Add(call.Timeout))
		if _, err := conn.Write(http1.AppendRequest(nil, "GET", path, c.addr, nil, nil)); err != nil {
			return discovery.ConnectionLost
		}
		for read := (http1.Progress{}); ; {
			a, size, err := read.ReadResponse(buffer[:filled], maxListBytes, false)
			if err != nil {
				return discovery.Unreadable
			}
			if size > 0 {
				if failure := c.onResponse(&a, &parser); failure >= 0 {
					return failure
				}
				filled = copy(buffer, buffer[size:filled])
				break
			}
			if filled == cap(buffer) {
				buffer = append(make([]byte, 0, 2*cap(buffer)), buffer[:filled]...)
			}
			n, err := conn.Read(buffer[filled:cap(buffer)])
			if err != nil {
				return discovery.ConnectionLost
			}
			filled += n
		}
	}
}

// accepted is the value that onResponse returns for a valid response.
const accepted discovery.Failure = -1

// onResponse processes the response to a poll. It returns accepted, or how the poll failed.
func (c *listPoller) onResponse(a *http1.Response, parser *fastjson.Parser) discovery.Failure {
	if a.Status == http1.ServiceUnavailable || a.Status == http1.TooManyRequests {
		return discovery.Refused
	}
	update, err := parser.ParseBytes(bytes.Clone(a.Body))
	if a.Status != http.StatusOK || err != nil || !update.Exists("generation") {
		return discovery.Unreadable
	}
	generation := update.GetInt("generation")
	isComplete := update.GetBool("reset")
	if !c.poller.Accepts(generation, isComplete) {
		return discovery.Unreadable
	}
	c.poller.OnUpdate(generation, isComplete)
	return accepted
}

// track registers a connection, so that Close can interrupt a poll that blocks on it. If Close has already been called
// it closes the connection and returns false.
func (c *listPoller) track(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conn = conn
	return true
}

// Close stops the poller and waits for its goroutine.
func (c *listPoller) Close() {
	c.mu.Lock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.mu.Unlock()
	close(c.end)
	<-c.done
}
