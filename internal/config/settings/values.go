package settings

import (
	"math"
	"time"

	"github.com/valyala/fastjson"
)

// maxSeconds bounds a duration in either direction, in seconds, so that its microseconds fit a time.Duration.
const maxSeconds = 1e9

// Number returns a JSON number if it is finite. Everything else, a missing value included, is 0.
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

// Seconds returns a JSON number of seconds as a duration, rounded to the microsecond. What is no finite number is 0.
func Seconds(v *fastjson.Value) time.Duration {
	bounded := min(max(Number(v), -maxSeconds), maxSeconds)
	return time.Duration(math.Round(bounded*1e6)) * time.Microsecond
}

// isSet tells whether a key is present with a value other than null, which stands for the default.
func isSet(v *fastjson.Value) bool { return v != nil && v.Type() != fastjson.TypeNull }
