package endpointlist

import (
	"math"
	"time"

	"github.com/valyala/fastjson"
)

// maxStartMs is the latest start time that can be stated, in Unix milliseconds: a later one does not fit into a
// time.Duration since the Unix epoch.
const maxStartMs = float64(math.MaxInt64 / int64(time.Millisecond))

// StartMs returns the start time of an endpoint's process, in Unix milliseconds, for the number that a list states. It
// returns 0, which stands for a start time that is not stated, if the number is not a time from the Unix epoch to
// maxStartMs. The result can be converted to an integer or to a time.Duration on any processor.
func StartMs(stated float64) float64 {
	if stated >= 0 && stated <= maxStartMs { // false for NaN
		return stated
	}
	return 0
}

// Age returns the time since the start of an endpoint's process, as an entry of a Snapshot states it. ok is false if
// the entry states none.
func Age(entry *fastjson.Value) (age time.Duration, ok bool) {
	stated := entry.GetFloat64("ageMs")
	if !entry.Exists("ageMs") || StartMs(stated) != stated {
		return 0, false
	}
	return time.Duration(stated * float64(time.Millisecond)), true
}
