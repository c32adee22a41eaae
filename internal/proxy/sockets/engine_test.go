package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// waitTimeout is the time within which an expected event must happen.
const waitTimeout = 10 * time.Second

// startEngine starts an engine with one listener.
func startEngine(t *testing.T) *Engine {
	t.Helper()
	e, err := New([]string{"127.0.0.1:0"}, 100, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

// waitFor takes events until one of the given kind, and returns that event with the bytes received before it.
func waitFor(t *testing.T, e *Engine, what EventKind) (Event, []byte) {
	t.Helper()
	var data []byte
	for by := time.After(waitTimeout); ; {
		for _, ev := range e.TakeEvents() {
			if ev.Kind == Data {
				data = append(data, ev.Bytes()...)
			}
			if ev.Kind == what {
				return ev, data
			}
		}
		select {
		case <-e.Wake():
		case <-by:
			t.Fatal("the expected event was not queued")
		}
	}
}

// A dial must reach the given address, and must report a refused connection as failed.
func TestDialReachesTheAddressOrFails(t *testing.T) {
	e := startEngine(t)
	l, err := net.Listen("tcp", "127.7.7.7:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Dial(l.Addr().String(), waitTimeout, 7); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ev, _ := waitFor(t, e, Connected)
	if ev.DialID != 7 || ev.Conn.Write([]byte("hello")) != nil {
		t.Error(ev)
	}
	got := make([]byte, 5)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "hello" {
		t.Error(got, err)
	}
	c.Close()
	waitFor(t, e, Closed)
	l.Close()
	if err := e.Dial(l.Addr().String(), waitTimeout, 8); err != nil {
		t.Fatal(err)
	}
	if ev, _ := waitFor(t, e, DialFailed); ev.DialID != 8 || e.openDescriptors.Load() != 0 {
		t.Error(ev, e.openDescriptors.Load())
	}
}

// If more bytes are received than the queue holds, while the loop is late and writes, none may be lost and the two
// sides must not deadlock.
func TestFullQueueLosesNothingAndDoesNotDeadlock(t *testing.T) {
	e := startEngine(t)
	e.readAhead.Store(1 << 30) // lets one connection fill the queue shared by all
	c, err := net.Dial("tcp", e.Addr(0).String())
	if err != nil {
		t.Fatal(err)
	}
	sent := bytes.Repeat([]byte("0123456789abcdef"), 3*maxQueuedBytes/16)
	go func() {
		c.Write(sent)
		io.ReadFull(c, make([]byte, len("in between"))) // closing with unread bytes would discard unsent ones
		c.Close()
	}()
	for e.mu.Lock(); len(e.arena) < maxQueuedBytes-readBufferSize; e.mu.Lock() {
		e.mu.Unlock()
	}
	w := e.events[0].Conn
	e.mu.Unlock()
	if err := w.Write([]byte("in between")); err != nil {
		t.Fatal(err)
	}
	if _, got := waitFor(t, e, Closed); !bytes.Equal(got, sent) {
		t.Errorf("received %d of %d bytes", len(got), len(sent))
	}
}

func TestDescriptorsStayWithinTheLimit(t *testing.T) {
	e := startEngine(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range e.descriptorLimit.Load() {
		if err := e.Dial(l.Addr().String(), waitTimeout, 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := e.Dial(l.Addr().String(), waitTimeout, 1); err != ErrNoDescriptor {
		t.Error(err)
	}
	ev, _ := waitFor(t, e, Connected)
	ev.Conn.Close()
	if err := e.Dial(l.Addr().String(), waitTimeout, 1); err != nil {
		t.Error("the descriptor of a closed connection was not freed:", err)
	}
}

// A client must not be closed as idle while its request is in the queue: the request has been read, so the client would
// get no answer and would not retry.
func TestConnectionWithQueuedBytesIsNotClosedAsIdle(t *testing.T) {
	e := startEngine(t)
	c, err := net.Dial("tcp", e.Addr(0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ev, _ := waitFor(t, e, Accepted)
	w := ev.Conn
	io.WriteString(c, "mg")
	ev, _ = waitFor(t, e, Data)
	w.takenBytes.Store(0) // as if the loop had not taken the bytes
	if idle, _ := w.Idle(); idle || w.CloseIfIdle() {
		t.Error("the connection counts as idle although bytes wait for the loop")
	}
	w.takenBytes.Store(2)
	for by := time.Now().Add(waitTimeout); !w.CloseIfIdle(); { // the poller may still hold the lock
		if time.Now().After(by) {
			t.Fatal("the connection was not closed although no bytes wait")
		}
	}
	waitFor(t, e, Closed)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) { // only a reset shows what was not read
		t.Errorf("the client got error %v, want a reset", err)
	}
}

// A waiting client must be reported as waiting until it is accepted, even if the first descriptors freed for it are not
// enough. If the acceptor wakes the loop only when it starts to wait, the loop stops freeing descriptors too early.
func TestWaitingClientIsReportedUntilAccepted(t *testing.T) {
	e := startEngine(t)
	e.openDescriptors.Add(e.descriptorLimit.Load())
	c, err := net.Dial("tcp", e.Addr(0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 1 + dialReserve {
		for by := time.Now().Add(waitTimeout); !e.ClientWaiting(); {
			if time.Now().After(by) {
				t.Fatal("the waiting client is not reported")
			}
		}
		if len(e.TakeEvents()) > 0 {
			t.Fatal("the client was accepted above the limit")
		}
		e.descriptorFreed()
	}
	waitFor(t, e, Accepted)
	if e.ClientWaiting() {
		t.Error("a client is reported as waiting after it was accepted")
	}
	e.openDescriptors.Add(1 + dialReserve - e.descriptorLimit.Load())
}

// If the engine cannot listen on one of two addresses, it must close the listener of the other one. Otherwise no later
// attempt could listen on that address.
func TestEngineThatCannotListenOnAllListensOnNone(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if _, err := New([]string{free.Addr().String(), taken.Addr().String()}, 100, nil); err == nil {
		t.Fatal("the engine listens on an address that is in use")
	}
	if free, err = net.Listen("tcp", free.Addr().String()); err != nil {
		t.Fatal(err)
	}
	free.Close()
}

// Without a limit, all bytes that a server has sent of a long value are read before reading can be paused for a slow
// reader: thirty slow readers took 20 MB, and the garbage collector ran permanently. Unread bytes must not be lost when
// the sender closes the connection while reading is paused, upon which the poller closes it as well.
func TestReadAheadOfAConnectionIsBounded(t *testing.T) {
	e := startEngine(t)
	c, err := net.Dial("tcp", e.Addr(0).String())
	if err != nil {
		t.Fatal(err)
	}
	ev, _ := waitFor(t, e, Accepted)
	w, all := ev.Conn, bytes.Repeat([]byte("v"), 1<<20)
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(all)
		c.Close()
		sent <- err
	}()
	for by := time.Now().Add(waitTimeout); !w.readStalled.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("reading was not stalled")
		}
	}
	w.readMu.Lock()
	if w.queuedBytes > maxReadAhead+readBufferSize {
		t.Errorf("%d bytes wait for the loop", w.queuedBytes)
	}
	w.readMu.Unlock()
	w.PauseReading()
	w.ResumeReading()
	if _, got := waitFor(t, e, Closed); !bytes.Equal(got, all) {
		t.Errorf("received %d of %d bytes", len(got), len(all))
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
}

// Close and the event Closed must report the same number of bytes that the kernel never accepted. If only the first of
// them reported it, an attempt that was never sent could count as one that may have been executed.
func TestCloseAndClosedEventReportTheSameUnsentBytes(t *testing.T) {
	e := startEngine(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := e.Dial(l.Addr().String(), waitTimeout, 1); err != nil {
		t.Fatal(err)
	}
	ev, _ := waitFor(t, e, Connected)
	w := ev.Conn
	for w.Unsent() == 0 { // until the kernel accepts no more, as the peer does not read
		if err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	w.socket.Close() // as the poller does after a reset by the peer
	ended, _ := waitFor(t, e, Closed)
	if lost := w.Close(); ended.UnsentBytes == 0 || lost != ended.UnsentBytes || e.Unsent() != 0 {
		t.Errorf("Close returned %d unsent bytes, the event has %d; the engine still counts %d",
			lost, ended.UnsentBytes, e.Unsent())
	}
}

// failingListener is a listener whose first accepts fail as they may during a transient system error: with an error, or
// with a connection whose descriptor cannot be duplicated.
type failingListener struct {
	net.Listener
	failures int // remaining number of failures
}

// connWithoutDescriptor hides the methods that are needed to duplicate a connection's descriptor.
type connWithoutDescriptor struct{ net.Conn }

var acceptErrors = []error{
	syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.EINTR,
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.failures--
	if l.failures < 0 {
		return l.Listener.Accept()
	}
	if l.failures%2 == 0 {
		return nil, &net.OpError{Op: "accept", Err: acceptErrors[l.failures%len(acceptErrors)]}
	}
	here, there := net.Pipe()
	there.Close()
	return connWithoutDescriptor{here}, nil
}

// An accepted connection that cannot be duplicated must not stay counted as open. After as many failures as there are
// descriptors, no client would be accepted any more.
func TestFailedAcceptsLeaveNoDescriptorCounted(t *testing.T) {
	const descriptors, failures = 60, 200
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().String()
	inherited := map[string]net.Listener{at: &failingListener{Listener: l, failures: failures}}
	e, err := New([]string{at}, descriptors, inherited)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	e.SetAccepting(true)
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	waitFor(t, e, Accepted)
	if e.openDescriptors.Load() != 1 {
		t.Errorf("%d descriptors are counted as open with one connection", e.openDescriptors.Load())
	}
}

// A dial that fails because of this machine never reached the server, which must not be avoided for it.
func TestLocalDialErrorsAreDistinguished(t *testing.T) {
	for _, test := range []struct {
		err   error
		local bool
	}{
		{syscall.ECONNREFUSED, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EHOSTUNREACH, false},
		{syscall.ENETUNREACH, false},
		{syscall.EADDRNOTAVAIL, true},
		{syscall.EADDRINUSE, true},
		{syscall.ENOSPC, true},
		{syscall.ENOBUFS, true},
		{syscall.EMFILE, true},
		{syscall.ENFILE, true},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", test.err)}
			if local := isLocalError(err); local != test.local {
				t.Errorf("local failure: %v", local)
			}
		})
	}
}
