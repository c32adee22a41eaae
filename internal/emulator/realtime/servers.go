package realtime

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/emulator/cachestub"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/freeport"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const (
	tcpEstablished      = 1                      // TCP_ESTABLISHED, the kernel's state of an established connection
	maxQueuedAnswers    = 64                     // per connection; a peer that lets more queue up is disconnected
	readBufferSize      = 16 << 10               // bytes per read
	maxCommandSize      = 1 << 20                // bytes of an incomplete command, beyond which a connection is closed
	backlogFillTimeout  = 50 * time.Millisecond  // for a dial that fills the listen backlog
	frozenCheckInterval = time.Millisecond       // between checks whether a frozen cache runs again
	relistenDelay       = 100 * time.Millisecond // between attempts to listen on a server's former address
	garbageAnswer       = "\x8c\xa1\x00 no answer of any protocol \xff\r\n"
)

// server is a cache or the origin, which listens on a loopback socket.
type server struct {
	rig            *Rig
	number         int
	address        *freeport.Reservation
	listener       net.Listener // nil while connections are refused
	conns          map[*serverConn]bool
	fault          string        // of its connections, set by SetFault; "" for none
	backlogFillers []net.Conn    // connections that fill the listen backlog of a silent server
	responsive     chan struct{} // closed unless the server is silent
	httpServer     *http.Server  // of the origin; nil for a cache
}

// serverConn is a connection to a cache.
type serverConn struct {
	net.Conn
	server   *server
	outgoing chan []byte // queued answers
}

// attempt is an attempt that a server has received and not answered.
type attempt struct {
	server    int
	id        string
	arrivedAt policy.Instant
	conn      *serverConn     // the connection to a cache; nil at the origin
	etag      string          // the If-None-Match header; empty if the client has no value to revalidate
	done      chan world.Done // receives the finished job at the origin; nil at a cache
}

// openServer creates a server and starts listening on a free port.
func (r *Rig) openServer(number int) error {
	responsive := make(chan struct{})
	close(responsive)
	s := &server{rig: r, number: number, conns: map[*serverConn]bool{}, responsive: responsive}
	var err error
	if s.address, err = freeport.Reserve(); err != nil {
		return fmt.Errorf("cannot open emulated server %d: %w", number, err)
	}
	l, err := s.address.Listen()
	if err != nil {
		s.address.Close()
		return fmt.Errorf("cannot open a listener for emulated server %d: %w", number, err)
	}
	for len(r.servers) <= number {
		r.servers = append(r.servers, nil)
	}
	r.servers[number] = s
	s.serve(l)
	return nil
}

// updateListener opens the listener of a server that is up, or makes the server respond again. It creates a server that
// does not exist yet. Rig.mu must be locked.
func (r *Rig) updateListener(number int) {
	if number >= len(r.servers) || r.servers[number] == nil {
		if err := r.openServer(number); err != nil {
			r.failures = append(r.failures, err.Error())
		}
		return
	}
	s := r.servers[number]
	switch liveness := r.world.Servers[number].Liveness; {
	case liveness == world.Up && s.listener == nil && s.fault != "refuse" && !r.stopped:
		l, err := s.address.Listen()
		if err != nil {
			r.At(r.now().Add(relistenDelay), func() { r.updateListener(number) })
			return
		}
		s.serve(l)
	case liveness == world.Up:
		s.resumeResponding()
	}
}

func (s *server) serve(l net.Listener) {
	s.listener = l
	if s.rig.world.IsOrigin(s.number) {
		s.httpServer = &http.Server{Handler: s}
		go s.httpServer.Serve(l)
		return
	}
	go s.accept(l)
}

func (s *server) accept(l net.Listener) {
	for {
		plain, err := l.Accept()
		if err != nil {
			return
		}
		r := s.rig
		r.mu.Lock()
		responsive := s.responsive
		r.mu.Unlock()
		if wasSilent := waitUntilClosed(responsive); wasSilent || peerClosed(plain) {
			// A silent server does not serve connections. It resets those made meanwhile once it responds again.
			closeWithReset(plain)
			continue
		}
		r.mu.Lock()
		r.log.Second(r.now()).Dials++
		if s.listener != l || !r.world.Connect(r.now(), s.number) {
			if at := r.world.Servers[s.number]; s.listener == l && at.OpenConnections >= at.Connections {
				r.log.Second(r.now()).FullDials++
			}
			r.mu.Unlock()
			closeWithReset(plain)
			continue
		}
		c := &serverConn{Conn: plain, server: s, outgoing: make(chan []byte, maxQueuedAnswers)}
		s.conns[c] = true
		r.world.Servers[s.number].OpenConnections++
		r.wakeClock()
		r.mu.Unlock()
		go c.write()
		go c.read()
	}
}

// waitUntilClosed waits until a channel is closed, and reports whether it had to wait.
func waitUntilClosed(responsive chan struct{}) (waited bool) {
	select {
	case <-responsive:
		return false
	default:
		<-responsive
		return true
	}
}

// peerClosed reports whether the peer has closed the connection, so that nothing it has sent needs an answer.
func peerClosed(c net.Conn) (closed bool) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State != tcpEstablished
	})
	return closed
}

func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// ResetConnections resets all connections to a server, and closes its listener if it is down or refuses connections. A
// silent server stops responding instead, without a reset. Rig.mu must be locked.
func (r *Rig) ResetConnections(number int) {
	s := r.servers[number]
	if s == nil {
		return
	}
	liveness := r.world.Servers[number].Liveness
	if liveness == world.Silent {
		s.stopResponding()
		return
	}
	s.resumeResponding()
	for c := range s.conns {
		c.disconnect(true)
	}
	if s.httpServer != nil {
		go s.httpServer.Close()
		s.httpServer = nil
		s.listener = nil
	}
	if (liveness == world.Down || s.fault == "refuse") && s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
}

// stopResponding stops accepting connections, and fills the kernel's listen backlog so that the kernel establishes no
// new connections either. Rig.mu must be locked.
func (s *server) stopResponding() {
	l, ok := s.listener.(*net.TCPListener)
	if !ok {
		return
	}
	s.responsive = make(chan struct{})
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { unix.Listen(int(fd), 0) })
	}
	for range 3 { // one for the pending accept, two for a backlog of size 0
		go func() {
			if c, err := net.DialTimeout("tcp", s.address.Addr(), backlogFillTimeout); err == nil {
				s.rig.mu.Lock()
				s.backlogFillers = append(s.backlogFillers, c)
				s.rig.mu.Unlock()
			}
		}()
	}
}

// resumeResponding undoes stopResponding. Rig.mu must be locked.
func (s *server) resumeResponding() {
	select {
	case <-s.responsive:
		return
	default:
	}
	for _, c := range s.backlogFillers {
		closeWithReset(c)
	}
	s.backlogFillers = nil
	if l, ok := s.listener.(*net.TCPListener); ok {
		if raw, err := l.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { unix.Listen(int(fd), 512) })
		}
	}
	close(s.responsive)
}

// SetFault sets the fault of a server's connections, "" for none. Rig.mu must be locked.
func (r *Rig) SetFault(number int, kind string) {
	s := r.servers[number]
	s.fault = kind
	r.updateListener(number)
}

// close stops the server permanently. Rig.mu must be locked.
func (s *server) close() {
	if s == nil {
		return
	}
	s.resumeResponding()
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	s.address.Close()
	for c := range s.conns {
		c.disconnect(false)
	}
	if s.httpServer != nil {
		go s.httpServer.Close()
	}
}

// disconnect closes a connection, by a reset if byReset is true. The attempts on it count as cancelled, and their jobs
// are withdrawn from the model. Rig.mu must be locked.
func (c *serverConn) disconnect(byReset bool) {
	r := c.server.rig
	if !c.server.conns[c] {
		return
	}
	delete(c.server.conns, c)
	if w := r.world.Servers[c.server.number]; w.OpenConnections > 0 {
		w.OpenConnections--
	}
	var tags []uint64
	for tag, a := range r.attempts {
		if a.conn == c {
			tags = append(tags, tag)
		}
	}
	slices.Sort(tags)
	for _, tag := range tags {
		r.endAttempt(tag, policy.Cancelled)
		r.world.Withdraw(r.now(), c.server.number, tag)
	}
	close(c.outgoing)
	if byReset {
		closeWithReset(c.Conn)
	} else {
		c.Close()
	}
}

// endAttempt removes an attempt, and records its result with the log, the checker and the fleet's event log. It returns
// the attempt, or nil if the tag is unknown. Rig.mu must be locked.
func (r *Rig) endAttempt(tag uint64, result policy.Result) *attempt {
	a := r.attempts[tag]
	if a != nil {
		delete(r.attempts, tag)
		r.log.AttemptEnded(r.now(), result)
		r.checker.AttemptEnded(r.now(), a.id, r.world.Servers[a.server].ID, result.NotExecuted())
		if r.fleetRecorder != nil {
			r.fleetRecorder.AttemptDone(r.now(), r.world.Servers[a.server].ID, result, r.now().Since(a.arrivedAt))
		}
	}
	return a
}

// queueAnswer queues an answer, or disconnects the peer if its queue is full. Rig.mu must be locked.
func (c *serverConn) queueAnswer(b []byte) {
	if !c.server.conns[c] {
		return
	}
	select {
	case c.outgoing <- b:
	default:
		c.disconnect(true)
	}
}

func (c *serverConn) write() {
	for b := range c.outgoing {
		if _, err := c.Write(b); err != nil {
			c.Close() // ends the read loop, which disconnects
		}
	}
}

func (c *serverConn) read() {
	r, in, unparsed := c.server.rig, make([]byte, readBufferSize), []byte(nil)
	src := bufio.NewReaderSize(c, readBufferSize)
	defer func() {
		r.mu.Lock()
		c.disconnect(false)
		r.mu.Unlock()
	}()
	for {
		n, err := src.Read(in)
		if err != nil {
			return
		}
		unparsed = append(unparsed, in[:n]...)
		if len(unparsed) > maxCommandSize {
			return
		}
		for {
			size := 0
			if r.scenario.Fleet.Protocol == listeners.ProtocolHTTP {
				size = c.handleHTTPRequest(unparsed)
			} else if o, n := cachestub.ParseCommand(unparsed); n > 0 {
				r.mu.Lock()
				for r.world.Servers[c.server.number].Frozen(r.now()) && c.server.conns[c] {
					r.mu.Unlock()
					time.Sleep(frozenCheckInterval)
					r.mu.Lock()
				}
				c.handlePurge(o)
				r.mu.Unlock()
				size = n
			} else if command, n, fault := meta.ReadCommand(unparsed); n > 0 || fault != nil {
				r.mu.Lock()
				c.handleCommand(&command, fault)
				r.mu.Unlock()
				size = n
			}
			if size == 0 {
				break
			}
			unparsed = unparsed[size:]
		}
	}
}

// handleCommand handles one command of the meta protocol. Rig.mu must be locked.
func (c *serverConn) handleCommand(command *meta.Command, fault *meta.Fault) {
	r, s, now := c.server.rig, c.server, c.server.rig.now()
	w := r.world.Servers[s.number]
	if w.Liveness == world.Silent || s.fault == "silent" && command.Verb != meta.Unknown {
		if s.fault == "silent" && w.Liveness == world.Up && (command.Verb == meta.Get || command.Verb == meta.Set) {
			r.attemptArrived(now, string(command.ID), w.ID)
		}
		return
	}
	switch {
	case fault != nil:
		r.checker.WrongAnswer(now, string(command.ID),
			"a server received an invalid command: "+strings.TrimSpace(fault.Response))
		c.queueAnswer([]byte(fault.Response))
		return
	case command.Verb == meta.Ready:
		r.log.Second(now).Probes++
		if !w.Frozen(now) {
			c.queueAnswer([]byte("MN\r\n"))
		}
		return
	case command.Verb == meta.Stats:
		c.queueAnswer([]byte("ERROR\r\n"))
		return
	}
	items, _ := meta.Flag(command.Flags, 'P')
	if r.offerAttempt(s, string(command.ID), string(command.Key), items, command.Verb == meta.Set, &attempt{conn: c}) {
		return
	}
	c.queueAnswer([]byte("SERVER_ERROR busy\r\n"))
}

// handlePurge executes a delete or a flush, unless the cache is silent or has a fault that prevents it. Rig.mu must be
// locked.
func (c *serverConn) handlePurge(o cachestub.Command) {
	r, s := c.server.rig, c.server
	w := r.world.Servers[s.number]
	switch {
	case w.Liveness == world.Silent || s.fault == "silent":
	case s.fault == "reset":
		c.disconnect(true)
	case s.fault == "garbage":
		c.queueAnswer([]byte(garbageAnswer))
	case o.Flush:
		r.world.RemoveAll(s.number)
		c.queueAnswer(o.Answer(true))
	default:
		c.queueAnswer(o.Answer(r.world.RemoveKey(s.number, o.Key)))
	}
}

// attemptArrived records that a server has received a complete attempt. Rig.mu must be locked.
func (r *Rig) attemptArrived(now policy.Instant, id string, server policy.EndpointID) {
	r.log.AttemptArrived(now, server)
	r.checker.AttemptArrived(now, now, id, server)
	if r.fleetRecorder != nil {
		r.fleetRecorder.AttemptSent(now, server)
	}
}

// offerAttempt offers an attempt to the model of the server as a job. It returns false if the attempt is invalid or
// the model rejects the job. items are the call's items "c" (class), "d" (timeout in milliseconds) and "k"
// (idempotency key). Rig.mu must be locked.
func (r *Rig) offerAttempt(s *server, id, key string, items []byte, isWrite bool, a *attempt) bool {
	now := r.now()
	w := r.world.Servers[s.number]
	r.attemptArrived(now, id, w.ID)
	item := func(name string) string {
		v, _ := meta.Item(items, name)
		return string(v)
	}
	if isWrite && r.scenario.Allowed.Mode == "aside" && !r.world.IsOrigin(s.number) {
		r.checker.WrongAnswer(now, id, fmt.Sprintf("a write was sent to the cache-aside cache %s", w.ID))
	}
	class := slices.IndexFunc(r.traffic.Classes, func(g world.Class) bool { return g.Name == item("c") })
	timeoutMs, err := strconv.ParseFloat(item("d"), 64)
	if class < 0 || err != nil || timeoutMs <= 0 || r.traffic.Classes[class].Write != isWrite {
		r.checker.WrongAnswer(now, id, fmt.Sprintf(
			"a server received an attempt that matches no client request: class %q, timeout %q", item("c"), item("d")))
		r.checker.AttemptEnded(now, id, w.ID, true)
		return false
	}
	if s.fault == "reset" {
		r.checker.AttemptEnded(now, id, w.ID, true)
		if a.conn != nil {
			a.conn.disconnect(true)
		}
		return true
	}
	r.lastTag++
	a.server, a.id, a.arrivedAt = s.number, id, now
	r.attempts[r.lastTag] = a
	j := world.Job{
		Request: id,
		Key:     key,
		Label:   item("k"),
		Class:   class,
		Until:   now.Add(time.Duration(timeoutMs * 1e6)),
		Tag:     r.lastTag,

		KnewOfStart: r.startIsKnown(w),
	}
	if _, ok := r.world.Offer(now, s.number, j); !ok {
		r.endAttempt(r.lastTag, policy.Rejected)
		return false
	}
	r.wakeClock()
	return true
}

// startIsKnown reports whether any node was sent a server's last start, or ought to have been by now. A server cannot
// tell which node an attempt comes from. Rig.mu must be locked.
func (r *Rig) startIsKnown(server *world.Server) bool {
	return server.StartedAt <= r.notifications.Bound(r.now()) || r.notifiedStarts[server.ID] >= server.StartedAt
}

// resultByReply is the result of an attempt, by the server's reply.
var resultByReply = [...]policy.Result{
	world.Value:   policy.Answered,
	world.Receipt: policy.Answered,
	world.Miss:    policy.CacheMiss,
	world.Busy:    policy.Rejected,
	world.Failed:  policy.Errored,
}

// jobDone answers the attempt of a finished job. Rig.mu must be locked.
func (r *Rig) jobDone(d world.Done) {
	a := r.endAttempt(d.Job.Tag, resultByReply[d.Reply])
	if a == nil {
		return
	}
	if a.done != nil {
		a.done <- d
		return
	}
	s := r.servers[a.server]
	answer := r.metaAnswer(d, r.scenario.Fleet.Reports)
	if r.scenario.Fleet.Protocol == listeners.ProtocolHTTP {
		answer = httpCacheAnswer(d, s.fault == "stale", a.etag)
	}
	switch s.fault {
	case "half":
		a.conn.queueAnswer(answer[:len(answer)/2])
		r.At(r.now().Add(pollInterval), func() { a.conn.disconnect(true) })
		return
	case "garbage":
		answer = []byte(garbageAnswer)
	}
	a.conn.queueAnswer(answer)
}

// metaAnswer encodes a cache's answer in the meta protocol, with the cache's load if reports is true.
func (r *Rig) metaAnswer(d world.Done, reports bool) []byte {
	load := ""
	if reports {
		load = fmt.Sprintf(" Loutstanding=%g", d.Load)
	}
	switch id := d.Job.Request; d.Reply {
	case world.Value:
		text := r.scenario.Value(d.Text)
		return fmt.Appendf(nil, "VA %d O%s h1%s\r\n%s\r\n", len(text), id, load, text)
	case world.Receipt:
		return fmt.Appendf(nil, "HD O%s c%s%s\r\n", id, d.Text, load)
	case world.Miss:
		return fmt.Appendf(nil, "EN O%s h0%s\r\n", id, load)
	case world.Busy:
		return []byte("SERVER_ERROR busy\r\n")
	}
	return []byte("SERVER_ERROR failed\r\n")
}

// ServeHTTP handles a request to the origin. It responds when the model has finished the job.
func (s *server) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	r := s.rig
	if in.URL.Path == "/health/live" || in.URL.Path == "/stats" {
		fmt.Fprintln(out, "ok")
		return
	}
	key, err := url.PathUnescape(strings.TrimPrefix(in.URL.EscapedPath(), "/"))
	bodySize, readErr := io.Copy(io.Discard, io.LimitReader(in.Body, maxCommandSize))
	if err != nil || readErr != nil {
		http.Error(out, "what came can't be read", http.StatusBadRequest)
		return
	}
	done, id := make(chan world.Done, 1), in.Header.Get("X-Call-Id")
	r.mu.Lock()
	items := []byte(in.Header.Get("X-Call-Info"))
	if in.Method == http.MethodGet && bodySize > 0 {
		r.checker.WrongAnswer(r.now(), id, readContentArrived)
	}
	accepted := r.offerAttempt(s, id, key, items, in.Method == http.MethodPut, &attempt{done: done})
	tag := r.lastTag
	r.mu.Unlock()
	if !accepted {
		rejectAtOrigin(out)
		return
	}
	select {
	case d := <-done:
		out.Header().Set("X-Call-Id", id)
		switch d.Reply {
		case world.Failed:
			http.Error(out, "failed", http.StatusInternalServerError)
			return
		case world.Busy:
			rejectAtOrigin(out)
			return
		}
		text := d.Text
		if d.Reply == world.Value {
			text = r.scenario.Value(text)
		}
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(out, text)
	case <-in.Context().Done(): // the node cancelled the request, or the origin was stopped
		r.mu.Lock()
		r.endAttempt(tag, policy.Cancelled)
		r.world.Withdraw(r.now(), s.number, tag)
		r.mu.Unlock()
	}
}

// rejectAtOrigin answers that the origin has not executed a request and will not.
func rejectAtOrigin(out http.ResponseWriter) {
	out.Header().Set("X-Rejected", "1")
	http.Error(out, "busy", http.StatusServiceUnavailable)
}
