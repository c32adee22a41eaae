package world

import (
	"math"
	"sort"
	"strconv"
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/policy"
)

const (
	// minRate is the lowest rate of arrivals, in requests per second. At a rate of zero the next arrival would be
	// infinitely late, and a higher rate set later would have no effect.
	minRate = 0.01
	// firstBackoff is how long a client waits before its first retry if it got no Retry-After. The backoff doubles
	// with each retry.
	firstBackoff = 8 * time.Millisecond
)

// Request is one try of a client.
type Request struct {
	ID       string // new with each try
	Key      string
	Label    string // the idempotency key, the same with each try; "" for none
	Class    int
	Try      int            // from 1
	First    policy.Instant // when the first try was sent
	Sent     policy.Instant // when this try was sent
	Deadline time.Duration  // how long the client waits
	Leaves   time.Duration  // time after which it disconnects without an answer; 0 for never
}

// TrafficPlan describes what clients request.
type TrafficPlan struct {
	PerSecond        float64
	Swing            float64       // amplitude of the periodic change of the rate, as a share of it
	SwingPeriod      time.Duration // period of that change
	Keys             int
	Zipf             float64 // exponent of the keys' popularity
	Classes          []Class
	Seed             uint32
	Jitter           float64 // maximum random addition to a backoff, as a share of it
	Leaves           float64 // share of tries whose client disconnects before its deadline
	MaxLeaveTime     time.Duration
	Short            float64 // share of tries whose client waits less than its class's deadline
	MaxShortDeadline time.Duration
}

// Traffic generates open-loop arrivals: clients send whether or not earlier requests have been answered.
type Traffic struct {
	TrafficPlan
	random      keyhash.Source
	popularity  []float64 // cumulative, by rank
	classShares []float64 // cumulative
	lastID      uint64
	burst       float64 // factor applied to the rate
	hotKey      string
	hotShare    float64 // share of reads that are for the hot key
}

// NewTraffic returns the traffic of a plan.
func NewTraffic(p TrafficPlan) *Traffic {
	t := &Traffic{TrafficPlan: p, burst: 1, popularity: make([]float64, p.Keys)}
	t.random.Seed = p.Seed
	total := 0.0
	for i := range t.popularity {
		total += math.Pow(float64(i+1), -p.Zipf)
		t.popularity[i] = total
	}
	total = 0
	for _, class := range p.Classes {
		total += class.Share
		t.classShares = append(t.classShares, total)
	}
	return t
}

// Rate returns the number of first tries per second at an instant.
func (t *Traffic) Rate(now policy.Instant) float64 {
	rate := t.PerSecond * t.burst
	if t.SwingPeriod > 0 {
		rate *= 1 + t.Swing*math.Sin(2*math.Pi*float64(now)/float64(t.SwingPeriod))
	}
	return rate
}

// Next draws when the next first try is sent.
func (t *Traffic) Next(now policy.Instant) policy.Instant {
	gap := -math.Log(1-t.random.Float64()) / max(minRate, t.Rate(now))
	return now.Add(max(1, time.Duration(gap*float64(time.Second))))
}

// KeyOf returns the key of a popularity rank; rank 0 is the most popular.
func KeyOf(rank int) string { return "pack:" + strconv.Itoa(rank) }

// drawFrom draws an index by cumulative weights.
func (t *Traffic) drawFrom(cumulative []float64) int {
	x := t.random.Float64() * cumulative[len(cumulative)-1]
	return sort.SearchFloat64s(cumulative, x)
}

// Draw draws a first try that is sent now.
func (t *Traffic) Draw(now policy.Instant) Request {
	class := t.drawFrom(t.classShares)
	r := Request{Class: class, Key: KeyOf(t.drawFrom(t.popularity)), Try: 1, First: now, Sent: now}
	c := &t.Classes[class]
	if !c.Write && t.hotKey != "" && t.random.Float64() < t.hotShare {
		r.Key = t.hotKey
	}
	r.ID = t.newID()
	r.Deadline = t.clientTimeout(r.ID, c.Deadline)
	r.Leaves = t.leavesAfter(r.ID)
	if c.Idempotency == policy.IdempotentByKey {
		r.Label = "l" + r.ID
	}
	return r
}

// leavesAfter returns how long after sending a try its client disconnects, 0 for never. It is derived from the try's
// id, so that the other random draws are the same as without clients that disconnect.
func (t *Traffic) leavesAfter(id string) time.Duration {
	random := keyhash.Source{Seed: uint32(keyhash.String(id))}
	if random.Float64() >= t.Leaves {
		return 0
	}
	return max(1, time.Duration(random.Float64()*float64(t.MaxLeaveTime)))
}

// clientTimeout returns how long the client of a try waits: its class's deadline, or between half and all of
// MaxShortDeadline. It is derived from the try's id, like leavesAfter.
func (t *Traffic) clientTimeout(id string, classDeadline time.Duration) time.Duration {
	random := keyhash.Source{Seed: ^uint32(keyhash.String(id))}
	if random.Float64() >= t.Short {
		return classDeadline
	}
	return min(classDeadline, max(1, time.Duration((1+random.Float64())/2*float64(t.MaxShortDeadline))))
}

func (t *Traffic) newID() string {
	t.lastID++
	return strconv.FormatUint(keyhash.Mix(uint64(t.Seed)<<32|t.lastID), 16)
}

// SetBurst multiplies the rate by a factor; 1 ends the burst.
func (t *Traffic) SetBurst(times float64) { t.burst = times }

// SetHotKey directs a share of the reads to one key; 0 ends the hot spot.
func (t *Traffic) SetHotKey(key string, share float64) {
	t.hotKey = key
	t.hotShare = share
}

// Retry returns a client's next try after an unsuccessful one, when it is sent, and whether there is one. A rejected
// try had no effect and may always be retried; a failed one only if mayRepeat allows it.
func (t *Traffic) Retry(
	now policy.Instant, r Request, rejected bool, retryAfter time.Duration,
) (next Request, at policy.Instant, ok bool) {
	class := &t.Classes[r.Class]
	if r.Try >= class.Tries || !rejected && !mayRepeat(class) {
		return r, 0, false
	}
	wait := retryAfter
	if wait == 0 {
		wait = firstBackoff << (r.Try - 1)
	}
	wait += time.Duration(float64(wait) * t.Jitter * t.random.Float64())
	r.Try++
	r.ID = t.newID()
	r.Sent = now.Add(wait)
	r.Deadline = t.clientTimeout(r.ID, class.Deadline)
	r.Leaves = t.leavesAfter(r.ID)
	lastsFor := r.Sent.Add(r.Deadline).Since(r.First)
	if class.Idempotency == policy.IdempotentByKey && lastsFor > class.DedupWindow {
		return r, 0, false // the retry might be executed after its idempotency key has expired
	}
	return r, r.Sent, true
}

// mayRepeat reports whether a request that may have taken effect may be sent again: only if it is idempotent, or if all
// caches deduplicate it by its key.
func mayRepeat(class *Class) bool {
	switch class.Idempotency {
	case policy.NotIdempotent:
		return false
	case policy.IdempotentByKey:
		return class.DedupScope == policy.AllCaches
	}
	return true
}
