package settings

import (
	"math"
	"time"

	"github.com/valyala/fastjson"
)

// maxSeconds bounds the magnitude of a duration, in seconds, so that it fits a time.Duration.
const maxSeconds = 1e9

// Number returns the value of a finite JSON number, and 0 for anything else, including a missing value.
func Number(v *fastjson.Value) float64 {
	if v == nil {
		return 0
	}
	x := v.GetFloat64()
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return 0
	}
	return x
}

// Seconds converts a JSON number of seconds to a duration, rounded to the microsecond. Anything but a finite number
// gives 0.
func Seconds(v *fastjson.Value) time.Duration {
	bounded := min(max(Number(v), -maxSeconds), maxSeconds)
	return time.Duration(math.Round(bounded*1e6)) * time.Microsecond
}

// isSet reports whether a key is present and not null; null stands for the default.
func isSet(v *fastjson.Value) bool { return v != nil && v.Type() != fastjson.TypeNull }
