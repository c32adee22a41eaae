package sockets

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// nbio's poller fetches the events of many descriptors at once, and looks for the connection of each as it comes to it.
// A connection that is closed meanwhile, by the loop, leaves its descriptor to the next one, and its event with it: an
// end of the old connection would end the new one, unread. So a new connection, which has got its descriptor, is added
// to nbio only once the poller has begun another batch. Until then nbio knows of no connection by that descriptor and
// passes over the event.

// batchesToPass is how often the poller has to come to its mark, which is once in a batch at most, until it has
// certainly begun another batch: the first time may be in the batch that it is in.
const batchesToPass = 2

// batchMark is a pair of sockets of which the poller polls one and what is written to the other makes an event.
type batchMark struct {
	polled *nbio.Conn
	seen   int64 // how often the poller has come to it
	wanted int64 // how often it has to come for all that wait

	writerMu sync.Mutex // so that the descriptor is closed once, and never written to after that
	writer   int
	closed   bool
}

func newBatchMark() (*batchMark, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("cannot open a pair of sockets: %w", err)
	}
	file := os.NewFile(uintptr(pair[0]), "poller's mark")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err == nil {
		m := &batchMark{writer: pair[1]}
		if m.polled, err = nbio.NBConn(conn); err == nil {
			m.polled.SetSession(m)
			return m, nil
		}
		_ = conn.Close()
	}
	_ = unix.Close(pair[1])
	return nil, fmt.Errorf("cannot poll a pair of sockets: %w", err)
}

// prompt makes an event of the mark. Where the socket has no room for another byte there is an event already.
func (m *batchMark) prompt() {
	m.writerMu.Lock()
	defer m.writerMu.Unlock()
	for !m.closed {
		if _, err := unix.Write(m.writer, []byte{0}); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// close ends the prompts.
func (m *batchMark) close() {
	m.writerMu.Lock()
	defer m.writerMu.Unlock()
	if m.closed {
		return
	}
	m.closed = true
	_ = unix.Close(m.writer)
}

// drain reads what was written, so that what is written next makes an event.
func (m *batchMark) drain(buffer []byte) {
	for {
		if _, _, err := m.polled.ReadAndGetConn(&buffer); err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// startBatchMark has the poller poll a mark. Until then no connection is added.
func (e *Engine) startBatchMark() error {
	mark, err := newBatchMark()
	if err != nil {
		return err
	}
	if _, err := e.poller.AddConn(mark.polled); err != nil {
		mark.close()
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mark = mark
	e.changed.Broadcast()
	return nil
}

// batchMarkOf returns the mark that a connection of nbio's is, or nil; as to the counter see connOf.
func (e *Engine) batchMarkOf(nc *nbio.Conn) *batchMark {
	e.connsReady.Load()
	mark, _ := nc.Session().(*batchMark)
	return mark
}

// onBatchMark is called by the poller as it comes to its mark.
func (e *Engine) onBatchMark(mark *batchMark, buffer []byte) {
	e.polled.Store(true)
	mark.drain(buffer)
	e.mu.Lock()
	mark.seen++
	again := mark.seen < mark.wanted
	e.changed.Broadcast()
	e.mu.Unlock()
	if again {
		mark.prompt()
	}
}

// waitForNextBatch returns once the poller has begun another batch than the one that it is in, or is stopped.
func (e *Engine) waitForNextBatch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.mark == nil && !e.stopped {
		e.changed.Wait()
	}
	if e.stopped {
		return
	}
	until := e.mark.seen + batchesToPass
	e.mark.wanted = max(e.mark.wanted, until)
	e.mark.prompt()
	for e.mark.seen < until && !e.stopped {
		e.changed.Wait()
	}
}
