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
// no request. The test is the last of its package because its clients use all cores: by then, other packages are mostly
// done.
func TestIdleClientsHoldAllDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const sockets, idlers, restAfterShut, answeredIn, downFor, countsAsTold = 256, 400, 10 * time.Millisecond, 4 * time.Second, 5 * time.Second, 6 * time.Second
	for _, how := range []string{"resets", "silent"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			var oldAsked, newAsked atomic.Int64
			old, young := startSlowKeyCache(t, &oldAsked), startSlowKeyCache(t, &newAsked)
			const row = `{"instanceId":%q,"hostPort":%q,"lifecycle":%q}`
			var down, news atomic.Bool
			told, over := make(chan time.Time, 99), make(chan bool)
			fails := make(chan bool) // closed when discovery goes down
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				meets := func() {
					if how == "silent" {
						<-r.Context().Done()
					}
					panic(http.ErrAbortHandler)
				}
				switch since := r.URL.Query().Get("since"); {
				case down.Load():
					meets()
				case since == "":
					fmt.Fprintf(w, `{"generation":7,"reset":true,"instances":[`+row+`]}`, "c", old, "in_service")
				case news.Load() && since == "7":
					fmt.Fprintf(w, `{"generation":8,"reset":false,"instances":[`+row+`,`+row+`]}`, "c", old, "terminated", "d", young, "in_service")
					told <- time.Now()
				case news.Load():
					<-r.Context().Done()
				default:
					select {
					case <-r.Context().Done():
					case <-fails:
						meets()
					}
				}
			}))
			t.Cleanup(s.CloseClientConnections)
			node := startNode(t, t.TempDir(), strings.TrimPrefix(s.URL, "http://"), fmt.Sprintf(`"limits":{"memory_mb":192,"sockets":%d},
"settings":{"n_instances":480,"service_grades":[{"name":"read","benefit":1,"effect":"idempotent","soft_limit_s":2,"hard_stop_s":3}],
"bounds":{"most_legs":3,"conn_idle_s":15}}`, sockets), "RELAY_OPS=127.0.0.1:0")
			listen, ops := node.waitForListen(t), node.ops
			for by := time.Now().Add(20 * time.Second); !isReady(listen); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(by) {
					t.Fatalf("the node is not ready; its log:\n%s", node.logTail())
				}
			}

			// these clients always have a request in flight
			var busy sync.WaitGroup
			var satisfied, rejected, again, shut, bad atomic.Int64
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
						id, said, err := fmt.Sprintf("Oq%dx%d", n, i), "", io.EOF
						// a client whose connection was closed sends once more on a new one, as the protocol permits; a
						// new one may be closed unread while idle clients fill the descriptors, and is retried. In
						// total, the request has to be answered in time
						by := time.Now().Add(answeredIn) // 3 s, and a reserve for a busy machine
						for err != nil && time.Now().Before(by) {
							fresh := c == nil
							if fresh {
								if c, err = net.Dial("tcp", listen); err != nil {
									continue
								}
								r = bufio.NewReader(c)
							}
							c.SetDeadline(by)
							if _, err = fmt.Fprintf(c, "mg %s%d v %s Pc=read,d=3000\r\n", key, i, id); err == nil {
								said, err = r.ReadString('\n')
							}
							if err != nil {
								c.Close()
								c = nil
								again.Add(1)
								if fresh { // there is no room now, and an immediate retry would meet the same
									shut.Add(1)
									time.Sleep(restAfterShut)
								}
								if errors.Is(err, os.ErrDeadlineExceeded) {
									break
								}
							}
						}
						switch {
						case strings.TrimSpace(said) == "VA 5 "+id:
							r.ReadString('\n')
							satisfied.Add(1)
						case strings.HasPrefix(said, "SERVER_ERROR busy"):
							rejected.Add(1)
						default:
							bad.Add(1)
							first.CompareAndSwap(nil, fmt.Sprintf("%q, %v", said, err))
						}
						time.Sleep(10 * time.Millisecond)
					}
				}()
			}
			down.Store(true)
			close(fails)
			idle := startIdleClients(listen, idlers, over)

			// operators query the node throughout, and the process's descriptors are counted
			slowest, most := time.Duration(0), 0
			look := func(until time.Time) {
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
			look(time.Now().Add(downFor))
			before := satisfied.Load()
			news.Store(true)
			down.Store(false)
			back := time.Now()
			select {
			case at := <-told:
				if t.Logf("told %v after discovery was back", at.Sub(back)); at.Sub(back) > countsAsTold {
					t.Errorf("told after %v", at.Sub(back))
				}
			case <-time.After(2 * countsAsTold):
				t.Errorf("not told in %v", 2*countsAsTold)
			}
			look(time.Now().Add(2 * time.Second))
			if newAsked.Load() == 0 {
				t.Error("the new cache gets no request")
			}
			if satisfied.Load() == before {
				t.Error("no request is satisfied after discovery is back")
			}
			// idle clients stay and reconnect, but swept connections make room for new clients
			began := time.Now()
			for !isReady(listen) {
				if time.Since(began) > 10*time.Second {
					t.Fatal("no new client is accepted")
				}
			}
			t.Logf("a new client got in in %v; %d satisfied, %d rejected, %d sent once more, %d new connections shut; operators waited %v at most; %d descriptors at most", time.Since(began),
				satisfied.Load(), rejected.Load(), again.Load(), shut.Load(), slowest, most)
			close(over)
			idle.Wait()
			busy.Wait()
			if bad.Load() > 0 {
				t.Errorf("%d lost or failed, the first: %v", bad.Load(), first.Load())
			}
			if most > sockets || most < sockets/2 {
				t.Errorf("%d descriptors of %d: the test exerts no pressure, or the limit is exceeded", most, sockets)
			}
		})
	}
}
