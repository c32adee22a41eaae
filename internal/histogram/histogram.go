// Package histogram keeps times in small histograms with few coarse bins, in which what is old counts for less.
package histogram

import (
	"math/bits"
	"time"
)

const (
	// bins is the number of bins, each twice as wide as the one before: from under 1 ms to over 4 s.
	bins = 14
	// FirstBinWidth is the upper end of the first bin: below it all caches look alike.
	FirstBinWidth = time.Millisecond
	// minSamples is the number of times below which there are no quantiles.
	minSamples = bins
)

// Histogram counts times by size. The zero Histogram is empty and ready for use.
type Histogram [bins]uint32

// Observe counts one time.
func (h *Histogram) Observe(d time.Duration) {
	bin := bits.Len64(uint64(max(0, d) / FirstBinWidth))
	h[min(bins-1, bin)]++
}

// Decay halves all counts, as long as enough are left for quantiles.
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

// Quantile returns the time that the share q of all stays under, interpolated within a bin; or otherwise while there
// are too few.
func (h *Histogram) Quantile(q float64, otherwise time.Duration) time.Duration {
	total := h.total()
	if total < minSamples {
		return otherwise
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

// CountAbove returns about how many times were longer than d.
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
