// Package tally keeps times in small histograms with few coarse bins.
package histogram

import (
	"math/bits"
	"time"
)

const (
	bins     = 14               // each twice the last: from under 1 ms to over 4 s
	FirstBin = time.Millisecond // upper end of the first bin; below this all caches look alike
	known    = bins             // samples below which a histogram says nothing
)

// Histogram counts times by size.
type Histogram [bins]uint32

// Observe counts one time.
func (h *Histogram) Observe(d time.Duration) {
	h[min(bins-1, bits.Len64(uint64(max(0, d)/FirstBin)))]++
}

// Decay lets what is old count for less, as long as enough is left to say something.
func (h *Histogram) Decay() {
	if h.total() < 2*known {
		return
	}
	for i := range h {
		h[i] /= 2
	}
}

func (h *Histogram) total() (n float64) {
	for _, c := range h {
		n += float64(c)
	}
	return n
}

// Quantile returns the time that the share q stays under, or otherwise while little is known.
func (h *Histogram) Quantile(q float64, otherwise time.Duration) time.Duration {
	want, low := q*h.total(), time.Duration(0)
	if h.total() < known {
		return otherwise
	}
	for i, n := range h {
		high := FirstBin << i
		if float64(n) >= want {
			return low + time.Duration(want/float64(max(n, 1))*float64(high-low))
		}
		want, low = want-float64(n), high
	}
	return low
}

// CountAbove returns about how many times were longer than d.
func (h *Histogram) CountAbove(d time.Duration) (n float64) {
	low := time.Duration(0)
	for i, c := range h {
		high := FirstBin << i
		n += float64(c) * min(1, max(0, float64(high-d)/float64(high-low)))
		low = high
	}
	return n
}
