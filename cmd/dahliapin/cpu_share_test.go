package main

import (
	"testing"

	"dahliapin/internal/scale"
)

// peakResident returns the peak resident memory of a process since its start, in bytes.
func peakResident(tb testing.TB, pid int) float64 {
	tb.Helper()
	bytes, err := scale.PeakResident(pid)
	if err != nil {
		tb.Fatal(err)
	}
	return float64(bytes)
}

// limitCPUShare limits a process to a share of a core until the returned function is called.
func limitCPUShare(t testing.TB, pid int, share float64) (release func()) {
	t.Helper()
	releaseProcess := scale.LimitCPUShare(pid, share)
	return func() {
		if err := releaseProcess(); err != nil {
			t.Error(err)
		}
	}
}
