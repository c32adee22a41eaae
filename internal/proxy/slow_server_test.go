package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	slowServerTimeout = 600 * time.Millisecond // of the requests
	// answerDelayLimit is how much later than its deadline a request may be answered at most.
	answerDelayLimit = 500 * time.Millisecond
	slowServerRate   = 10 << 10 // bytes a second that the server reads
)

// listenSlowly listens for connections, and reads from each at slowServerRate. The kernel buffers little of the rest.
func listenSlowly(t *testing.T) (addr string) {
	t.Helper()
	config := net.ListenConfig{}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
	}
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for b := make([]byte, slowServerRate/50); err == nil; time.Sleep(20 * time.Millisecond) {
					_, err = io.ReadFull(c, b)
				}
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a final answer that comes after its time because the server reads a large request slowly: the attempt
// must end with its deadline although it is only partly written. Many such requests on one connection must be answered
// in time as well, by the origin and by caches, over both protocols.
func TestSlowServerDelaysNoFinalAnswer(t *testing.T) {
	value := strings.Repeat("w", 64<<10)
	ms := int(slowServerTimeout / time.Millisecond)
	for _, server := range []string{"origin", "cache"} {
		for protocol, listener := range map[string]int{"meta": 0, "HTTP": 1} {
			t.Run(server+", "+protocol, func(t *testing.T) {
				t.Parallel()
				g := newHarness(t, 200, helloValue, withHTTPListeners, func(config *Config) {
					config.Settings.Policy.CacheAside = server == "origin"
				})
				addr := listenSlowly(t)
				g.moveEndpoint("o", addr)
				g.moveEndpoint("c", addr)
				const requests = 20
				var text strings.Builder
				for n := range requests {
					if listener == 0 {
						fmt.Fprintf(&text, "ms k%d %d Ow%d Pc=pay,d=%d\r\n%s\r\n", n, len(value), n, ms, value)
						continue
					}
					text.WriteString(requestHead(fmt.Sprintf("POST /pay/k%d", n), fmt.Sprintf("X-Id: w%d", n),
						fmt.Sprintf("X-Wait: %d", ms), fmt.Sprintf("Content-Length: %d", len(value))) + value)
				}
				c, r := sendTo(t, g.Addr(listener), text.String())
				began := time.Now()
				for n := range requests {
					expectFailure(t, r, listener == 1)
					if took := time.Since(began); took > slowServerTimeout+answerDelayLimit {
						t.Fatalf("answer %d came after %v", n, took)
					}
				}
				c.Close()
			})
		}
	}
}

// expectFailure reads one answer, which must not be that of a request that was served.
func expectFailure(t *testing.T, r *bufio.Reader, byHTTP bool) {
	t.Helper()
	line, err := r.ReadString('\n')
	if err != nil || strings.HasPrefix(line, "HD ") || strings.HasPrefix(line, "HTTP/1.1 200") {
		t.Fatalf("got %q, %v", line, err)
	}
	if !byHTTP {
		return
	}
	length := 0
	for header := line; header != "\r\n"; {
		if header, err = r.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		fmt.Sscanf(header, "Content-Length: %d", &length)
	}
	if _, err := io.CopyN(io.Discard, r, int64(length)); err != nil {
		t.Fatal(err)
	}
}
