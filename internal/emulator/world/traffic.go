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
	// minRate, in requests per second, keeps the next arrival finite at a rate of zero, so that a later rate takes effect.
	minRate = 0.01
	// firstBackoff is how long a client waits before its first retry if no Retry-After is given. It doubles with each
	// retry.
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
	Leaves   time.Duration  // time after which it leaves without an answer; 0 for never
}

// TrafficPlan describes what clients request.
type TrafficPlan struct {
	PerSecond        float64
	Swing            float64       // share by which the rate rises and falls
	SwingPeriod      time.Duration // the period of Swing
	Keys             int
	Zipf             float64 // exponent of popularity
	Classes          []Class
	Seed             uint32
	Jitter           float64 // share of a backoff that is added to it at most
	Leaves           float64 // share of tries whose client leaves before its deadline
	MaxLeaveTime     time.Duration
	Short            float64 // share of tries whose client waits less than its class's deadline
	MaxShortDeadline time.Duration
}

// Traffic generates open-loop arrivals: clients send whether or not earlier requests have been answered.
type Traffic struct {
	TrafficPlan
	random      keyhash.Source
	popularity  []float64 // cumulated, by rank
	classShares []float64 // cumulated
	lastID      uint64
	burst       float64 // factor of the usual rate
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

// KeyOf returns the key with a popularity rank.
func KeyOf(rank int) string { return "pack:" + strconv.Itoa(rank) }

// drawFrom draws an index by cumulated weights.
func (t *Traffic) drawFrom(cumulated []float64) int {
	x := t.random.Float64() * cumulated[len(cumulated)-1]
	return sort.SearchFloat64s(cumulated, x)
}

// Draw draws a first try that is sent now.
func (t *Traffic) Draw(now policy.Instant) Request {
	class := t.drawFrom(t.classShares)
	r := Request{Class: class, Key: KeyOf(t.drawFrom(t.popularity)), Try: 1, First: now, Sent: now}
	g := &t.Classes[class]
	if !g.Write && t.hotKey != "" && t.random.Float64() < t.hotShare {
		r.Key = t.hotKey
	}
	r.ID = t.newID()
	r.Deadline = t.clientTimeout(r.ID, g.Deadline)
	r.Leaves = t.leavesAfter(r.ID)
	if g.Idempotency == policy.IdempotentByKey {
		r.Label = "l" + r.ID
	}
	return r
}

// leavesAfter returns how long after sending a try its client leaves, 0 for never. It is derived from the try's id, so
// that the other random draws are the same as without clients that leave.
func (t *Traffic) leavesAfter(id string) time.Duration {
	random := keyhash.Source{Seed: uint32(keyhash.String(id))}
	if random.Float64() >= t.Leaves {
		return 0
	}
	return max(1, time.Duration(random.Float64()*float64(t.MaxLeaveTime)))
}

// clientTimeout returns how long the client of a try waits: its class's deadline, or between half and all of the short
// deadline. It is derived from the try's id, like leavesAfter.
func (t *Traffic) clientTimeout(id string, usual time.Duration) time.Duration {
	random := keyhash.Source{Seed: ^uint32(keyhash.String(id))}
	if random.Float64() >= t.Short {
		return usual
	}
	return min(usual, max(1, time.Duration((1+random.Float64())/2*float64(t.MaxShortDeadline))))
}

func (t *Traffic) newID() string {
	t.lastID++
	return strconv.FormatUint(keyhash.Mix(uint64(t.Seed)<<32|t.lastID), 16)
}

// SetBurst multiplies the rate; 1 ends it.
func (t *Traffic) SetBurst(times float64) { t.burst = times }

// SetHotKey directs a share of the reads to one key; 0 ends it.
func (t *Traffic) SetHotKey(key string, share float64) {
	t.hotKey = key
	t.hotShare = share
}

// Retry returns a client's next try after a reply that did not satisfy it, when it is sent, and whether there is
// one. A rejected try never had an effect; one that failed is retried only where mayRepeat.
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

// mayRepeat reports whether a request that may have taken effect may be sent again: only if a second execution does no
// harm, or if all caches deduplicate it.
func mayRepeat(class *Class) bool {
	switch class.Idempotency {
	case policy.NotIdempotent:
		return false
	case policy.IdempotentByKey:
		return class.DedupScope == policy.AllCaches
	}
	return true
}
