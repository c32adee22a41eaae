package endpointlist

import (
	"math"
	"testing"
)

func TestStartTimeOutOfRangeCountsAsNotStated(t *testing.T) {
	for _, test := range []struct{ stated, want float64 }{
		{0, 0},
		{1, 1},
		{1_790_000_000_000.5, 1_790_000_000_000.5},
		{maxStartMs, maxStartMs},
		{math.Nextafter(maxStartMs, math.Inf(1)), 0},
		{-1, 0},
		{1e300, 0},
		{-1e300, 0},
		{math.NaN(), 0},
		{math.Inf(1), 0},
		{math.Inf(-1), 0},
	} {
		if got := StartMs(test.stated); got != test.want {
			t.Errorf("%v is read as %v, want %v", test.stated, got, test.want)
		}
	}
}
