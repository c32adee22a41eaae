package gossip

import (
	"net"
	"testing"
	"time"
)

func listen(t *testing.T, addr string) Transport {
	t.Helper()
	sockets, err := Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sockets.close)
	return sockets
}

// Guards against streams whose sender cannot be identified: they must come from the address that others know and that
// datagrams come from. A node that listens on all addresses may dial from any.
func TestDialUsesListenAddressAsSource(t *testing.T) {
	from := listen(t, "127.10.0.1:0")
	to := listen(t, "127.11.0.1:0")
	stream, err := from.Dial(to.Streams.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	accepted, err := to.Streams.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if ip := accepted.RemoteAddr().(*net.TCPAddr).IP.String(); ip != "127.10.0.1" {
		t.Errorf("stream comes from %s", ip)
	}
	everywhere := listen(t, "0.0.0.0:0")
	stream, err = everywhere.Dial(to.Streams.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	stream.Close()
}

// Guards against a failed start if the port that is free for datagrams is in use for streams, which happened once in
// some hundred starts.
func TestListenFindsPortFreeForBothProtocols(t *testing.T) {
	for range 400 { // of some 28,000 ephemeral ports
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	for range 1000 {
		sockets, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		sockets.close()
	}
}
