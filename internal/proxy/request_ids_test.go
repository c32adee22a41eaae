package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
)

// requestWriter sends requests that must not run twice, and a read, over one of the protocols of clients.
type requestWriter struct {
	listener int
	pay      func(id string) string // a write of a class that is not idempotent
	put      func(id string) string // a write with an idempotency key
	read     func(id string) string
	refused  string // how an answer begins that refuses an id in use
	served   string // how an answer begins that serves a request
	busy     string // how an answer begins that rejects a request
}

var requestWriters = map[string]requestWriter{
	"meta": {
		pay:     func(id string) string { return fmt.Sprintf("ms k 2 O%s Pc=pay,d=900\r\nhi\r\n", id) },
		put:     func(id string) string { return fmt.Sprintf("ms k 2 O%s Pc=put,d=900,k=key\r\nhi\r\n", id) },
		read:    func(id string) string { return fmt.Sprintf("mg k v O%s Pc=read,d=900\r\n", id) },
		refused: "CLIENT_ERROR", served: "HD ", busy: "SERVER_ERROR busy",
	},
	"HTTP": {
		listener: 1,
		pay: func(id string) string {
			return requestHead("POST /pay/k", "X-Id: "+id, "X-Wait: 900", "Content-Length: 2") + "hi"
		},
		put: func(id string) string {
			return requestHead("PUT /p/k", "X-Id: "+id, "X-Wait: 900", "Idempotency-Key: key", "Content-Length: 2") + "hi"
		},
		read:    func(id string) string { return requestHead("GET /p/k", "X-Id: "+id, "X-Wait: 900") },
		refused: "HTTP/1.1 409", served: "HTTP/1.1 200", busy: "HTTP/1.1 503",
	},
}

// countingOrigin counts the requests with each id. It answers with a status once it may.
type countingOrigin struct {
	mu      sync.Mutex
	counts  map[string]int
	arrived chan string
	proceed chan int // receives the status
}

func newCountingOrigin() *countingOrigin {
	return &countingOrigin{counts: map[string]int{}, arrived: make(chan string, 99), proceed: make(chan int, 99)}
}

func (o *countingOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Call-Id")
	o.mu.Lock()
	o.counts[id]++
	o.mu.Unlock()
	o.arrived <- id
	select {
	case status := <-o.proceed:
		if status == http.StatusServiceUnavailable {
			w.Header().Set("X-Rejected", "1")
		}
		w.WriteHeader(status)
		io.WriteString(w, "receipt")
	case <-r.Context().Done():
	}
}

func (o *countingOrigin) count(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[id]
}

// sendTo opens a connection to a listener and sends a text.
func sendTo(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, text)
	return c, bufio.NewReader(c)
}

func expectPrefix(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	if got, err := r.ReadString('\n'); !strings.HasPrefix(got, want) {
		t.Errorf("got %q (%v), want %q", got, err, want)
	}
}

// Guards against a write that runs twice because its id comes again: the id was free as soon as the client had left or
// had its answer, although the first attempt may have been executed (40 of 40 by meta commands, 16 of 20 by HTTP). The
// first request ends in each way in which it may have run.
func TestWriteDoesNotRunAgainUnderItsID(t *testing.T) {
	for protocol, writer := range requestWriters {
		for class, write := range map[string]func(string) string{"irreversible": writer.pay, "keyed": writer.put} {
			for _, end := range []string{"close", "reset", "half-close", "served", "failed", "timed out"} {
				for _, cancel := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s, %s, %s, cancel %v", protocol, class, end, cancel), func(t *testing.T) {
						t.Parallel()
						testIDComesAgain(t, writer, write, end, cancel)
					})
				}
			}
		}
	}
}

func testIDComesAgain(t *testing.T, writer requestWriter, write func(string) string, end string, cancel bool) {
	g := newHarness(t, 200, helloValue, withHTTPListeners, func(config *Config) {
		config.Settings.Policy.CancelAllowed = cancel
		config.Settings.Policy.MaxAttempts = 1
	})
	origin := newCountingOrigin()
	g.moveEndpoint("o", g.listenHTTP(origin.ServeHTTP))
	addr := g.Addr(writer.listener)
	c, r := sendTo(t, addr, write("x"))
	receive(t, origin.arrived)
	switch end {
	case "served":
		origin.proceed <- 200
		expectPrefix(t, r, writer.served)
	case "failed":
		origin.proceed <- 500
		r.ReadString('\n')
	case "timed out":
		r.ReadString('\n')
	default:
		closeMethods[end](c.(*net.TCPConn))
		g.waitUntil("the client is gone", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
	}
	for range 2 {
		_, r = sendTo(t, addr, write("x"))
		expectPrefix(t, r, writer.refused)
	}
	if count := origin.count("x"); count != 1 {
		t.Errorf("the origin has got the write %d times", count)
	}
	_, r = sendTo(t, addr, write("y"))
	receive(t, origin.arrived)
	origin.proceed <- 200
	if end != "served" && !cancel {
		origin.proceed <- 200 // the first attempt may still wait for it
	}
	expectPrefix(t, r, writer.served)
}

// An id is free again if its request cannot have run, because the origin rejected it, or if running it twice is
// harmless.
func TestIDOfRequestThatMayRunAgainIsAccepted(t *testing.T) {
	for protocol, writer := range requestWriters {
		t.Run(protocol, func(t *testing.T) {
			t.Parallel()
			g := newHarness(t, 200, helloValue, withHTTPListeners, func(config *Config) {
				config.Settings.Policy.MaxAttempts = 1
			})
			origin := newCountingOrigin()
			g.moveEndpoint("o", g.listenHTTP(origin.ServeHTTP))
			addr := g.Addr(writer.listener)
			_, r := sendTo(t, addr, writer.pay("x"))
			for len(origin.arrived) == 0 {
				time.Sleep(time.Millisecond)
			}
			origin.proceed <- http.StatusServiceUnavailable
			first, _ := r.ReadString('\n')
			if strings.HasPrefix(first, writer.served) {
				t.Errorf("the rejected write got %q", first)
			}
			attempts := origin.count("x")
			origin.proceed <- http.StatusOK
			second := "" // the origin gets nothing for a while after it has rejected a request
			for by := time.Now().Add(testTimeout); !strings.HasPrefix(second, writer.served); {
				_, r = sendTo(t, addr, writer.pay("x"))
				second, _ = r.ReadString('\n')
				if strings.HasPrefix(second, writer.refused) || time.Now().After(by) {
					t.Fatalf("the second write got %q", second)
				}
			}
			if count := origin.count("x"); count != attempts+1 {
				t.Errorf("%d attempts, %d of the first request", count, attempts)
			}
			for range 2 {
				_, r = sendTo(t, addr, writer.read("r"))
				if got, _ := r.ReadString('\n'); strings.HasPrefix(got, writer.refused) {
					t.Errorf("a read that comes again is refused: %q", got)
				}
			}
		})
	}
}
