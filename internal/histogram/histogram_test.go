package histogram

import (
	"testing"
	"time"
)

// filled returns a histogram of 100 samples: 90 of 1.5 ms and 10 of 100 ms.
func filled() *Histogram {
	var h Histogram
	for range 90 {
		h.Observe(1500 * time.Microsecond)
	}
	for range 10 {
		h.Observe(100 * time.Millisecond)
	}
	return &h
}

func TestQuantileInterpolatesWithinBin(t *testing.T) {
	h := filled()
	if got := h.Quantile(0.45, 0); got != 1500*time.Microsecond {
		t.Errorf("half of the bin from 1 to 2 ms: %v", got)
	}
	if got := h.Quantile(0.95, 0); got != 96*time.Millisecond {
		t.Errorf("half of the bin from 64 to 128 ms: %v", got)
	}
}

func TestQuantileOfTooFewSamplesIsFallback(t *testing.T) {
	var h Histogram
	for range minSamples - 1 {
		h.Observe(time.Second)
	}
	if got := h.Quantile(0.5, time.Minute); got != time.Minute {
		t.Errorf("got %v for %d samples", got, minSamples-1)
	}
}

// A histogram that decayed to empty would have no quantiles until new samples arrived.
func TestDecayKeepsEnoughSamplesForQuantiles(t *testing.T) {
	h := filled()
	for range 100 {
		h.Decay()
	}
	if got := h.total(); got < minSamples-2 || got >= 2*minSamples {
		t.Errorf("%v samples are left, want about %d", got, minSamples)
	}
}

func TestCountAbove(t *testing.T) {
	h := filled()
	for d, want := range map[time.Duration]float64{
		0:                       100,
		1500 * time.Microsecond: 55,
		10 * time.Millisecond:   10,
		96 * time.Millisecond:   5,
		time.Minute:             0,
	} {
		if got := h.CountAbove(d); got != want {
			t.Errorf("above %v: %v, want %v", d, got, want)
		}
	}
}

// Durations beyond the last bin count in the last bin; negative ones, from a clock that went back, count in the first.
func TestDurationsOutOfRangeAreCounted(t *testing.T) {
	var h Histogram
	h.Observe(-time.Second)
	h.Observe(time.Hour)
	if h[0] != 1 || h[bins-1] != 1 {
		t.Errorf("counts are %v, want one in the first and one in the last bin", h)
	}
}
