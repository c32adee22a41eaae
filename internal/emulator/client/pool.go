package client

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"dahliapin/internal/emulator/checker"
)

const (
	dialTimeout = time.Second
	// defaultLateTolerance is the time after a request's deadline for which the client still waits, so that a late
	// response is reported as late and not as missing.
	defaultLateTolerance = 300 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections to a node.
	maxIdleConns = 512
)

var (
	errSilent      = errors.New("the node sent no response in time")
	errAbandoned   = errors.New("the client abandoned the request")
	errUnsolicited = errors.New("the node sent data while no request was in flight")
	errUnanswered  = errors.New("the node read the request and closed the connection without a response")
	errIncomplete  = errors.New("the connection ended in the middle of the response")
	errUnreadable  = errors.New("the response cannot be read")
)

// Pool holds the connections to one node. Its methods may be called from any goroutine.
type Pool struct {
	Addr          string
	HTTP          bool          // sends HTTP requests instead of meta commands
	LateTolerance time.Duration // time after its deadline for which a response is awaited; 0 for 300 ms

	mu      sync.Mutex
	idle    []*conn        // most recently used last
	conns   map[*conn]bool // all open connections
	closed  bool
	pending sync.WaitGroup // requests in flight
}

// Send sends a request without blocking, and calls done with the response from another goroutine.
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

// takeIdle removes and returns the most recently used idle connection, or returns nil if there is none. The caller
// holds mu.
func (p *Pool) takeIdle() *conn {
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// roundTrip sends a request on an idle connection, or on a new one if idle is nil. If the node closes a reused
// connection before it has read the request, the request is sent again on a new connection.
func (p *Pool) roundTrip(idle *conn, r *Request) Response {
	sentAt := time.Now()
	response, err := p.attempt(idle, r)
	unsolicited := response.Unsolicited
	// idle.used is read only after an error: without one, another request may already use the connection.
	closedBeforeRead := isClosedBeforeRead(err) && idle != nil && idle.used
	if closedBeforeRead && !r.ReuseOnly {
		response, err = p.attempt(nil, r)
	}
	response.Unsolicited = response.Unsolicited || unsolicited
	response.SentAt = sentAt
	response.ReceivedAt = time.Now()
	if err != nil {
		response.Final = checker.Cut
		response.Silent = errors.Is(err, errSilent)
		response.Abandoned = errors.Is(err, errAbandoned)
		response.NotSent = closedBeforeRead && r.ReuseOnly
	}
	if errors.Is(err, errUnreadable) {
		response.Final = checker.Failed
		response.InvalidReason = err.Error()
	}
	return response
}

// isClosedBeforeRead reports whether the connection ended before the node had read the request.
func isClosedBeforeRead(err error) bool {
	isOther := func(known error) bool { return errors.Is(err, known) }
	return err != nil && !slices.ContainsFunc(
		[]error{errSilent, errAbandoned, errUnanswered, errIncomplete, errUnreadable}, isOther)
}

// attempt sends a request on c, or on a new connection if c is nil, and reads the response.
func (p *Pool) attempt(c *conn, r *Request) (Response, error) {
	if c == nil {
		var err error
		if c, err = p.dial(); err != nil {
			return Response{}, err
		}
	}
	if c.hasUnsolicited() {
		p.discard(c)
		return Response{Unsolicited: true}, errUnsolicited
	}
	response, err := p.exchange(c, r)
	if err != nil {
		if c.used && !errors.Is(err, errIncomplete) && isOrderlyEnd(err) && c.wasRead() {
			err = errUnanswered
		}
		p.discard(c)
		return response, err
	}
	c.used = true
	p.putIdle(c, response.closes)
	return response, nil
}

// exchange writes a request and reads the response, within the time for which the client waits.
func (p *Pool) exchange(c *conn, r *Request) (Response, error) {
	wait := r.Timeout + cmp.Or(p.LateTolerance, defaultLateTolerance)
	abandons := r.AbandonAfter > 0 && r.AbandonAfter <= wait
	if abandons {
		wait = r.AbandonAfter
	}
	if err := c.SetDeadline(time.Now().Add(wait)); err != nil {
		return Response{}, err
	}
	encode, read := encodeMeta, readMeta
	if p.HTTP {
		encode, read = encodeHTTP, readHTTP
	}
	var response Response
	before := c.received.count
	_, err := io.WriteString(c, encode(r))
	if err == nil {
		response, err = read(c.reader, r)
	}
	switch {
	case err != nil && !isTimeout(err) && c.received.count > before:
		return response, answerError(err)
	case !isTimeout(err):
		return response, err
	case abandons:
		return response, errAbandoned
	}
	return response, errSilent
}

// answerError returns the error for a response of which some bytes arrived: the node had read the request, so that it
// must not be sent again.
func answerError(err error) error {
	var netErr net.Error
	if isOrderlyEnd(err) || errors.As(err, &netErr) {
		return fmt.Errorf("%w: %w", errIncomplete, err)
	}
	return fmt.Errorf("%w: %w", errUnreadable, err)
}

func isOrderlyEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// dial opens a connection and registers it with the pool.
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
		return nil, fmt.Errorf("the connection to %s is a %T and not a TCP connection", addr, plain)
	}
	return newConn(stream), nil
}

// putIdle returns a connection to the idle ones, or closes it if the node ends it, the pool is closed or there are
// maxIdleConns idle connections already.
func (p *Pool) putIdle(c *conn, closes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || closes || len(p.idle) >= maxIdleConns {
		delete(p.conns, c)
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection and removes it from the pool.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// HasIdle reports whether the pool has an idle connection.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// OpenConns returns the number of connections that the node keeps open. It checks each one in the kernel, as the pool
// otherwise notices that an idle connection was closed only when it is next used.
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

// Close closes all connections and waits for the requests in flight.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.pending.Wait()
}

// Ready reports whether the node accepts requests. It uses a connection of its own.
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
		response, err := http.ReadResponse(c.reader, nil)
		return err == nil && response.StatusCode == http.StatusOK
	}
	_, _ = io.WriteString(c, "mn\r\n")
	line, _ := c.reader.ReadString('\n')
	return line == "MN\r\n"
}
