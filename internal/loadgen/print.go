package loadgen

import (
	"fmt"
	"io"
	"time"
)

// Print writes the result as a table, with latencies in milliseconds.
func (r *Result) Print(to io.Writer) {
	fmt.Fprintf(to, "%d requests in %.1f s, %.0f per second; latencies in ms from the due time of each request\n",
		r.Sent, r.Duration.Seconds(), float64(r.Sent)/r.Duration.Seconds())
	fmt.Fprintf(to, "%-10s %8s %9s %8s %9s %8s %5s %6s %5s %8s %8s %8s %8s %8s\n",
		"grade", "asked", "satisfied", "in time", "rejected", "failed", "cut", "silent", "wrong",
		"p50", "p90", "p99", "p99.9", "most")
	for i := range r.Classes {
		r.Classes[i].print(to)
	}
	if r.TooBusy() {
		fmt.Fprintf(to, "this machine was too busy: %d of %d requests were sent over %v late\n",
			r.SentLate, r.Sent, lateAfter)
	}
}

func (c *ClassResult) print(to io.Writer) {
	quantile := func(percent float64) float64 { return milliseconds(c.Latency.ValueAtQuantile(percent)) }
	fmt.Fprintf(to, "%-10s %8d %9d %8d %9d %8d %5d %6d %5d %8.2f %8.2f %8.2f %8.2f %8.2f\n",
		c.Name, c.Sent, c.Satisfied, c.InTime, c.Rejected, c.Failed, c.Cut, c.Silent, c.Wrong,
		quantile(50), quantile(90), quantile(99), quantile(99.9), milliseconds(c.Latency.Max()))
}

func milliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}
