// Package histogram provides small histograms of durations with few exponential bins and decay of old samples.
package histogram

import (
	"math/bits"
	"time"
)

const (
	// bins is the number of bins; each upper limit is twice the one before, from under 1 ms to over 4 s.
	bins = 14
	// FirstBinWidth is the upper limit of the first bin. Latencies below it do not distinguish caches.
	FirstBinWidth = time.Millisecond
	// minSamples is the number of samples required for quantiles.
	minSamples = bins
)

// Histogram counts durations by bin. The zero Histogram is empty and ready for use.
type Histogram [bins]uint32

// Observe adds one duration.
func (h *Histogram) Observe(d time.Duration) {
	bin := bits.Len64(uint64(max(0, d) / FirstBinWidth))
	h[min(bins-1, bin)]++
}

// Decay halves all counts, provided that enough samples for quantiles remain.
func (h *Histogram) Decay() {
	if h.total() < 2*minSamples {
		return
	}
	for i := range h {
		h[i] /= 2
	}
}

func (h *Histogram) total() float64 {
	total := 0.0
	for _, count := range h {
		total += float64(count)
	}
	return total
}

// Quantile returns the q-quantile, interpolated linearly within a bin, or fallback if there are too few samples.
func (h *Histogram) Quantile(q float64, fallback time.Duration) time.Duration {
	total := h.total()
	if total < minSamples {
		return fallback
	}
	want := q * total
	low := time.Duration(0)
	for i, count := range h {
		high := FirstBinWidth << i
		if float64(count) >= want {
			return low + time.Duration(want/float64(max(count, 1))*float64(high-low))
		}
		want -= float64(count)
		low = high
	}
	return low
}

// CountAbove returns an estimate of the number of durations longer than d, interpolated within a bin.
func (h *Histogram) CountAbove(d time.Duration) float64 {
	above := 0.0
	low := time.Duration(0)
	for i, count := range h {
		high := FirstBinWidth << i
		share := float64(high-d) / float64(high-low)
		above += float64(count) * min(1, max(0, share))
		low = high
	}
	return above
}
