// Package loadgen sends requests to a node, or to anything that speaks its protocol, at a stated rate, and reports what
// came of them. It is an open loop: a request is sent at its time whether or not earlier ones have been answered, and
// its latency counts from when it was due, not from when it could be sent. So a stall is seen in all requests that fell
// due in it (corrected for coordinated omission).
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
	// minLatency and maxLatency bound what the histograms tell apart, in nanoseconds.
	minLatency = int64(time.Microsecond)
	maxLatency = int64(time.Minute)
	// latencyDigits is the precision of the histograms, in decimal digits.
	latencyDigits = 3
	// lateAfter is how long after its time a request may be sent.
	lateAfter = 10 * time.Millisecond
	// maxLateShare is the share of requests that may be sent later, before the machine was too busy.
	maxLateShare = 0.01
	// spinBefore is the time before a request is due that is waited for by spinning, as timers wake up to a millisecond
	// late.
	spinBefore = 300 * time.Microsecond
)

// ClassResult is what became of the requests of one service class.
type ClassResult struct {
	Name      string
	Sent      int64
	Satisfied int64 // answered with a result
	InTime    int64 // of these, within the class's latency objective
	Rejected  int64
	Failed    int64
	Cut       int64 // the connection ended without an answer
	Silent    int64 // nothing came
	Wrong     int64 // answers that are not as they should be
	// Latency is the time from when satisfied requests were due to their answers, ServiceTime from when they were sent.
	Latency     *hdrhistogram.Histogram
	ServiceTime *hdrhistogram.Histogram
}

// Result is what became of the requests of a run.
type Result struct {
	Classes  []ClassResult
	Duration time.Duration
	Sent     int64
	SentLate int64 // over lateAfter after their time
}

// run is a run of the generator. mu guards the classes' results, which answers come to from several goroutines.
type run struct {
	result  *Result
	traffic *world.Traffic
	pool    *client.Pool
	began   time.Time
	mu      sync.Mutex
	pending sync.WaitGroup
}

// Run sends traffic to an address for a duration, or until the context is done: by HTTP in the form of package client,
// or by meta commands. It returns once all requests have ended.
func Run(ctx context.Context, addr string, http bool, traffic *world.Traffic, duration time.Duration) *Result {
	r := &run{
		result:  newResult(traffic.Classes),
		traffic: traffic,
		pool:    &client.Pool{Addr: addr, HTTP: http},
		began:   time.Now(),
	}
	for at := traffic.Next(0); time.Duration(at) < duration; at = traffic.Next(at) {
		if !waitUntil(ctx, r.began.Add(time.Duration(at))) {
			break
		}
		r.send(at)
	}
	r.pending.Wait()
	r.result.Duration = time.Since(r.began)
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

// send sends the request that is due at a time since the run's beginning.
func (r *run) send(at policy.Instant) {
	drawn := r.traffic.Draw(at)
	due := r.began.Add(time.Duration(at))
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

// waitUntil returns true at a time, or false once the context is done.
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

func (c *ClassResult) count(response client.Response, due time.Time, objective time.Duration) {
	c.Sent++
	if response.Wrong != "" || response.Unsolicited {
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

// record takes a duration into a histogram, whose only error is for one out of its bounds.
func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(int64(duration), minLatency), maxLatency))
}

// TooBusy reports whether requests were sent too late for the figures to say anything of the node.
func (r *Result) TooBusy() bool { return float64(r.SentLate) > maxLateShare*float64(r.Sent) }
