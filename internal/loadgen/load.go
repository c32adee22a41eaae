// Package load asks a node, or anything that speaks its protocol, at a stated rate, and tells what came. It is open loop:
// a try goes out at its time whether or not earlier ones have been answered, and its time counts from when it was due, not
// from when it could be sent, so that a stall is felt by all that fell due in it (corrected for coordinated omission).
package loadgen

import (
	"context"
	"fmt"
	"io"
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
	shortest, longest, digits = int64(time.Microsecond), int64(time.Minute), 3 // what histograms tell apart
	lateBy                    = 10 * time.Millisecond                          // that a try may go out after its time
	lateShare                 = 0.01                                           // of them that may, before the machine was too busy
	yieldsUnder               = 300 * time.Microsecond                         // timers wake up to a millisecond late: the rest is waited for awake
)

// Class is what one grade got.
type Class struct {
	Name                          string
	Asked, Satisfied, InTime      int64
	Rejected, Failed, Cut, Silent int64
	Wrong                         int64
	Took                          *hdrhistogram.Histogram // of those satisfied, from when they were due
	Bare                          *hdrhistogram.Histogram // the same from when they were sent
}

// Result is what a run got.
type Result struct {
	Grades []Class
	Long   time.Duration
	Late   int64
	Asked  int64
}

// Run asks until its time is over or the context is, by HTTP as internal/emulator/client puts it, or by meta commands.
func Run(ctx context.Context, addr string, http bool, traffic *world.Traffic, long time.Duration) *Result {
	r := &Result{}
	for _, g := range traffic.Classes {
		r.Grades = append(r.Grades, Class{Name: g.Name, Took: hdrhistogram.New(shortest, longest, digits),
			Bare: hdrhistogram.New(shortest, longest, digits)})
	}
	pool := &client.Pool{Addr: addr, HTTP: http}
	var mu sync.Mutex
	var asking sync.WaitGroup
	began := time.Now()
	now := func() policy.Instant { return policy.Instant(time.Since(began)) }
	for at := traffic.Next(0); time.Duration(at) < long && wait(ctx, began.Add(time.Duration(at))); at = traffic.Next(at) {
		req := traffic.Draw(at)
		due, g, t := began.Add(time.Duration(at)), &r.Grades[req.Class], &traffic.Classes[req.Class]
		if r.Asked++; time.Since(due) > lateBy {
			r.Late++
		}
		a := &client.Ask{ID: req.ID, Key: req.Key, Label: req.Label, Grade: t.Name, Write: t.Write, Wait: req.Deadline}
		if t.Write {
			a.Value = world.ValueOf(req.Key)
		}
		asking.Add(1)
		pool.Ask(a, func(got client.Answer) {
			defer asking.Done()
			mu.Lock()
			defer mu.Unlock()
			g.count(got, due, t.LatencyObjective)
		})
	}
	asking.Wait()
	r.Long = time.Duration(now())
	pool.Close()
	return r
}

// wait returns at a time, or false once the context is over.
func wait(ctx context.Context, until time.Time) bool {
	if rest := time.Until(until); rest > yieldsUnder {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(rest - yieldsUnder):
		}
	}
	for time.Until(until) > 0 {
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

func (g *Class) count(got client.Answer, due time.Time, soft time.Duration) {
	g.Asked++
	if got.Wrong != "" || got.Extra {
		g.Wrong++
	}
	switch {
	case got.Silent:
		g.Silent++
	case got.Final == checker.Satisfied:
		g.Satisfied++
		took := got.Got.Sub(due)
		if took <= soft {
			g.InTime++
		}
		_ = g.Took.RecordValue(min(max(int64(took), shortest), longest)) // within its bounds it can't fail
		_ = g.Bare.RecordValue(min(max(int64(got.Got.Sub(got.Sent)), shortest), longest))
	case got.Final == checker.Rejected:
		g.Rejected++
	case got.Final == checker.Cut:
		g.Cut++
	default:
		g.Failed++
	}
}

// TooBusy tells whether tries went out too late for the figures to say anything of the node.
func (r *Result) TooBusy() bool { return float64(r.Late) > lateShare*float64(r.Asked) }

// Print writes a table.
func (r *Result) Print(to io.Writer) {
	fmt.Fprintf(to, "%d asked in %.1f s, %.0f a second; times in ms from when each was due\n", r.Asked, r.Long.Seconds(),
		float64(r.Asked)/r.Long.Seconds())
	fmt.Fprintf(to, "%-10s %8s %9s %8s %9s %8s %5s %6s %5s %8s %8s %8s %8s %8s\n", "grade", "asked", "satisfied", "in time", "rejected", "failed",
		"cut", "silent", "wrong", "p50", "p90", "p99", "p99.9", "most")
	for _, g := range r.Grades {
		at := func(q float64) float64 { return float64(g.Took.ValueAtQuantile(q)) / 1e6 }
		fmt.Fprintf(to, "%-10s %8d %9d %8d %9d %8d %5d %6d %5d %8.2f %8.2f %8.2f %8.2f %8.2f\n", g.Name, g.Asked, g.Satisfied, g.InTime, g.Rejected,
			g.Failed, g.Cut, g.Silent, g.Wrong, at(50), at(90), at(99), at(99.9), float64(g.Took.Max())/1e6)
	}
	if r.TooBusy() {
		fmt.Fprintf(to, "this machine was too busy: %d of %d went out over %v late\n", r.Late, r.Asked, lateBy)
	}
}
