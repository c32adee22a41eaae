package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startCache starts a cache that answers each line with a function, and closes the connection when that fails. It
// returns the address.
func startCache(tb testing.TB, answer func(to net.Conn, line string) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err == nil {
						err = answer(c, line)
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// startSlowKeyCache starts a cache that answers reads, those of keys that begin with "slow" after a second.
func startSlowKeyCache(t *testing.T, asked *atomic.Int64) string {
	return startCache(t, func(to net.Conn, line string) error {
		f := strings.Fields(line)
		if len(f) < 4 {
			return io.EOF
		}
		asked.Add(1)
		if strings.HasPrefix(f[1], "slow") {
			time.Sleep(time.Second)
		}
		_, err := fmt.Fprintf(to, "VA 5 %s\r\nhello\r\n", f[3])
		return err
	})
}

// startIdleClients starts clients that keep their connections open until over is closed: half of them send one request,
// the others none. A client whose connection is closed reconnects.
func startIdleClients(listen string, clients int, over chan bool) *sync.WaitGroup {
	var all sync.WaitGroup
	for n := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				select {
				case <-over:
					return
				default:
				}
				c, err := net.DialTimeout("tcp", listen, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				ended := make(chan bool)
				go func() {
					io.Copy(io.Discard, c)
					close(ended)
				}()
				if n%2 == 0 {
					io.WriteString(c, "mn\r\n")
				}
				select {
				case <-ended:
				case <-over:
				}
				c.Close()
			}
		}()
	}
	return &all
}

// TestIdleClientsHoldAllDescriptorsWhileDiscoveryIsDown checks that, while idle clients hold all descriptors that they
// may have and discovery is down, the node reconnects to discovery, reaches a new cache, answers operators, and loses
// no request. The test is the last of its package because its clients use all cores: by then, most other packages have
// been tested.
func TestIdleClientsHoldAllDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const (
		sockets        = 256
		idleClients    = 400
		retryDelay     = 10 * time.Millisecond // after a new connection was closed
		answerTimeout  = 4 * time.Second       // deadline of 3 s, and a reserve for a busy machine
		outageTime     = 5 * time.Second
		maxUpdateDelay = 6 * time.Second // after discovery is back
	)
	for _, how := range []string{"resets", "silent"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			var oldAsked, newAsked atomic.Int64
			oldCache, newCache := startSlowKeyCache(t, &oldAsked), startSlowKeyCache(t, &newAsked)
			const row = `{"instanceId":%q,"hostPort":%q,"lifecycle":%q}`
			var down, hasUpdate atomic.Bool
			updated := make(chan time.Time, 99) // when the update was sent
			over := make(chan bool)             // closed to end the clients
			goesDown := make(chan bool)         // closed when discovery goes down
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fail := func() {
					if how == "silent" {
						<-r.Context().Done()
					}
					panic(http.ErrAbortHandler)
				}
				switch since := r.URL.Query().Get("since"); {
				case down.Load():
					fail()
				case since == "":
					fmt.Fprintf(w, `{"generation":7,"reset":true,"instances":[`+row+`]}`, "c", oldCache, "in_service")
				case hasUpdate.Load() && since == "7":
					fmt.Fprintf(w, `{"generation":8,"reset":false,"instances":[`+row+`,`+row+`]}`,
						"c", oldCache, "terminated", "d", newCache, "in_service")
					updated <- time.Now()
				case hasUpdate.Load():
					<-r.Context().Done()
				default:
					select {
					case <-r.Context().Done():
					case <-goesDown:
						fail()
					}
				}
			}))
			t.Cleanup(s.CloseClientConnections)
			settings := fmt.Sprintf(`"limits":{"memory_mb":192,"sockets":%d},"settings":{"n_instances":480,
"service_grades":[{"name":"read","benefit":1,"effect":"idempotent","soft_limit_s":2,"hard_stop_s":3}],
"bounds":{"most_legs":3,"conn_idle_s":15}}`, sockets)
			discovery := strings.TrimPrefix(s.URL, "http://")
			node := startNode(t, t.TempDir(), discovery, settings, "RELAY_OPS=127.0.0.1:0")
			listen, ops := node.waitForListen(t), node.ops
			for deadline := time.Now().Add(20 * time.Second); !isReady(listen); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("the node is not ready; its log:\n%s", node.logTail())
				}
			}

			// These clients always have a request in flight.
			var busy sync.WaitGroup
			var satisfied, rejected, resent, closedNew, failed atomic.Int64
			var first atomic.Value
			for n := range 12 {
				busy.Add(1)
				go func() {
					defer busy.Done()
					var c net.Conn
					var r *bufio.Reader
					key := [...]string{"slow", "k"}[n%2]
					for i := 0; ; i++ {
						select {
						case <-over:
							return
						default:
						}
						id, answer, err := fmt.Sprintf("Oq%dx%d", n, i), "", io.EOF
						// A client whose connection was closed resends on a new one, as the protocol permits. A new one
						// may be closed unread while idle clients use all descriptors, and is retried. The request must
						// be answered before the deadline over all attempts.
						deadline := time.Now().Add(answerTimeout)
						for err != nil && time.Now().Before(deadline) {
							fresh := c == nil
							if fresh {
								if c, err = net.Dial("tcp", listen); err != nil {
									continue
								}
								r = bufio.NewReader(c)
							}
							c.SetDeadline(deadline)
							if _, err = fmt.Fprintf(c, "mg %s%d v %s Pc=read,d=3000\r\n", key, i, id); err == nil {
								answer, err = r.ReadString('\n')
							}
							if err != nil {
								c.Close()
								c = nil
								resent.Add(1)
								if fresh { // no descriptor is free now, so an immediate retry would fail as well
									closedNew.Add(1)
									time.Sleep(retryDelay)
								}
								if errors.Is(err, os.ErrDeadlineExceeded) {
									break
								}
							}
						}
						switch {
						case strings.TrimSpace(answer) == "VA 5 "+id:
							r.ReadString('\n')
							satisfied.Add(1)
						case strings.HasPrefix(answer, "SERVER_ERROR busy"):
							rejected.Add(1)
						default:
							failed.Add(1)
							first.CompareAndSwap(nil, fmt.Sprintf("%q, %v", answer, err))
						}
						time.Sleep(10 * time.Millisecond)
					}
				}()
			}
			down.Store(true)
			close(goesDown)
			idle := startIdleClients(listen, idleClients, over)

			// queryAdmin queries the admin server as operators do, and counts the process's descriptors.
			slowest, most := time.Duration(0), 0
			queryAdmin := func(until time.Time) {
				for time.Now().Before(until) {
					began := time.Now()
					ctx, end := context.WithTimeout(context.Background(), adminTimeout)
					q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+ops+"/status", nil)
					q.Close = true
					a, err := http.DefaultClient.Do(q)
					if err != nil || a.StatusCode != 200 {
						t.Errorf("operators: %v %v", a, err)
					} else {
						a.Body.Close()
					}
					end()
					slowest = max(slowest, time.Since(began))
					if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.Process.Pid)); err == nil {
						most = max(most, len(open))
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
			queryAdmin(time.Now().Add(outageTime))
			before := satisfied.Load()
			hasUpdate.Store(true)
			down.Store(false)
			back := time.Now()
			select {
			case at := <-updated:
				t.Logf("update sent %v after discovery was back", at.Sub(back))
				if at.Sub(back) > maxUpdateDelay {
					t.Errorf("update sent after %v, limit %v", at.Sub(back), maxUpdateDelay)
				}
			case <-time.After(2 * maxUpdateDelay):
				t.Errorf("update not sent in %v", 2*maxUpdateDelay)
			}
			queryAdmin(time.Now().Add(2 * time.Second))
			if newAsked.Load() == 0 {
				t.Error("the new cache gets no request")
			}
			if satisfied.Load() == before {
				t.Error("no request is satisfied after discovery is back")
			}
			// Idle clients stay and reconnect, but the node closes idle connections, which frees descriptors for new
			// clients.
			began := time.Now()
			for !isReady(listen) {
				if time.Since(began) > 10*time.Second {
					t.Fatal("no new client is accepted")
				}
			}
			t.Logf("a new client was accepted after %v; %d satisfied, %d rejected, %d resent, %d new connections "+
				"closed; operators waited %v at most; %d descriptors at most", time.Since(began),
				satisfied.Load(), rejected.Load(), resent.Load(), closedNew.Load(), slowest, most)
			close(over)
			idle.Wait()
			busy.Wait()
			if failed.Load() > 0 {
				t.Errorf("%d requests lost or failed, the first: %v", failed.Load(), first.Load())
			}
			if most > sockets || most < sockets/2 {
				t.Errorf("%d descriptors at most, want %d to %d", most, sockets/2, sockets)
			}
		})
	}
}
