package poller

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	testTimeout   = 10 * time.Second
	settleTime    = 50 * time.Millisecond // time for the poller to reach the point at which it blocks
	testMaxUnsent = 1 << 20
	closeRaces    = 200
)

// recorder is a Handler that reads everything and counts what happens.
type recorder struct {
	socket  *Socket
	written atomic.Int64
	closed  atomic.Int64
	read    chan []byte
	// block, if not nil, makes OnReadable wait until it is closed.
	block chan struct{}
}

func (r *recorder) OnReadable(buffer []byte) {
	if r.block != nil {
		<-r.block
	}
	for {
		n, err := r.socket.Read(buffer)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || n == 0 {
			return
		}
		r.read <- bytes.Clone(buffer[:n])
	}
}

func (r *recorder) OnWritten(n int) { r.written.Add(int64(n)) }

func (r *recorder) OnClosed() { r.closed.Add(1) }

func startPoller(t *testing.T) *Poller {
	t.Helper()
	p, err := Start(4096, testMaxUnsent)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// connect returns a socket that is not polled yet, its handler, and the peer's end.
func connect(t *testing.T, p *Poller) (*recorder, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	here, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	r := &recorder{read: make(chan []byte, 100)}
	if r.socket, err = p.NewSocket(here, r); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.socket.Close)
	return r, peer
}

func (r *recorder) poll(t *testing.T) {
	t.Helper()
	if err := r.socket.Poll(); err != nil {
		t.Fatal(err)
	}
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for by := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("after %v: not %s", testTimeout, what)
		}
	}
}

// The kernel reports the events of several sockets in one batch. An event of a socket that is closed before its event
// is handled must not reach the next socket with the same descriptor.
func TestEventOfAClosedSocketDoesNotReachItsSuccessor(t *testing.T) {
	p := startPoller(t)
	first, firstPeer := connect(t, p)
	second, secondPeer := connect(t, p)
	ending, endingPeer := connect(t, p)
	first.block, second.block = make(chan struct{}), make(chan struct{})
	for _, r := range []*recorder{first, second, ending} {
		r.poll(t)
	}
	if _, err := firstPeer.Write([]byte("x")); err != nil { // a batch of one event, in which the poller blocks
		t.Fatal(err)
	}
	time.Sleep(settleTime)
	if _, err := secondPeer.Write([]byte("x")); err != nil { // the next batch has this event first
		t.Fatal(err)
	}
	endingPeer.Close()
	time.Sleep(settleTime)
	close(first.block)
	time.Sleep(settleTime)
	successor, successorPeer := connect(t, p)
	ending.socket.Close()
	moveDescriptor(t, successor.socket, ending.socket.descriptor)
	successor.poll(t)
	close(second.block)
	if _, err := successorPeer.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-successor.read:
		if string(got) != "request" {
			t.Errorf("read %q", got)
		}
	case <-time.After(testTimeout):
		t.Error("the socket is not read")
	}
	if successor.closed.Load() > 0 {
		t.Error("the socket was closed by an event of its predecessor")
	}
}

// moveDescriptor gives a socket that is not polled yet another descriptor, which is free.
func moveDescriptor(t *testing.T, s *Socket, to int) {
	t.Helper()
	from := s.descriptor
	if err := unix.Dup3(from, to, unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	if err := unix.Close(from); err != nil {
		t.Fatal(err)
	}
	s.descriptor = to
}

// An attempt whose bytes the kernel has accepted may have been executed. So the bytes reported as written must be those
// that the peer receives, whenever the socket is closed.
func TestReportedBytesAreThoseThatThePeerReceives(t *testing.T) {
	p := startPoller(t)
	for i := range closeRaces {
		r, peer := connect(t, p)
		r.poll(t)
		received := make(chan int64)
		go func() {
			n, _ := io.Copy(io.Discard, peer)
			received <- n
		}()
		go func() {
			time.Sleep(time.Duration(i) * 10 * time.Microsecond)
			r.socket.Close()
		}()
		for r.socket.Write(make([]byte, testMaxUnsent/4)) == nil {
		}
		if got := <-received; got != r.written.Load() {
			t.Fatalf("run %d: %d bytes are reported as written, the peer received %d", i, r.written.Load(), got)
		}
	}
}

func TestBytesWrittenBeforePollAreSent(t *testing.T) {
	p := startPoller(t)
	r, peer := connect(t, p)
	if err := r.socket.Control(func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 4096) }); err != nil {
		t.Fatal(err)
	}
	sent := bytes.Repeat([]byte("0123456789abcdef"), testMaxUnsent/32)
	if err := r.socket.Write(sent); err != nil {
		t.Fatal(err)
	}
	r.poll(t)
	got := make([]byte, len(sent))
	_ = peer.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(peer, got); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("the peer received other bytes, or too few: %v", err)
	}
	waitUntil(t, "all bytes reported", func() bool { return r.written.Load() == int64(len(sent)) })
}

func TestClosedSocketCannotBePolled(t *testing.T) {
	p := startPoller(t)
	r, _ := connect(t, p)
	r.socket.Close()
	if err := r.socket.Poll(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Poll returned %v", err)
	}
	if err := r.socket.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Write returned %v", err)
	}
	if _, err := r.socket.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Read returned %v", err)
	}
	if err := r.socket.Control(func(int) { t.Error("Control passed a closed descriptor") }); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Control returned %v", err)
	}
	if n := r.closed.Load(); n != 1 {
		t.Errorf("OnClosed was called %d times", n)
	}
}

func TestSocketOfASlowReaderIsClosed(t *testing.T) {
	p := startPoller(t)
	r, _ := connect(t, p)
	r.poll(t)
	var err error
	for err == nil { // the peer does not read
		err = r.socket.Write(make([]byte, testMaxUnsent/2))
	}
	if !errors.Is(err, ErrTooManyUnsent) || r.closed.Load() != 1 {
		t.Errorf("Write returned %v; closed %d times", err, r.closed.Load())
	}
}

func TestSocketIsClosedOnce(t *testing.T) {
	p := startPoller(t)
	for range closeRaces {
		r, peer := connect(t, p)
		r.poll(t)
		var all sync.WaitGroup
		all.Go(func() { peer.Close() })
		all.Go(r.socket.Close)
		all.Go(func() { _ = r.socket.Write([]byte("x")) })
		all.Wait()
		waitUntil(t, "closed", func() bool { return r.closed.Load() > 0 })
		if n := r.closed.Load(); n != 1 {
			t.Fatalf("OnClosed was called %d times", n)
		}
	}
}

// A poller must stop even if Close is called before its goroutine has begun to wait, and must leave no descriptor open.
func TestCloseStopsThePoller(t *testing.T) {
	before := openDescriptors(t)
	for range closeRaces {
		p, err := Start(4096, testMaxUnsent)
		if err != nil {
			t.Fatal(err)
		}
		r, _ := connect(t, p)
		r.poll(t)
		late, _ := connect(t, p)
		p.Close()
		if r.closed.Load() != 1 {
			t.Fatal("a polled socket is not closed")
		}
		if err := late.socket.Poll(); !errors.Is(err, net.ErrClosed) || late.closed.Load() != 1 {
			t.Fatalf("Poll returned %v after the poller was closed", err)
		}
	}
	// The peers' ends are open until the test ends.
	if leaked := openDescriptors(t) - before - 2*closeRaces; leaked > 0 {
		t.Errorf("%d descriptors are still open", leaked)
	}
}

func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}
