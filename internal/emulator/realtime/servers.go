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
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const (
	established = 1                      // a connection's state in the kernel, by RFC 9293
	mostAnswers = 64                     // that may wait on one connection for a slow reader
	readAtOnce  = 16 << 10               // bytes of commands read at once
	mostCommand = 1 << 20                // bytes of a command that has not come whole
	fillWithin  = 50 * time.Millisecond  // that a connection may take which only fills a queue
	frozenLook  = time.Millisecond       // between looks whether a cache that stands still goes on
	openAgain   = 100 * time.Millisecond // between tries to listen where it listened before
	garbage     = "\x8c\xa1\x00 no answer of any protocol \xff\r\n"
)

// server is one cache or the origin on sockets.
type server struct {
	r       *Rig
	number  int
	addr    string
	at      net.Listener // nil while connections are refused
	conns   map[*serverConn]bool
	fault   string
	fillers []net.Conn    // fill the queue of a server that vanished
	awake   chan struct{} // closed unless it has vanished
	web     *http.Server
}

// serverConn is a connection to a cache.
type serverConn struct {
	net.Conn
	s   *server
	out chan []byte
}

// leg is one that a server has in hand.
type attempt struct {
	server int
	id     string
	came   policy.Instant
	conn   *serverConn     // to a cache
	tag    string          // its client asks whether what this names still holds
	done   chan world.Done // to the origin
}

// open lets a server listen for the first time.
func (r *Rig) open(number int) error {
	awake := make(chan struct{})
	close(awake)
	s := &server{r: r, number: number, conns: map[*serverConn]bool{}, awake: awake}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("a server cannot listen: %w", err)
	}
	s.addr = l.Addr().String()
	for len(r.servers) <= number {
		r.servers = append(r.servers, nil)
	}
	r.servers[number] = s
	s.serve(l)
	return nil
}

// attend brings a server's listening into line with how it lives; the lock is held. One that is new is opened.
func (r *Rig) attend(number int) {
	if number >= len(r.servers) || r.servers[number] == nil {
		if err := r.open(number); err != nil {
			r.deaths = append(r.deaths, err.Error())
		}
		return
	}
	s := r.servers[number]
	switch life := r.world.Servers[number].Liveness; {
	case life == world.Up && s.at == nil && s.fault != "refuse" && !r.stopped:
		l, err := net.Listen("tcp", s.addr)
		if err != nil { // somebody else's connection has its port for a moment
			r.At(r.now().Add(openAgain), func() { r.attend(number) })
			return
		}
		s.serve(l)
	case life == world.Up:
		s.wake()
	}
}

func (s *server) serve(l net.Listener) {
	s.at = l
	if s.r.world.IsOrigin(s.number) {
		s.web = &http.Server{Handler: s}
		go s.web.Serve(l)
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
		r := s.r
		r.mu.Lock()
		awake := s.awake
		r.mu.Unlock()
		if vanished := waitFor(awake); vanished || over(plain) { // one that has vanished accepts nobody, and resets who came meanwhile once it is back
			reset(plain)
			continue
		}
		r.mu.Lock()
		r.log.Second(r.now()).Dials++
		if s.at != l || !r.world.Connect(r.now(), s.number) {
			if at := r.world.Servers[s.number]; s.at == l && at.OpenConnections >= at.Connections {
				r.log.Second(r.now()).FullDials++
			}
			r.mu.Unlock()
			reset(plain)
			continue
		}
		c := &serverConn{Conn: plain, s: s, out: make(chan []byte, mostAnswers)}
		s.conns[c] = true
		r.world.Servers[s.number].OpenConnections++
		r.wakeClock()
		r.mu.Unlock()
		go c.write()
		go c.read()
	}
}

// waitFor waits until a channel is closed, and tells whether it had to.
func waitFor(awake chan struct{}) (waited bool) {
	select {
	case <-awake:
		return false
	default:
		<-awake
		return true
	}
}

// over tells whether the other side has ended a connection: whoever opened it has given up on all that it wrote.
func over(c net.Conn) (is bool) {
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
		is = err != nil || info.State != established
	})
	return is
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// ResetConnections ends all connections to a server; one that is down, or refuses, listens no more. One that has vanished lets
// nobody know. The lock is held.
func (r *Rig) ResetConnections(number int) {
	s := r.servers[number]
	if s == nil {
		return
	}
	life := r.world.Servers[number].Liveness
	if life == world.Silent {
		s.vanish()
		return
	}
	s.wake()
	for c := range s.conns {
		c.gone(true)
	}
	if s.web != nil {
		go s.web.Close()
		s.web = nil
		s.at = nil
	}
	if (life == world.Down || s.fault == "refuse") && s.at != nil {
		s.at.Close()
		s.at = nil
	}
}

// vanish lets a server say nothing any more: nobody is accepted, and the kernel's queue is filled so that connections
// don't come up either.
func (s *server) vanish() {
	l, ok := s.at.(*net.TCPListener)
	if !ok {
		return
	}
	s.awake = make(chan struct{})
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { unix.Listen(int(fd), 0) })
	}
	for range 3 { // the one that is waited for, and the queue's least length
		go func() {
			if c, err := net.DialTimeout("tcp", s.addr, fillWithin); err == nil {
				s.r.mu.Lock()
				s.fillers = append(s.fillers, c)
				s.r.mu.Unlock()
			}
		}()
	}
}

// wake ends that.
func (s *server) wake() {
	select {
	case <-s.awake:
		return
	default:
	}
	for _, c := range s.fillers {
		reset(c)
	}
	s.fillers = nil
	if l, ok := s.at.(*net.TCPListener); ok {
		if raw, err := l.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { unix.Listen(int(fd), 512) })
		}
	}
	close(s.awake)
}

// SetFault sets what goes wrong on a server's connections; the lock is held.
func (r *Rig) SetFault(number int, kind string) {
	s := r.servers[number]
	s.fault = kind
	r.attend(number)
}

// shut ends it for good; the lock is held.
func (s *server) shut() {
	if s == nil {
		return
	}
	s.wake()
	if s.at != nil {
		s.at.Close()
		s.at = nil
	}
	for c := range s.conns {
		c.gone(false)
	}
	if s.web != nil {
		go s.web.Close()
	}
}

// gone ends a connection; the legs on it are left. The lock is held.
func (c *serverConn) gone(byReset bool) {
	r := c.s.r
	if !c.s.conns[c] {
		return
	}
	delete(c.s.conns, c)
	if w := r.world.Servers[c.s.number]; w.OpenConnections > 0 {
		w.OpenConnections--
	}
	var on []uint64
	for tag, l := range r.attempts {
		if l.conn == c {
			on = append(on, tag)
		}
	}
	slices.Sort(on)
	for _, tag := range on {
		r.left(tag, policy.Cancelled)
		r.world.Withdraw(r.now(), c.s.number, tag)
	}
	close(c.out)
	if byReset {
		reset(c.Conn)
	} else {
		c.Close()
	}
}

// left tells the judge that a leg is out no more, and the fleet's book how it ended.
func (r *Rig) left(tag uint64, how policy.Result) *attempt {
	l := r.attempts[tag]
	if l != nil {
		delete(r.attempts, tag)
		r.log.AttemptEnded(r.now(), how)
		r.checker.AttemptEnded(r.now(), l.id, r.world.Servers[l.server].ID, how.NotExecuted())
		if r.fleet != nil {
			r.fleet.AttemptDone(r.now(), r.world.Servers[l.server].ID, how, r.now().Since(l.came))
		}
	}
	return l
}

// answer queues bytes; a reader that takes none is cut off. The lock is held.
func (c *serverConn) answer(b []byte) {
	if !c.s.conns[c] {
		return
	}
	select {
	case c.out <- b:
	default:
		c.gone(true)
	}
}

func (c *serverConn) write() {
	for b := range c.out {
		if _, err := c.Write(b); err != nil {
			c.Close() // its reader sees that
		}
	}
}

func (c *serverConn) read() {
	r, in, held := c.s.r, make([]byte, readAtOnce), []byte(nil)
	src := bufio.NewReaderSize(c, readAtOnce)
	defer func() {
		r.mu.Lock()
		c.gone(false)
		r.mu.Unlock()
	}()
	for {
		n, err := src.Read(in)
		if err != nil {
			return
		}
		held = append(held, in[:n]...)
		if len(held) > mostCommand {
			return
		}
		for {
			size := 0
			if r.scenario.Fleet.Protocol == listeners.ProtocolHTTP {
				size = c.nextRequest(held)
			} else if o, n := cachestub.ParseCommand(held); n > 0 {
				r.mu.Lock()
				for r.world.Servers[c.s.number].Frozen(r.now()) && c.s.conns[c] {
					r.mu.Unlock()
					time.Sleep(frozenLook)
					r.mu.Lock()
				}
				c.order(o)
				r.mu.Unlock()
				size = n
			} else if command, n, fault := meta.ReadCommand(held); n > 0 || fault != nil {
				r.mu.Lock()
				c.command(&command, fault)
				r.mu.Unlock()
				size = n
			}
			if size == 0 {
				break
			}
			held = held[size:]
		}
	}
}

// command takes one command; the lock is held.
func (c *serverConn) command(command *meta.Command, fault *meta.Fault) {
	r, s, now := c.s.r, c.s, c.s.r.now()
	w := r.world.Servers[s.number]
	if w.Liveness == world.Silent || s.fault == "silent" && command.Verb != meta.Unknown {
		if s.fault == "silent" && w.Liveness == world.Up && (command.Verb == meta.Get || command.Verb == meta.Set) {
			r.came(now, string(command.ID), w.ID)
		}
		return
	}
	switch {
	case fault != nil:
		r.checker.WrongAnswer(now, string(command.ID), "a server was sent what is no command: "+strings.TrimSpace(fault.Response))
		c.answer([]byte(fault.Response))
		return
	case command.Verb == meta.Ready:
		r.log.Second(now).Probes++
		if !w.Frozen(now) {
			c.answer([]byte("MN\r\n"))
		}
		return
	case command.Verb == meta.Stats:
		c.answer([]byte("ERROR\r\n"))
		return
	}
	items, _ := meta.Flag(command.Flags, 'P')
	if r.take(s, string(command.ID), string(command.Key), items, command.Verb == meta.Set, &attempt{conn: c}) {
		return
	}
	c.answer([]byte("SERVER_ERROR busy\r\n"))
}

// order carries out a purge, at a cache that lives; the lock is held.
func (c *serverConn) order(o cachestub.Command) {
	r, s := c.s.r, c.s
	w := r.world.Servers[s.number]
	switch {
	case w.Liveness == world.Silent || s.fault == "silent":
	case s.fault == "reset":
		c.gone(true)
	case s.fault == "garbage":
		c.answer([]byte(garbage))
	case o.Flush:
		r.world.RemoveAll(s.number)
		c.answer(o.Answer(true))
	default:
		c.answer(o.Answer(r.world.RemoveKey(s.number, o.Key)))
	}
}

// came tells of a leg that came whole.
func (r *Rig) came(now policy.Instant, id string, server policy.EndpointID) {
	r.log.AttemptArrived(now, server)
	r.checker.AttemptArrived(now, now, id, server)
	if r.fleet != nil {
		r.fleet.AttemptSent(now, server)
	}
}

// take offers a leg to the model; false means that it was turned away.
func (r *Rig) take(s *server, id, key string, items []byte, write bool, l *attempt) bool {
	now := r.now()
	w := r.world.Servers[s.number]
	r.came(now, id, w.ID)
	item := func(name string) string {
		v, _ := meta.Item(items, name)
		return string(v)
	}
	if write && r.scenario.Allowed.Mode == "aside" && !r.world.IsOrigin(s.number) {
		r.checker.WrongAnswer(now, id, fmt.Sprintf("a write was sent to %s, which only stores", w.ID))
	}
	grade := slices.IndexFunc(r.traffic.Classes, func(g world.Class) bool { return g.Name == item("c") })
	wait, err := strconv.ParseFloat(item("d"), 64)
	if grade < 0 || err != nil || wait <= 0 || r.traffic.Classes[grade].Write != write {
		r.checker.WrongAnswer(now, id, fmt.Sprintf("a server was sent a leg that no client's could become: grade %q, wait %q", item("c"), item("d")))
		r.checker.AttemptEnded(now, id, w.ID, true)
		return false
	}
	if s.fault == "reset" {
		r.checker.AttemptEnded(now, id, w.ID, true)
		if l.conn != nil {
			l.conn.gone(true)
		}
		return true
	}
	r.tags++
	l.server, l.id, l.came = s.number, id, now
	r.attempts[r.tags] = l
	j := world.Job{Request: id, Key: key, Label: item("k"), Class: grade, Until: now.Add(time.Duration(wait*1e6) + slack), Tag: r.tags}
	if _, ok := r.world.Offer(now, s.number, j); !ok {
		r.left(r.tags, policy.Rejected)
		return false
	}
	r.wakeClock()
	return true
}

// outcomes are what a server's answers mean for a leg.
var outcomes = [...]policy.Result{world.Value: policy.Answered, world.Receipt: policy.Answered, world.Miss: policy.CacheMiss,
	world.Busy: policy.Rejected, world.Failed: policy.Errored}

// served is a job's end; the lock is held.
func (r *Rig) served(d world.Done) {
	l := r.left(d.Job.Tag, outcomes[d.Reply])
	if l == nil {
		return
	}
	if l.done != nil {
		l.done <- d
		return
	}
	s := r.servers[l.server]
	out := r.answerOf(d, r.scenario.Fleet.Reports)
	if r.scenario.Fleet.Protocol == listeners.ProtocolHTTP {
		out = keptAnswer(d, s.fault == "stale", l.tag)
	}
	switch s.fault {
	case "half":
		l.conn.answer(out[:len(out)/2])
		r.At(r.now().Add(pollInterval), func() { l.conn.gone(true) })
		return
	case "garbage":
		out = []byte(garbage)
	}
	l.conn.answer(out)
}

// answerOf writes a cache's answer.
func (r *Rig) answerOf(d world.Done, reports bool) []byte {
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

// ServeHTTP is the origin.
func (s *server) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	r := s.r
	if in.URL.Path == "/health/live" || in.URL.Path == "/stats" {
		fmt.Fprintln(out, "ok")
		return
	}
	key, err := url.PathUnescape(strings.TrimPrefix(in.URL.EscapedPath(), "/"))
	if _, bad := io.Copy(io.Discard, io.LimitReader(in.Body, mostCommand)); err != nil || bad != nil {
		http.Error(out, "what came can't be read", http.StatusBadRequest)
		return
	}
	done, id := make(chan world.Done, 1), in.Header.Get("X-Call-Id")
	r.mu.Lock()
	taken := r.take(s, id, key, []byte(in.Header.Get("X-Call-Info")), in.Method == http.MethodPut, &attempt{done: done})
	tag := r.tags
	r.mu.Unlock()
	if !taken {
		out.Header().Set("X-Rejected", "1")
		http.Error(out, "busy", http.StatusServiceUnavailable)
		return
	}
	select {
	case d := <-done:
		out.Header().Set("X-Call-Id", id)
		if d.Reply == world.Failed {
			http.Error(out, "failed", http.StatusInternalServerError)
			return
		}
		text := d.Text
		if d.Reply == world.Value {
			text = r.scenario.Value(text)
		}
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(out, text)
	case <-in.Context().Done(): // called off, or the origin is gone
		r.mu.Lock()
		r.left(tag, policy.Cancelled)
		r.world.Withdraw(r.now(), s.number, tag)
		r.mu.Unlock()
	}
}
