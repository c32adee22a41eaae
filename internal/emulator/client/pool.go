package client

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"dahliapin/internal/emulator/checker"
)

const (
	dialTimeout = time.Second
	// defaultLateTolerance is how long after its deadline a response is still waited for: a late one is to be seen.
	defaultLateTolerance = 300 * time.Millisecond
	// maxIdleConns is how many connections are kept for one node.
	maxIdleConns = 512
)

var (
	errSilent      = errors.New("no response in time")
	errAbandoned   = errors.New("the client abandoned the request")
	errUnsolicited = errors.New("received bytes that belong to no request")
	errUnanswered  = errors.New("the request was read, and the connection was closed without a response")
)

// Pool holds the connections to one node. Its methods may be called from any goroutine.
type Pool struct {
	Addr          string
	HTTP          bool          // else by meta commands
	LateTolerance time.Duration // after its deadline that a response is still waited for; 0 for a usual time

	mu      sync.Mutex
	idle    []*conn
	conns   map[*conn]bool // all that are open
	closed  bool
	pending sync.WaitGroup // requests
}

// Send sends a request, and calls done with what became of it from another goroutine.
func (p *Pool) Send(r *Request, done func(Response)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.closed {
		go done(Response{Final: checker.Cut, SentAt: now, ReceivedAt: now})
		return
	}
	idle := p.takeIdle()
	if idle == nil && r.ReuseOnly {
		go done(Response{Final: checker.Cut, NotSent: true, SentAt: now, ReceivedAt: now})
		return
	}
	p.pending.Go(func() { done(p.roundTrip(idle, r)) })
}

// takeIdle returns the idle connection that was used last, or nil if there is none; under mu.
func (p *Pool) takeIdle() *conn {
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// roundTrip sends a request on an idle connection, or on a new one if that is nil. A request that crosses the end of a
// used connection is sent again on a new one.
func (p *Pool) roundTrip(idle *conn, r *Request) Response {
	sentAt := time.Now()
	response, err := p.attempt(idle, r)
	unsolicited := response.Unsolicited
	// Asked in this order: without an error another request may use the connection already.
	crossedEnd := isConnEnd(err) && idle != nil && idle.used
	if crossedEnd && !r.ReuseOnly {
		response, err = p.attempt(nil, r)
	}
	response.Unsolicited = response.Unsolicited || unsolicited
	response.SentAt = sentAt
	response.ReceivedAt = time.Now()
	if err != nil {
		response.Final = checker.Cut
		response.Silent = errors.Is(err, errSilent)
		response.Abandoned = errors.Is(err, errAbandoned)
		response.NotSent = crossedEnd && r.ReuseOnly
	}
	return response
}

// isConnEnd reports whether a request met the end of its connection, and was not read.
func isConnEnd(err error) bool {
	return err != nil &&
		!errors.Is(err, errSilent) && !errors.Is(err, errAbandoned) && !errors.Is(err, errUnanswered)
}

// attempt sends a request once, on a connection or on a new one if that is nil, and reads the response.
func (p *Pool) attempt(c *conn, r *Request) (Response, error) {
	if c == nil {
		var err error
		if c, err = p.dial(); err != nil {
			return Response{}, err
		}
	}
	if c.hasUnsolicited() {
		p.drop(c)
		return Response{Unsolicited: true}, errUnsolicited
	}
	response, err := p.exchange(c, r)
	if err != nil {
		if c.used && isOrderlyEnd(err) && c.wasRead() {
			err = errUnanswered
		}
		p.drop(c)
		return response, err
	}
	c.used = true
	p.keep(c, response.closes)
	return response, nil
}

// exchange writes a request and reads the response, within the time that the client waits.
func (p *Pool) exchange(c *conn, r *Request) (Response, error) {
	wait := r.Timeout + cmp.Or(p.LateTolerance, defaultLateTolerance)
	abandons := r.AbandonAfter > 0 && r.AbandonAfter <= wait
	if abandons {
		wait = r.AbandonAfter
	}
	if err := c.SetDeadline(time.Now().Add(wait)); err != nil {
		return Response{}, err
	}
	encode, read := metaCommand, readMeta
	if p.HTTP {
		encode, read = httpRequest, readHTTP
	}
	var response Response
	_, err := io.WriteString(c, encode(r))
	if err == nil {
		response, err = read(c.in, r)
	}
	switch {
	case !isTimeout(err):
		return response, err
	case abandons:
		return response, errAbandoned
	}
	return response, errSilent
}

func isOrderlyEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// dial opens a connection that the pool knows of.
func (p *Pool) dial() (*conn, error) {
	c, err := dialNode(p.Addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	if p.conns == nil {
		p.conns = map[*conn]bool{}
	}
	p.conns[c] = true
	return c, nil
}

func dialNode(addr string) (*conn, error) {
	plain, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	stream, ok := plain.(*net.TCPConn)
	if !ok {
		_ = plain.Close()
		return nil, errors.New("not a TCP connection")
	}
	return &conn{TCPConn: stream, in: bufio.NewReader(stream)}, nil
}

// keep keeps a connection for later requests, unless it ends or enough are kept.
func (p *Pool) keep(c *conn, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || ends || len(p.idle) >= maxIdleConns {
		delete(p.conns, c)
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// HasIdle tells whether a connection is open that no request uses.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// OpenConns counts the connections that the node holds open. Of idle ones the pool learns the end only now.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for c := range p.conns {
		if c.isOpen() {
			open++
		}
	}
	return open
}

// Close ends all connections and waits for all requests.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.pending.Wait()
}

// Ready tells whether the node accepts requests.
func (p *Pool) Ready() bool {
	c, err := dialNode(p.Addr)
	if err != nil {
		return false
	}
	defer c.Close()
	if c.SetDeadline(time.Now().Add(dialTimeout)) != nil {
		return false
	}
	if p.HTTP {
		_, _ = io.WriteString(c, "GET "+ReadyPath+" HTTP/1.1\r\nHost: n\r\n\r\n")
		response, err := http.ReadResponse(c.in, nil)
		return err == nil && response.StatusCode == http.StatusOK
	}
	_, _ = io.WriteString(c, "mn\r\n")
	line, _ := c.in.ReadString('\n')
	return line == "MN\r\n"
}
