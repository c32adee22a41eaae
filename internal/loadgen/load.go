// Package loadgen is an open-loop load generator: it sends requests to a node, or to any server of the same protocol,
// at a given rate and reports the outcomes. Each request is sent when it is due, whether or not earlier ones have been
// answered, and its latency counts from the due time rather than the send time. A stall therefore shows in the latency
// of all requests that became due during it (no coordinated omission).
package loadgen

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/client"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

const (
	// minLatency and maxLatency are the range of the histograms, in nanoseconds.
	minLatency = int64(time.Microsecond)
	maxLatency = int64(time.Minute)
	// latencyDigits is the precision of the histograms, in significant decimal digits.
	latencyDigits = 3
	// lateAfter is the delay of a send after its due time above which the request counts as sent late.
	lateAfter = 10 * time.Millisecond
	// maxLateShare is the fraction of requests sent late above which the machine counts as too busy.
	maxLateShare = 0.01
	// spinBefore is the time before a request is due from which the generator spins instead of sleeping, because timers
	// fire up to a millisecond late.
	spinBefore = 300 * time.Microsecond
)

// ClassResult counts the outcomes of the requests of one service class.
type ClassResult struct {
	Name      string
	Sent      int64
	Satisfied int64 // answered with a result
	InTime    int64 // satisfied within the class's latency objective
	Rejected  int64
	Failed    int64
	Cut       int64 // the connection closed before the response
	Silent    int64 // no response arrived
	Wrong     int64 // invalid or unsolicited responses
	// Latency is the time from a satisfied request's due time to its response, ServiceTime that from its send time.
	Latency     *hdrhistogram.Histogram
	ServiceTime *hdrhistogram.Histogram
}

// Result holds the outcomes of a run.
type Result struct {
	Classes  []ClassResult
	Duration time.Duration
	Sent     int64
	SentLate int64 // more than lateAfter after their due time
}

// run is the state of one run. mu guards the class results, which several goroutines update as responses arrive.
type run struct {
	result    *Result
	traffic   *world.Traffic
	pool      *client.Pool
	startedAt time.Time
	mu        sync.Mutex
	pending   sync.WaitGroup
}

// Run sends traffic to an address for a duration or until the context is done, as HTTP requests with the paths and
// headers of package client or as meta commands. It returns when all requests have completed.
func Run(ctx context.Context, addr string, http bool, traffic *world.Traffic, duration time.Duration) *Result {
	r := &run{
		result:    newResult(traffic.Classes),
		traffic:   traffic,
		pool:      &client.Pool{Addr: addr, HTTP: http},
		startedAt: time.Now(),
	}
	for at := traffic.Next(0); time.Duration(at) < duration; at = traffic.Next(at) {
		if !waitUntil(ctx, r.startedAt.Add(time.Duration(at))) {
			break
		}
		r.send(at)
	}
	r.pending.Wait()
	r.result.Duration = time.Since(r.startedAt)
	r.pool.Close()
	return r.result
}

func newResult(classes []world.Class) *Result {
	result := &Result{}
	for _, class := range classes {
		result.Classes = append(result.Classes, ClassResult{
			Name:        class.Name,
			Latency:     hdrhistogram.New(minLatency, maxLatency, latencyDigits),
			ServiceTime: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
		})
	}
	return result
}

// send sends the request that is due at the given time after the start of the run.
func (r *run) send(at policy.Instant) {
	drawn := r.traffic.Draw(at)
	due := r.startedAt.Add(time.Duration(at))
	class := &r.traffic.Classes[drawn.Class]
	result := &r.result.Classes[drawn.Class]
	r.result.Sent++
	if time.Since(due) > lateAfter {
		r.result.SentLate++
	}
	request := &client.Request{
		ID:             drawn.ID,
		Key:            drawn.Key,
		IdempotencyKey: drawn.Label,
		Class:          class.Name,
		Write:          class.Write,
		Timeout:        drawn.Deadline,
	}
	if class.Write {
		request.Value = world.ValueOf(drawn.Key)
	}
	r.pending.Add(1)
	r.pool.Send(request, func(response client.Response) {
		defer r.pending.Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		result.count(response, due, class.LatencyObjective)
	})
}

// waitUntil waits until a point in time. It returns false if the context is done by then.
func waitUntil(ctx context.Context, until time.Time) bool {
	if rest := time.Until(until); rest > spinBefore {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(rest - spinBefore):
		}
	}
	for time.Until(until) > 0 {
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

// count records the outcome of a request.
func (c *ClassResult) count(response client.Response, due time.Time, objective time.Duration) {
	c.Sent++
	if response.InvalidReason != "" || response.Unsolicited {
		c.Wrong++
	}
	switch {
	case response.Silent:
		c.Silent++
	case response.Final == checker.Satisfied:
		c.countSatisfied(response, due, objective)
	case response.Final == checker.Rejected:
		c.Rejected++
	case response.Final == checker.Cut:
		c.Cut++
	default:
		c.Failed++
	}
}

func (c *ClassResult) countSatisfied(response client.Response, due time.Time, objective time.Duration) {
	c.Satisfied++
	latency := response.ReceivedAt.Sub(due)
	if latency <= objective {
		c.InTime++
	}
	record(c.Latency, latency)
	record(c.ServiceTime, response.ReceivedAt.Sub(response.SentAt))
}

// record adds a duration to a histogram, clamped to its range. RecordValue fails for values out of range only.
func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(int64(duration), minLatency), maxLatency))
}

// TooBusy reports whether too many requests were sent late for the results to be valid for the node.
func (r *Result) TooBusy() bool { return float64(r.SentLate) > maxLateShare*float64(r.Sent) }
