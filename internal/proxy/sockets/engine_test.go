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

// patience is how long a test waits for what must happen.
const patience = 10 * time.Second

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

// waitFor takes events until one of this kind has happened, and returns that and the bytes received before.
func waitFor(t *testing.T, e *Engine, what EventKind) (Event, []byte) {
	t.Helper()
	var data []byte
	for by := time.After(patience); ; {
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
			t.Fatal("it never happened")
		}
	}
}

// nbio's own connecting calls 0.0.0.0 whatever address it is given, and takes a refusal for a connection.
func TestDialReachesTheAddressOrIsRefused(t *testing.T) {
	e := startEngine(t)
	l, err := net.Listen("tcp", "127.7.7.7:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Dial(l.Addr().String(), patience, 7); err != nil {
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
	if err := e.Dial(l.Addr().String(), patience, 8); err != nil {
		t.Fatal(err)
	}
	if ev, _ := waitFor(t, e, DialFailed); ev.DialID != 8 || e.openDescriptors.Load() != 0 {
		t.Error(ev, e.openDescriptors.Load())
	}
}

// More bytes than the queue holds must neither be lost nor stop both sides, though the loop is late and writes
// meanwhile.
func TestFullQueueLosesNothingAndDoesNotDeadlock(t *testing.T) {
	e := startEngine(t)
	e.readAhead.Store(1 << 30) // one connection is to fill the queue of all
	c, err := net.Dial("tcp", e.Addr(0).String())
	if err != nil {
		t.Fatal(err)
	}
	sent := bytes.Repeat([]byte("0123456789abcdef"), 3*maxQueuedBytes/16)
	go func() {
		c.Write(sent)
		io.ReadFull(c, make([]byte, len("in between"))) // who closes on unread bytes takes back what is not sent yet
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
		t.Errorf("%d bytes came of %d", len(got), len(sent))
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
		if err := e.Dial(l.Addr().String(), patience, 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := e.Dial(l.Addr().String(), patience, 1); err != ErrNoDescriptor {
		t.Error(err)
	}
	ev, _ := waitFor(t, e, Connected)
	ev.Conn.Close()
	if err := e.Dial(l.Addr().String(), patience, 1); err != nil {
		t.Error("what is closed is not free again:", err)
	}
}

// A client was closed as idle while its request stood in the queue: read, never answered, and not sent again.
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
	w.takenBytes.Store(0) // as before it was taken
	if quiet, _ := w.Idle(); quiet || w.CloseIfIdle() {
		t.Error("closed over bytes that wait")
	}
	w.takenBytes.Store(2)
	for by := time.Now().Add(patience); !w.CloseIfIdle(); { // the poller may not be through yet
		if time.Now().After(by) {
			t.Fatal("not closed though nothing waits")
		}
	}
	waitFor(t, e, Closed)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) { // else the client could not tell
		t.Errorf("the client sees %v", err)
	}
}

// The acceptor woke the loop once as it began to wait, and went on waiting unnoticed when the descriptors freed for it
// were not enough.
func TestWaitingClientIsSeenUntilAccepted(t *testing.T) {
	e := startEngine(t)
	e.openDescriptors.Add(e.descriptorLimit.Load())
	c, err := net.Dial("tcp", e.Addr(0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 1 + dialReserve {
		for by := time.Now().Add(patience); !e.ClientWaiting(); {
			if time.Now().After(by) {
				t.Fatal("nobody is seen to wait")
			}
		}
		if len(e.TakeEvents()) > 0 {
			t.Fatal("let in over the budget")
		}
		e.descriptorFreed()
	}
	waitFor(t, e, Accepted)
	if e.ClientWaiting() {
		t.Error("nobody waits any more")
	}
	e.openDescriptors.Add(1 + dialReserve - e.descriptorLimit.Load())
}

// Of two addresses, the one that was free stayed taken for good after a failure of the other, so that no later attempt
// could listen on it.
func TestEngineThatCannotListenOnAllListensOnNone(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	// Not by an engine: nbio 1.6.8 forgets a stop that comes before its poller runs.
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if _, err := New([]string{free.Addr().String(), taken.Addr().String()}, 100, nil); err == nil {
		t.Fatal("listens where another does")
	}
	if free, err = net.Listen("tcp", free.Addr().String()); err != nil {
		t.Fatal(err)
	}
	free.Close()
}

// All that a server sent of a long value was read before its reader could be waited for: thirty slow readers took 20
// MB, and the garbage collector ran without end. What is held is not lost either when its sender ends meanwhile, upon
// which nbio closes the connection.
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
	for by := time.Now().Add(patience); !w.stalled.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("never held up")
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
		t.Errorf("%d of %d bytes came", len(got), len(all))
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
}

// The number of bytes that the kernel never took was told to the first of the loop and nbio that asked: an attempt that
// had never been sent could count as one that may have run.
func TestUnsentBytesAreReportedAlikeToLoopAndEvent(t *testing.T) {
	e := startEngine(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := e.Dial(l.Addr().String(), patience, 1); err != nil {
		t.Fatal(err)
	}
	ev, _ := waitFor(t, e, Connected)
	w := ev.Conn
	for w.Unsent() == 0 { // until the kernel takes no more: nobody reads
		if err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	_ = w.conn.Close() // as the poller does when the other side has broken it
	ended, _ := waitFor(t, e, Closed)
	if lost := w.Close(); ended.UnsentBytes == 0 || lost != ended.UnsentBytes || e.Unsent() != 0 {
		t.Errorf("the loop is told that %d bytes were never sent, the event says %d; %d are counted still",
			lost, ended.UnsentBytes, e.Unsent())
	}
}

// failingListener is a listener whose first calls end as the system's may for a moment: without a connection, or with
// one that cannot be duplicated.
type failingListener struct {
	net.Listener
	failures int // that are left
}

// connWithoutDescriptor hides what is needed to duplicate a connection.
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

// A connection that was accepted and could not be duplicated stayed counted: after as many as there are descriptors, no
// client was accepted any more.
func TestFailuresOfAcceptTakeNoDescriptor(t *testing.T) {
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
		t.Errorf("%d descriptors are counted with one connection", e.openDescriptors.Load())
	}
}

// A server that was never called is not to blame for the failure, and not to be avoided for a while.
func TestLocalFailuresOfDialingAreToldApart(t *testing.T) {
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
			if local := isLocal(err); local != test.local {
				t.Errorf("on this machine: %v", local)
			}
		})
	}
}
