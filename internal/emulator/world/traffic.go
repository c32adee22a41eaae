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
	rarest   = 0.01                 // requests a second: a rate of nought is looked at again after its time
	firstOff = 8 * time.Millisecond // that a client waits before it asks again, doubled each time, where it is told no time
)

// Request is one try of a client.
type Request struct {
	ID       string // new with each try
	Key      string
	Label    string // the same with each try
	Class    int
	Try      int            // from 1
	First    policy.Instant // when the first try was sent
	Sent     policy.Instant // by the client
	Deadline time.Duration  // that the client waits
	Leaves   time.Duration  // after which it goes all the same; 0 for not
}

// TrafficPlan says what clients ask.
type TrafficPlan struct {
	PerSecond float64
	Swing     float64       // share by which the rate goes up and down
	Wave      time.Duration // in which it does so once
	Keys      int
	Zipf      float64 // exponent of popularity
	Classes   []Class
	Seed      uint32
	Jitter    float64 // of the time after which a client asks again
	Leaves    float64 // share of tries whose client goes before its deadline
	LeaveMost time.Duration
	Short     float64 // share of tries whose client waits less than its grade's deadline
	ShortMost time.Duration
}

// Traffic draws open-loop arrivals: they come whether or not earlier ones have been answered.
type Traffic struct {
	TrafficPlan
	chance keyhash.Source
	ranks  []float64 // cumulated popularity
	mix    []float64 // cumulated shares of grades
	drawn  uint64
	burst  float64 // times the usual rate
	hot    string
	hotBy  float64 // share of reads that go to the hot key
}

// NewTraffic makes it.
func NewTraffic(p TrafficPlan) *Traffic {
	t := &Traffic{TrafficPlan: p, burst: 1, ranks: make([]float64, p.Keys)}
	t.chance.Seed = p.Seed
	sum := 0.0
	for i := range t.ranks {
		sum += math.Pow(float64(i+1), -p.Zipf)
		t.ranks[i] = sum
	}
	sum = 0
	for _, g := range p.Classes {
		sum += g.Share
		t.mix = append(t.mix, sum)
	}
	return t
}

// Rate is the requests a second that begin by now, apart from repeats.
func (t *Traffic) Rate(now policy.Instant) float64 {
	r := t.PerSecond * t.burst
	if t.Wave > 0 {
		r *= 1 + t.Swing*math.Sin(2*math.Pi*float64(now)/float64(t.Wave))
	}
	return r
}

// Next tells when the next one comes.
func (t *Traffic) Next(now policy.Instant) policy.Instant {
	gap := -math.Log(1-t.chance.Float64()) / max(rarest, t.Rate(now))
	return now.Add(max(1, time.Duration(gap*float64(time.Second))))
}

// KeyOf names the key of a rank of popularity.
func KeyOf(rank int) string { return "pack:" + strconv.Itoa(rank) }

// Draw makes the request that comes now.
func (t *Traffic) Draw(now policy.Instant) Request {
	pick := func(cumulated []float64) int {
		x := t.chance.Float64() * cumulated[len(cumulated)-1]
		return sort.SearchFloat64s(cumulated, x)
	}
	r := Request{Class: pick(t.mix), Key: KeyOf(pick(t.ranks)), Try: 1, First: now, Sent: now}
	g := &t.Classes[r.Class]
	if !g.Write && t.hot != "" && t.chance.Float64() < t.hotBy {
		r.Key = t.hot
	}
	r.ID = t.name()
	r.Deadline, r.Leaves = t.waits(r.ID, g.Deadline), t.leaves(r.ID)
	if g.Idempotency == policy.IdempotentByKey {
		r.Label = "l" + r.ID
	}
	return r
}

// leaves tells when the client of a try goes. It goes by the try's id, so that all else is drawn as without.
func (t *Traffic) leaves(id string) time.Duration {
	of := keyhash.Source{Seed: uint32(keyhash.String(id))}
	if of.Float64() >= t.Leaves {
		return 0
	}
	return max(1, time.Duration(of.Float64()*float64(t.LeaveMost)))
}

// waits tells how long the client of a try waits: its grade's deadline, or half to all of the short time. By the try's id, as above.
func (t *Traffic) waits(id string, usual time.Duration) time.Duration {
	of := keyhash.Source{Seed: ^uint32(keyhash.String(id))}
	if of.Float64() >= t.Short {
		return usual
	}
	return min(usual, max(1, time.Duration((1+of.Float64())/2*float64(t.ShortMost))))
}

func (t *Traffic) name() string {
	t.drawn++
	return strconv.FormatUint(keyhash.Mix(uint64(t.Seed)<<32|t.drawn), 16)
}

// Burst multiplies the rate; 1 ends it.
func (t *Traffic) Burst(times float64) { t.burst = times }

// Heat sends a share of the reads to one key; 0 ends it.
func (t *Traffic) Heat(key string, share float64) { t.hot, t.hotBy = key, share }

// Again tells when a client tries again after an answer that did not satisfy it, if it does. A try that failed is made
// again only where a second run does no harm, or is dropped by all caches for as long as the client waits for it; one that was rejected never ran.
func (t *Traffic) Again(now policy.Instant, r Request, rejected bool, comeBack time.Duration) (Request, policy.Instant, bool) {
	g := &t.Classes[r.Class]
	if r.Try >= g.Tries || !rejected && (g.Idempotency == policy.NotIdempotent || g.Idempotency == policy.IdempotentByKey && g.DedupScope != policy.AllCaches) {
		return r, 0, false
	}
	wait := comeBack
	if wait == 0 {
		wait = firstOff << (r.Try - 1)
	}
	wait += time.Duration(float64(wait) * t.Jitter * t.chance.Float64())
	r.Try++
	r.ID, r.Sent = t.name(), now.Add(wait)
	r.Deadline, r.Leaves = t.waits(r.ID, g.Deadline), t.leaves(r.ID)
	if g.Idempotency == policy.IdempotentByKey && r.Sent.Add(r.Deadline).Since(r.First) > g.DedupWindow {
		return r, 0, false
	}
	return r, r.Sent, true
}
