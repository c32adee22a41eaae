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

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/proxy/sockets"
)

// pipelinedReads is how many values of streamThreshold bytes are twice what a connection may buffer.
const pipelinedReads = 2 * sockets.MaxUnsentBytes / streamThreshold

// withMemory sets the memory limit in bytes.
func withMemory(limit int64) func(*Config) {
	return func(config *Config) { config.MemoryLimit = limit }
}

// withPatientConnects keeps attempts from failing because their connections are late: the event loop of a slow machine
// may take seconds to open hundreds at once.
func withPatientConnects(config *Config) { config.Settings.ConnectTimeout = testTimeout }

// receipt is the origin's answer to a write.
const receipt = "stored"

// blockWrites moves the origin to a server that answers writes once the function that it returns has been called, and
// reads immediately.
func (g *harness) blockWrites(value string) (proceed func()) {
	blocked := make(chan bool)
	proceed = sync.OnceFunc(func() { close(blocked) })
	g.t.Cleanup(proceed)
	g.moveEndpoint("o", g.listenHTTP(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodGet {
			io.WriteString(w, value)
			return
		}
		<-blocked
		io.WriteString(w, receipt)
	}))
	return proceed
}

// pipelineClient is a client that sends a write and many reads behind it on one connection at once. The write must not
// be repeated, so the reads wait until the origin has answered it.
type pipelineClient struct {
	conn   net.Conn
	r      *bufio.Reader
	number int // makes its request ids differ from those of other clients
	byHTTP bool
	reads  int
}

// startPipelines connects clients, which send their reads once all writes have been accepted.
func (g *harness) startPipelines(count, reads int, byHTTP bool) (clients []*pipelineClient) {
	g.t.Helper()
	for number := range count {
		clients = append(clients, g.connectPipeline(number, reads, byHTTP))
	}
	g.waitUntil("the writes are accepted", func(n metrics.Counters) bool { return n.Requests == uint64(count) })
	for _, c := range clients {
		io.WriteString(c.conn, c.readRequests())
	}
	return clients
}

// startPipeline connects one client.
func (g *harness) startPipeline(reads int, byHTTP bool) *pipelineClient {
	g.t.Helper()
	return g.startPipelines(1, reads, byHTTP)[0]
}

// connectPipeline connects a client, and sends its write.
func (g *harness) connectPipeline(number, reads int, byHTTP bool) *pipelineClient {
	g.t.Helper()
	listener := 0
	if byHTTP {
		listener = 1
	}
	conn, err := net.Dial("tcp", g.Addr(listener))
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	c := &pipelineClient{conn: conn, r: bufio.NewReader(conn), number: number, byHTTP: byHTTP, reads: reads}
	write := fmt.Sprintf("ms slow 5 Oc%d Pc=pay,d=9000\r\nhello\r\n", number)
	if byHTTP {
		write = requestHead("POST /pay/slow", "X-Wait: 9000", "Content-Length: 5") + "hello"
	}
	io.WriteString(conn, write)
	return c
}

// readRequests returns the reads, which are sent at once.
func (c *pipelineClient) readRequests() string {
	var requests strings.Builder
	for n := range c.reads {
		if c.byHTTP {
			requests.WriteString(requestHead(fmt.Sprintf("GET /p/k%d", n), "X-Id: "+c.id(n)))
		} else {
			fmt.Fprintf(&requests, "mg k%d v O%s Pc=read,d=9000\r\n", n, c.id(n))
		}
	}
	return requests.String()
}

// shrinkSendBuffers makes the kernel accept few of the answers before the clients, which are all, read them.
func (g *harness) shrinkSendBuffers(clients ...*pipelineClient) {
	g.t.Helper()
	g.waitUntil("the clients are connected", func(n metrics.Counters) bool { return n.Clients == uint64(len(clients)) })
	for _, c := range clients {
		shrinkSendBuffer(g.t, c.conn.LocalAddr().String())
	}
}

// id returns the id of a read.
func (c *pipelineClient) id(n int) string { return fmt.Sprintf("c%d-%d", c.number, n) }

// expectReceipt reads the answer to the write.
func (c *pipelineClient) expectReceipt(t *testing.T) {
	t.Helper()
	if c.byHTTP {
		if status, size := c.readHTTPAnswer(t); status != http.StatusOK || size != len(receipt) {
			t.Errorf("client %d, write: %d with %d bytes", c.number, status, size)
		}
		return
	}
	if line, err := c.r.ReadString('\n'); line != fmt.Sprintf("HD Oc%d c%s\r\n", c.number, receipt) {
		t.Errorf("client %d, write: %q, %v", c.number, line, err)
	}
}

// expectValues reads all answers, and compares them with the value.
func (c *pipelineClient) expectValues(t *testing.T, value string) {
	t.Helper()
	c.expectReceipt(t)
	for n := range c.reads {
		if status, size := c.readAnswer(t, n); status != http.StatusOK || size != len(value) {
			t.Errorf("client %d, answer %d of %d: %d with %d bytes", c.number, n, c.reads, status, size)
			return
		}
	}
}

// readHTTPAnswer reads a response. It returns the status 0 if there is no whole one.
func (c *pipelineClient) readHTTPAnswer(t *testing.T) (status, size int) {
	t.Helper()
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Log(err)
		return 0, 0
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Log(err)
		return 0, 0
	}
	return response.StatusCode, len(body)
}

// readAnswer reads the answer to a read. It returns the status, in terms of HTTP also for a meta command, or 0 if there
// is no whole answer.
func (c *pipelineClient) readAnswer(t *testing.T, n int) (status, size int) {
	t.Helper()
	if c.byHTTP {
		return c.readHTTPAnswer(t)
	}
	line, err := c.r.ReadString('\n')
	if err != nil {
		t.Log(err)
		return 0, 0
	}
	if strings.HasPrefix(line, "SERVER_ERROR busy") {
		return http.StatusServiceUnavailable, 0
	}
	var id string
	if _, err := fmt.Sscanf(line, "VA %d O%s\r\n", &size, &id); err != nil || id != c.id(n) {
		t.Logf("%q, %v", line, err)
		return 0, 0
	}
	value, err := c.r.ReadString('\n')
	if err != nil {
		t.Log(err)
		return 0, 0
	}
	return http.StatusOK, len(value) - len("\r\n")
}

// waitUntilBuffered waits until all reads are answered.
func (g *harness) waitUntilBuffered(clients ...*pipelineClient) {
	g.t.Helper()
	answered := 0
	for _, c := range clients {
		answered += c.reads
	}
	g.waitUntil("all answers wait", func(n metrics.Counters) bool {
		return n.Satisfied+n.Rejected == uint64(answered)
	})
}

// expectNothingBuffered waits until no answer is buffered.
func (g *harness) expectNothingBuffered() {
	g.t.Helper()
	buffered := make(chan int64, 1)
	g.waitUntil("nothing is buffered", func(metrics.Counters) bool {
		g.runInLoop(func() { buffered <- g.bufferedBytes() })
		return receive(g.t, buffered) == 0
	})
}

// Guards against requests that are lost although their client reads all the time: answers that had waited for a slow
// one were written at once, and the node closed the connection, on which more bytes were unsent than it may buffer.
func TestAnswersThatWaitedForASlowOneReachTheirClient(t *testing.T) {
	value := strings.Repeat("v", streamThreshold)
	for _, clientCount := range []int{1, 3} {
		for _, byHTTP := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d clients, by HTTP %v", clientCount, byHTTP), func(t *testing.T) {
				g := newHarness(t, 1000, answerWith(value), withHTTPListeners, withMemory(256<<20), withPatientConnects)
				proceed := g.blockWrites(value)
				clients := g.startPipelines(clientCount, pipelinedReads, byHTTP)
				g.waitUntilBuffered(clients...)
				proceed()
				time.Sleep(drainQuietTime) // in which the node writes what it would write at once
				var reading sync.WaitGroup
				for _, c := range clients {
					reading.Go(func() { c.expectValues(t, value) })
				}
				reading.Wait()
				g.expectNothingBuffered()
			})
		}
	}
}

// Guards against the same loss with whole values that are longer than a connection may buffer beside another one: those
// of HTTP caches, and those of unstated length, are not streamed.
func TestWholeLongValuesThatWaitedReachTheirClient(t *testing.T) {
	const reads = 6
	value := strings.Repeat("v", sockets.MaxUnsentBytes-streamThreshold)
	cache := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Cache-Control", "max-age=60")
		w.Header().Set("Age", "1")
		io.WriteString(w, value)
	}
	for _, byHTTP := range []bool{false, true} {
		t.Run(fmt.Sprintf("by HTTP %v", byHTTP), func(t *testing.T) {
			g := newHarness(t, 200, helloValue, withHTTPListeners, withMemory(256<<20), withHTTPCache)
			proceed := g.blockWrites(value)
			g.moveEndpoint("c", g.listenHTTP(cache))
			c := g.startPipeline(reads, byHTTP)
			g.waitUntilBuffered(c)
			proceed()
			c.expectValues(t, value)
			g.expectNothingBuffered()
		})
	}
}

// withHTTPCache makes the cache one that speaks HTTP.
func withHTTPCache(config *Config) {
	config.Listeners.HTTPCaches = listeners.HTTPCaches{HTTPKinds: []string{"box"}}
}

// Guards against the loss of streamed values and of errors that wait for a slow answer, together with values that do
// not: each kind of answer must reach the client in the order of its commands.
func TestAnswersOfAllKindsThatWaitedReachTheirClient(t *testing.T) {
	const rounds = 16
	value := strings.Repeat("v", streamThreshold)
	long := strings.Repeat("w", 4*streamThreshold)
	g := newHarness(t, 400, func(line string) string {
		if strings.HasPrefix(line, "mg long ") {
			return answerWith(long)(line)
		}
		return answerWith(value)(line)
	}, withMemory(256<<20))
	proceed := g.blockWrites(value)
	c, r := g.client()
	requests := "ms slow 5 Ow Pc=pay,d=9000\r\nhello\r\n"
	for n := range rounds {
		requests += fmt.Sprintf("mg k v Ok%d Pc=read,d=9000\r\n", n)
		requests += fmt.Sprintf("mg long v Ol%d Pc=read,d=9000\r\n", n)
		requests += "mg k v\r\nmn\r\n"
	}
	io.WriteString(c, requests)
	g.waitUntil("all short values wait", func(n metrics.Counters) bool { return n.Satisfied == rounds })
	proceed()
	g.expect(r, "HD Ow c"+receipt)
	for n := range rounds {
		g.expect(r, fmt.Sprintf("VA %d Ok%d", len(value), n), value)
		g.expect(r, fmt.Sprintf("VA %d Ol%d", len(long), n), long)
		g.expect(r, "CLIENT_ERROR bad command line", "MN")
	}
	g.expectNothingBuffered()
}

// Guards against values that are cut off by a drain, because they wait in the pipeline and not in the socket's buffer:
// a client that reads slowly must get all of them although the limit of the drain passes meanwhile.
func TestDrainDeliversAnswersThatWaitedForASlowOne(t *testing.T) {
	value := strings.Repeat("v", streamThreshold)
	for name, begin := range drainCases {
		for _, byHTTP := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, by HTTP %v", name, byHTTP), func(t *testing.T) {
				t.Parallel()
				g := newHarness(t, 400, answerWith(value), withHTTPListeners, withShortDrain, withMemory(256<<20),
					withPatientConnects)
				proceed := g.blockWrites(value)
				c := g.startPipeline(pipelinedReads, byHTTP)
				g.waitUntilBuffered(c)
				g.runInLoop(func() {
					begin(g)
					g.startDrain()
				})
				proceed()
				time.Sleep(shortestDrain + drainQuietTime)
				c.expectValues(t, value)
				g.loop.Wait()
			})
		}
	}
}

// Guards against a drain that ends although a client goes on reading, slowly and for longer than slowReaderTimeout: what
// is unsent on its connection stays the same, as answers that wait take the place of those that it has read.
func TestDrainGoesOnForAClientThatReadsSlowly(t *testing.T) {
	const timeouts, readsInEach = 4, 8
	value := strings.Repeat("v", streamThreshold)
	g := newHarness(t, 400, answerWith(value), withShortDrain, withMemory(256<<20), withPatientConnects)
	proceed := g.blockWrites(value)
	c := g.startPipeline(pipelinedReads, false)
	g.shrinkSendBuffers(c)
	g.waitUntilBuffered(c)
	g.Shutdown()
	proceed()
	time.Sleep(shortestDrain + drainQuietTime)
	c.expectReceipt(t)
	for n := range c.reads {
		if n < timeouts*readsInEach {
			g.runInLoop(func() { // as if a part of slowReaderTimeout had passed
				flush := &g.lifecycle.delivery.flush
				flush.progressAt = flush.progressAt.Add(-slowReaderTimeout / readsInEach)
			})
			time.Sleep(2 * flushCheckInterval)
		}
		if status, size := c.readAnswer(t, n); status != http.StatusOK || size != len(value) {
			t.Fatalf("answer %d: %d with %d bytes", n, status, size)
		}
	}
	g.loop.Wait()
}

// Guards against memory that grows with the answers that wait: many clients send reads behind a slow one. Each read
// must be answered, with its value or with an error, and the answers that wait must stay a part of the memory.
func TestAnswersThatWaitTakeOnlyPartOfMemory(t *testing.T) {
	const limit, clientCount = 32 << 20, 6
	value := strings.Repeat("v", streamThreshold)
	for _, byHTTP := range []bool{false, true} {
		t.Run(fmt.Sprintf("by HTTP %v", byHTTP), func(t *testing.T) {
			g := newHarness(t, 2000, answerWith(value), withHTTPListeners, withMemory(limit), withPatientConnects)
			proceed := g.blockWrites(value)
			clients := g.startPipelines(clientCount, pipelinedReads, byHTTP)
			g.waitUntilBuffered(clients...)
			buffered := make(chan int64, 1)
			g.runInLoop(func() { buffered <- g.bufferedBytes() })
			const short = clientCount * pipelinedReads * 512 // of errors, and of requests
			if got := receive(t, buffered); got > limit/answersDivisor+short || got < limit/answersDivisor/2 {
				t.Errorf("%d bytes wait, with a limit of %d", got, limit/answersDivisor)
			}
			proceed()
			rejected := 0
			for _, c := range clients {
				c.expectReceipt(t)
				for n := range c.reads {
					status, _ := c.readAnswer(t, n)
					if status == http.StatusServiceUnavailable {
						rejected++
					} else if status != http.StatusOK {
						t.Fatalf("client %d, answer %d: %d", c.number, n, status)
					}
				}
			}
			if n := g.Counters(); n.Rejected != uint64(rejected) || n.NotAccepted != n.Rejected || rejected == 0 {
				t.Errorf("%d requests are rejected: %+v", rejected, n)
			}
			g.expectNothingBuffered()
		})
	}
}

// Guards against a client that reads nothing and keeps its connection and the memory of its answers for good: it is
// closed after slowReaderTimeout, whatever waits for it.
func TestClientThatReadsNothingIsClosed(t *testing.T) {
	value := strings.Repeat("v", streamThreshold)
	for name, reads := range map[string]int{"answers wait": pipelinedReads, "all are written": slowReads} {
		for _, byHTTP := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, by HTTP %v", name, byHTTP), func(t *testing.T) {
				g := newHarness(t, 400, answerWith(value), withHTTPListeners, withMemory(256<<20), withPatientConnects)
				proceed := g.blockWrites(value)
				c := g.startPipeline(reads, byHTTP)
				g.shrinkSendBuffers(c)
				g.waitUntilBuffered(c)
				proceed()
				g.waitUntil("the write is answered", func(n metrics.Counters) bool {
					return n.Satisfied > uint64(reads)
				})
				g.waitUntil("the client is closed", func(n metrics.Counters) bool {
					g.runInLoop(g.expireReading)
					return n.ClientTimeouts == 1
				})
				g.expectNothingBuffered()
			})
		}
	}
}

// Guards against closing a client that reads slowly, but goes on reading, for longer than slowReaderTimeout.
func TestClientThatReadsSlowlyIsKept(t *testing.T) {
	const timeouts, readsInEach = 4, 8
	value := strings.Repeat("v", streamThreshold)
	g := newHarness(t, 400, answerWith(value), withMemory(256<<20))
	proceed := g.blockWrites(value)
	c := g.startPipeline(2*timeouts*readsInEach, false)
	g.shrinkSendBuffers(c)
	g.waitUntilBuffered(c)
	proceed()
	c.expectReceipt(t)
	for n := range c.reads {
		if n < timeouts*readsInEach {
			g.runInLoop(func() { g.advanceReading(slowReaderTimeout / readsInEach) })
			time.Sleep(2 * flushCheckInterval)
		}
		if status, size := c.readAnswer(t, n); status != http.StatusOK || size != len(value) {
			t.Fatalf("answer %d: %d with %d bytes", n, status, size)
		}
	}
	if n := g.Counters(); n.ClientTimeouts != 0 {
		t.Errorf("%+v", n)
	}
}

// Guards against closing clients that read, because the process was suspended for longer than slowReaderTimeout: as it
// goes on, a check may come before the kernel's report on what they have read.
func TestSuspensionIsNoTimeWithoutProgress(t *testing.T) {
	const interval = flushCheckInterval
	for _, test := range []struct {
		late    time.Duration // of each check
		checks  int
		stalled bool
	}{
		{0, int(slowReaderTimeout/interval) + 1, true},
		{interval / 2, int(slowReaderTimeout/interval) + 1, true},
		{0, int(slowReaderTimeout/interval) - 1, false},
		{2 * slowReaderTimeout, 3, false},
	} {
		now := clockEpoch
		var reading readProgress
		stalled := reading.isStalled(100, now)
		for range test.checks {
			reading.checkAt = now.Add(interval)
			now = reading.checkAt.Add(test.late)
			reading.beginCheck(now)
			stalled = reading.isStalled(100, now)
		}
		if stalled != test.stalled {
			t.Errorf("%d checks, late by %v: stalled %v, want %v", test.checks, test.late, stalled, test.stalled)
		}
		if reading.isStalled(101, now) {
			t.Errorf("%d checks, late by %v: stalled although more was accepted", test.checks, test.late)
		}
	}
}
