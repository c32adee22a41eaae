package loadgen

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// startServer starts a server that answers each read after the channel returned by stalls has become ready. Of 50
// reads, it rejects one and answers one with the ID of another request.
func startServer(t *testing.T, stalls func() <-chan time.Time) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var n atomic.Int64
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
					if err != nil {
						return
					}
					<-stalls()
					id := strings.Fields(line)[3]
					switch n.Add(1) % 50 {
					case 0:
						io.WriteString(c, "SERVER_ERROR busy 20\r\n")
					case 1:
						fmt.Fprintf(c, "VA 2 Oanother\r\nok\r\n")
					default:
						fmt.Fprintf(c, "VA 2 %s\r\nok\r\n", id)
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// reads returns traffic of one class of reads, at a rate per second.
func reads(rate float64) *world.Traffic {
	class := world.Class{
		Name:         "read",
		Share:        1,
		Deadline:     2 * time.Second,
		ServiceClass: policy.ServiceClass{LatencyObjective: 100 * time.Millisecond},
	}
	return world.NewTraffic(world.TrafficPlan{PerSecond: rate, Keys: 10, Seed: 1, Classes: []world.Class{class}})
}

// A server stall of 400 ms must show in the latency of all requests that become due during it, and must not reduce the
// number of requests. A closed-loop generator would send about a dozen requests and measure a single slow one.
func TestStallShowsInAllRequestsDueDuringIt(t *testing.T) {
	began, stalled := time.Now(), 400*time.Millisecond
	addr := startServer(t, func() <-chan time.Time {
		return time.After(min(time.Until(began.Add(200*time.Millisecond+stalled)), stalled))
	})
	r := Run(context.Background(), addr, false, reads(200), time.Second)
	g := r.Classes[0]
	if r.Sent < 150 || g.Sent != r.Sent || g.Silent+g.Cut+g.Failed > 0 {
		t.Fatalf("requests are missing or have no response: %+v", r)
	}
	if g.Satisfied+g.Rejected != g.Sent || g.Rejected < 1 || g.Wrong < 1 {
		t.Errorf("%d satisfied, %d rejected, %d wrong of %d", g.Satisfied, g.Rejected, g.Wrong, g.Sent)
	}
	slow := 0
	for _, b := range g.Latency.Distribution() {
		if b.From > int64(100*time.Millisecond) {
			slow += int(b.Count)
		}
	}
	if slow < 50 || time.Duration(g.Latency.Max()) < 300*time.Millisecond {
		t.Errorf("%d of %d requests took over 100 ms, want 50 or more; the slowest took %v, want 300 ms or more",
			slow, g.Sent, time.Duration(g.Latency.Max()))
	}
}

// A cancelled run must end immediately and return the results so far.
func TestCancelledRunReturnsPartialResult(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer stop()
	now := make(chan time.Time)
	close(now)
	r := Run(ctx, startServer(t, func() <-chan time.Time { return now }), false, reads(300), time.Minute)
	if r.Sent < 10 || r.Duration > 10*time.Second || r.Classes[0].Sent != r.Sent {
		t.Errorf("%+v", r)
	}
}

// HTTP responses must be classified by status, and a connection that the server closes must not be reused.
func TestHTTPResponsesAreClassifiedByStatus(t *testing.T) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := n.Add(1) % 10
		if n == 3 {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader([]int{503, 502, 404, 200}[min(n, 3)])
	}))
	t.Cleanup(s.Close)
	g := Run(context.Background(), strings.TrimPrefix(s.URL, "http://"), true, reads(200), time.Second).Classes[0]
	tenth := g.Sent / 10
	if g.Sent < 150 || g.Cut+g.Silent > 0 || g.Rejected < tenth || g.Failed < 2*tenth || g.Wrong < tenth ||
		g.Satisfied < 6*tenth {
		t.Errorf("%+v", g)
	}
}
