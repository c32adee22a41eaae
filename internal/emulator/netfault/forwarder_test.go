package netfault

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

const testPatience = 5 * time.Second

// startRecordingServer accepts streams and sends the data that it receives to a channel.
func startRecordingServer(t *testing.T) (addr string, received chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	received = make(chan string, 9)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buffer := make([]byte, 99)
				for {
					n, err := c.Read(buffer)
					if err != nil {
						return
					}
					received <- string(buffer[:n])
				}
			}()
		}
	}()
	return l.Addr().String(), received
}

// A segment that was being delayed when a cut began arrived during the cut. It must arrive after the cut instead.
func TestDelayedSegmentDoesNotArriveDuringACut(t *testing.T) {
	const delay, cut = 100 * time.Millisecond, 400 * time.Millisecond
	target, received := startRecordingServer(t)
	f := NewForwarder(New(1))
	t.Cleanup(f.Close)
	addr, err := f.Listen(1, 2, target)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.DialTimeout("tcp", addr, testPatience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	send := func(text string) {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(text string) {
		select {
		case got := <-received:
			if got != text {
				t.Errorf("received %q, want %q", got, text)
			}
		case <-time.After(testPatience):
			t.Fatalf("%q did not arrive within %v", text, testPatience)
		}
	}
	send("first")
	expect("first")
	f.Change(1, 2, func(link *Link) { link.Delay = delay })
	send("second")
	time.Sleep(delay / 2)
	f.Change(2, 1, func(link *Link) { link.Cut = true })
	select {
	case got := <-received:
		t.Errorf("%q arrived during the cut", got)
	case <-time.After(cut):
	}
	f.Change(2, 1, func(link *Link) { link.Cut = false })
	expect("second")
}

// A forwarder that was closed used to open listeners, which nobody closed.
func TestListenFailsAfterClose(t *testing.T) {
	target, _ := startRecordingServer(t)
	f := NewForwarder(New(1))
	f.Close()
	addr, err := f.Listen(1, 2, target)
	if !errors.Is(err, net.ErrClosed) {
		t.Errorf("listens on %q after Close, error %v", addr, err)
	}
	if len(f.listeners) != 0 {
		t.Errorf("%d listeners are open", len(f.listeners))
	}
}

// failingConn fails each read, and counts them.
type failingConn struct {
	datagramConn
	reads int
}

func (c *failingConn) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	c.reads++
	return 0, netip.AddrPort{}, errors.New("out of buffers")
}

// While reads of datagrams failed, the forwarder used to try again at once and occupied a core, which made runs
// inconclusive.
func TestFailedReadsOfDatagramsAreRetriedWithAPause(t *testing.T) {
	f, conn := NewForwarder(New(1)), &failingConn{}
	begin := time.Now()
	time.AfterFunc(10*retryPause, f.Close)
	f.forwardDatagrams(conn, 1, 2, nil)
	if most := 1 + int(time.Since(begin)/retryPause); conn.reads > most {
		t.Errorf("%d reads within %v, want at most %d", conn.reads, time.Since(begin), most)
	}
}
