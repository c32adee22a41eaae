package gossip

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// prefaceTimeout is how long a stream may take to send its preface.
const prefaceTimeout = 2 * time.Second

// acceptStreams accepts streams until the socket is closed. Streams beyond maxStreamsIn are dropped and counted.
func (t *memberlistTransport) acceptStreams() {
	for {
		conn, err := t.sockets.Streams.Accept()
		if err != nil {
			if t.isClosed() || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(errorBackoff)
			continue
		}
		select {
		case t.streamSlots <- struct{}{}:
			go t.onStream(conn)
		default:
			t.counters.dropped.Add(1)
			_ = conn.Close()
		}
	}
}

// onStream reads the preface of a stream and passes the stream to the library.
func (t *memberlistTransport) onStream(accepted net.Conn) {
	flow := &t.counters.flows[flowStreams]
	stream := &limitedConn{Conn: &countingConn{Conn: accepted, flow: flow}, slots: t.streamSlots}
	if !t.hasLibraryPreface(stream) {
		t.counters.foreign.Add(1)
		_ = stream.Close()
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	t.counters.streams.Add(1)
	flow.in.Add(1)
	select {
	case t.streams <- stream:
	case <-t.closed:
		_ = stream.Close()
	}
}

// hasLibraryPreface reads the preface of a stream, and reports whether it is that of the library in this fleet.
func (t *memberlistTransport) hasLibraryPreface(stream net.Conn) bool {
	preface := make([]byte, prefaceBytes)
	_ = stream.SetReadDeadline(time.Now().Add(prefaceTimeout))
	if _, err := io.ReadFull(stream, preface); err != nil {
		return false
	}
	kind, ok := t.fleet.readPreface(preface)
	return ok && kind == kindLibrary
}

// limitedConn releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close closes the stream and releases its slot.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// DialTimeout implements memberlist.Transport. It sends the preface before it returns the stream.
func (t *memberlistTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	dialled, err := t.sockets.Dial(t.route(addr), timeout)
	if err != nil {
		return nil, err
	}
	flow := &t.counters.flows[flowStreams]
	stream := &countingConn{Conn: dialled, flow: flow}
	flow.out.Add(1)
	_ = stream.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := stream.Write(t.fleet.preface(kindLibrary)); err != nil {
		_ = stream.Close()
		return nil, err
	}
	_ = stream.SetWriteDeadline(time.Time{})
	return stream, nil
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *memberlistTransport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}

// StreamCh implements memberlist.Transport.
func (t *memberlistTransport) StreamCh() <-chan net.Conn { return t.streams }
