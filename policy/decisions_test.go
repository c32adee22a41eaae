package policy_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand"
	"os"
	"strings"
	"testing"
	"time"

	"dahliapin/policy"
)

var update = flag.Bool("update", false, "rewrite the recorded hashes; only for an intended change of decisions")

const (
	recordedSeeds = 48
	recordedSteps = 4000
	hashesFile    = "testdata/decisions.txt"
	rejectingFile = "testdata/decisions-rejecting.txt"
)

// A refactoring of the package must not change any decision, nor the order of its random draws. Each seed generates a
// deployment, with all options of the settings, and a stream of events; the hash covers all arguments and results.
func TestDecisionsMatchRecordedHashes(t *testing.T) {
	compareHashes(t, hashesFile, newDriver)
}

// Covers a path that the streams of newDriver do not reach and that a release changed by mistake: a read that waits for
// the origin after its last replicas were full, while another request's fetch of its key ends. Here most attempts are
// rejected.
func TestDecisionsUnderRejectionsMatchRecordedHashes(t *testing.T) {
	compareHashes(t, rejectingFile, func(seed int64) *driver {
		d := newDriver(seed)
		d.rejecting = true
		return d
	})
}

// compareHashes compares the hash of each seed's stream with the recorded one.
func compareHashes(t *testing.T, file string, newDriver func(seed int64) *driver) {
	t.Helper()
	var got strings.Builder
	for seed := range int64(recordedSeeds) {
		fmt.Fprintf(&got, "%d %016x\n", seed, newDriver(seed).run(recordedSteps))
	}
	if *update {
		if err := os.WriteFile(file, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() == string(want) {
		return
	}
	wanted := strings.Split(string(want), "\n")
	for i, line := range strings.Split(got.String(), "\n") {
		if i >= len(wanted) || line != wanted[i] {
			t.Errorf("seed and hash are %q, want %q", line, wanted[min(i, len(wanted)-1)])
		}
	}
}

// driver runs a stream of generated events against one router.
type driver struct {
	rng       *rand.Rand
	settings  policy.Settings
	router    *policy.Router
	now       policy.Instant
	endpoints []policy.Endpoint
	requests  []*policy.Request
	reviews   map[policy.RequestID]policy.Instant // when to call Route again
	arrived   int
	sum       hash.Hash64
	rejecting bool // most attempts are rejected
}

func newDriver(seed int64) *driver {
	d := &driver{
		rng:     rand.New(rand.NewSource(seed)),
		now:     policy.Instant(time.Hour),
		reviews: map[policy.RequestID]policy.Instant{},
		sum:     fnv.New64a(),
	}
	d.settings = d.drawSettings()
	d.router = policy.New(d.now, seed, d.settings)
	for i := range 4 + d.rng.Intn(60) {
		d.endpoints = append(d.endpoints, d.drawEndpoint(i))
	}
	d.update(policy.CompleteUpdate, d.endpoints)
	return d
}

func (d *driver) oneOf(values ...float64) float64 { return values[d.rng.Intn(len(values))] }

func (d *driver) span(low, high time.Duration) time.Duration {
	return low + time.Duration(d.rng.Int63n(int64(high-low)))
}

func (d *driver) drawSettings() policy.Settings {
	// The random draws follow the order of the fields. Another order would generate another deployment.
	r := policy.Settings{
		Zone:                "a",
		Nodes:               1 + d.rng.Intn(40),
		CacheAside:          d.rng.Intn(3) > 0,
		OriginKind:          1,
		PollEndpoints:       d.rng.Intn(2) == 0,
		OverQuotaWeight:     d.oneOf(0, 0.1, 1),
		CrossZoneCost:       d.oneOf(0, 0, 0.02, 0.2),
		WasteCost:           d.oneOf(0, 0.04, 0.5),
		MaxAttempts:         1 + d.rng.Intn(5),
		IdleTimeout:         d.span(time.Second, 20*time.Second),
		HedgingAllowed:      d.rng.Intn(2) == 0,
		CancelAllowed:       d.rng.Intn(2) == 0,
		HealthChecksAllowed: d.rng.Intn(2) == 0,
		MaxRetryAfter:       time.Duration(d.oneOf(0, 6e8)),
		TickInterval:        2 * time.Millisecond,
		PollInterval:        2 * time.Second,
		SlowStartShare:      d.oneOf(0.1, 0.4),
		SlowStartDuration:   d.span(time.Second, 20*time.Second),
		OverloadFactor:      d.oneOf(0, 1.5, 3),
		QueueColumn:         -1,
		InFlightColumn:      -1,
	}
	switch d.rng.Intn(3) {
	case 0:
		r.QueueColumn = 1
	case 1:
		r.InFlightColumn = 0
	}
	for _, idempotency := range []policy.Idempotency{
		policy.Idempotent, policy.IdempotentByKey, policy.NotIdempotent, policy.Idempotent,
	} {
		r.Classes = append(r.Classes, policy.ServiceClass{
			PriorityWeight:   d.oneOf(0.1, 1, 8),
			LatencyObjective: d.span(20*time.Millisecond, 400*time.Millisecond),
			LateValue:        d.oneOf(0, 0.3),
			Idempotency:      idempotency,
			DedupScope:       policy.DedupScope(d.rng.Intn(3)),
			DedupWindow:      d.span(50*time.Millisecond, 5*time.Second),
		})
	}
	for range d.rng.Intn(4) {
		r.Tenants = append(r.Tenants, policy.Tenant{QuotaPerSecond: d.oneOf(0, 20, 500)})
	}
	return r
}

func (d *driver) drawEndpoint(i int) policy.Endpoint {
	zones := []policy.ZoneID{"a", "a", "b", "c"}
	e := policy.Endpoint{
		ID:     policy.EndpointID(fmt.Sprintf("c%d", i)),
		Zone:   zones[d.rng.Intn(4)],
		Group:  policy.GroupID(d.rng.Intn(4)),
		Weight: d.oneOf(0, 0.5, 1, 2),
	}
	if i == 0 {
		e.Kind = d.settings.OriginKind
	}
	return e
}

func (d *driver) update(kind policy.UpdateKind, entries []policy.Endpoint) {
	d.record(uint64(kind), uint64(len(entries)))
	d.router.UpdateEndpoints(d.now, kind, entries)
}

func (d *driver) run(steps int) uint64 {
	nextTick := d.now
	for range steps {
		d.now = d.now.Add(d.span(0, 4*time.Millisecond))
		if d.now >= nextTick {
			nextTick = d.now.Add(d.tick())
		}
		d.review()
		switch n := d.rng.Intn(100); {
		case n < 40:
			d.arrive()
		case n < 94:
			d.endOne()
		case n < 96:
			d.mayStart()
		case n < 97:
			d.checkHealth()
		case n < 98:
			d.abandon()
		default:
			d.changeEndpoints()
		}
	}
	return d.sum.Sum64()
}

func (d *driver) tick() time.Duration {
	wait, actions := d.router.Tick(d.now)
	d.record(uint64(wait))
	for _, c := range actions {
		d.record(uint64(c.Kind))
		d.recordText(string(c.Endpoint))
	}
	d.router.NotifyStateChanges(d.now, func(id policy.EndpointID, s policy.EndpointState) {
		d.recordText(string(id))
		d.record(uint64(s))
	})
	return wait
}

func (d *driver) review() {
	for _, r := range d.requests {
		if at, ok := d.reviews[r.ID]; ok && !r.Finished && d.now >= at {
			delete(d.reviews, r.ID)
			d.carryOut(r, d.router.Route(d.now, r))
		}
	}
}

func (d *driver) arrive() {
	// half of the requests are for a few popular keys, so that several requests fetch the same key
	key := fmt.Sprint(d.rng.Intn(8))
	if d.rng.Intn(2) == 0 {
		key = fmt.Sprint(d.rng.Intn(5000))
	}
	d.arrived++
	r := &policy.Request{
		ID:        policy.RequestID(fmt.Sprint("r", d.arrived)),
		Key:       key,
		Class:     policy.ClassID(d.rng.Intn(len(d.settings.Classes)+2) - 1),
		Tenant:    policy.TenantID(d.rng.Intn(4) - 1),
		Write:     d.rng.Intn(5) == 0,
		ArrivedAt: d.now,
		Deadline:  d.now.Add(d.span(10*time.Millisecond, 800*time.Millisecond)),
	}
	d.requests = append(d.requests, r)
	d.carryOut(r, d.router.Route(d.now, r))
}

func (d *driver) carryOut(r *policy.Request, decision policy.Decision) {
	d.recordText(string(r.ID))
	d.record(uint64(decision.AttemptDeadline), uint64(decision.Answer))
	d.record(uint64(decision.RetryAfter), uint64(decision.ReviewAt))
	d.record(uint64(len(decision.SendTo)), uint64(len(decision.Cancel)))
	for _, to := range decision.SendTo {
		d.recordText(string(to))
		r.Attempts = append(r.Attempts, policy.Attempt{Endpoint: to, SentAt: d.now, InFlight: true})
	}
	for _, attempt := range decision.Cancel {
		d.record(uint64(attempt))
	}
	if decision.Answer != policy.NoAnswer {
		r.Finished = true
	}
	if decision.ReviewAt != 0 {
		d.reviews[r.ID] = decision.ReviewAt
	}
	for _, attempt := range decision.Cancel {
		if r.Attempts[attempt].InFlight {
			d.end(r, attempt, policy.Cancelled)
		}
	}
	for _, id := range decision.Wake {
		d.recordText(string(id))
		if woken := d.request(id); woken != nil && !woken.Finished {
			delete(d.reviews, id)
			d.carryOut(woken, d.router.Route(d.now, woken))
		}
	}
	d.forget(r)
}

func (d *driver) request(id policy.RequestID) *policy.Request {
	for _, r := range d.requests {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// forget removes a request that is finished and has no attempt in flight.
func (d *driver) forget(r *policy.Request) {
	if !r.Finished || inFlight(r) >= 0 {
		return
	}
	for i, other := range d.requests {
		if other == r {
			d.requests = append(d.requests[:i], d.requests[i+1:]...)
			delete(d.reviews, r.ID)
			return
		}
	}
}

func inFlight(r *policy.Request) int {
	for i, attempt := range r.Attempts {
		if attempt.InFlight {
			return i
		}
	}
	return -1
}

func (d *driver) endOne() {
	if len(d.requests) == 0 {
		return
	}
	r := d.requests[d.rng.Intn(len(d.requests))]
	if attempt := inFlight(r); attempt >= 0 {
		d.end(r, attempt, d.drawResult())
	}
}

func (d *driver) drawResult() policy.Result {
	if d.rejecting && d.rng.Intn(5) < 3 {
		return policy.Rejected
	}
	if d.rng.Intn(3) > 0 {
		return policy.Answered
	}
	return policy.Result(d.rng.Intn(int(policy.CacheMiss) + 1))
}

func (d *driver) end(r *policy.Request, attempt int, result policy.Result) {
	r.Attempts[attempt].InFlight = false
	r.Attempts[attempt].Result = result
	r.Finished = r.Finished || result == policy.Answered
	o := policy.Outcome{Attempt: attempt, Latency: d.now.Since(r.Attempts[attempt].SentAt)}
	if d.rng.Intn(2) == 0 {
		o.LoadReport = []float64{d.rng.Float64() * 10, d.rng.Float64() * 5}
	}
	d.carryOut(r, d.router.OnAttemptDone(d.now, r, o))
}

func (d *driver) mayStart() {
	if len(d.requests) == 0 {
		return
	}
	r := d.requests[d.rng.Intn(len(d.requests))]
	if attempt := inFlight(r); attempt >= 0 {
		may := uint64(0)
		if d.router.MayStart(d.now, *r, attempt) {
			may = 1
		}
		d.record(may)
	}
}

func (d *driver) checkHealth() {
	id := d.endpoints[d.rng.Intn(len(d.endpoints))].ID
	d.router.OnHealthCheck(d.now, id, d.drawResult())
}

// abandon disconnects a client before it has its answer.
func (d *driver) abandon() {
	if len(d.requests) > 0 {
		r := d.requests[d.rng.Intn(len(d.requests))]
		r.Finished = true
		d.forget(r)
	}
}

func (d *driver) changeEndpoints() {
	switch d.rng.Intn(8) {
	case 0:
		d.update(policy.PollFailed, nil)
	case 1:
		d.update(policy.LastKnownUpdate, d.endpoints)
	case 2:
		d.update(policy.CompleteUpdate, d.endpoints)
	case 3:
		e := d.drawEndpoint(len(d.endpoints))
		e.StartedAt = d.now
		d.endpoints = append(d.endpoints, e)
		d.update(policy.DeltaUpdate, []policy.Endpoint{e})
	default:
		e := &d.endpoints[d.rng.Intn(len(d.endpoints))]
		e.Lifecycle = policy.Lifecycle(d.rng.Intn(5) / 2)
		if e.Lifecycle != policy.Ready && d.rng.Intn(2) == 0 {
			e.Lifecycle = policy.Ready
		}
		if d.rng.Intn(2) == 0 {
			e.StartedAt = d.now
		}
		d.update(policy.DeltaUpdate, []policy.Endpoint{*e})
	}
}

func (d *driver) record(values ...uint64) {
	for _, v := range values {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], v)
		d.sum.Write(b[:])
	}
}

func (d *driver) recordText(s string) {
	d.record(math.MaxUint64, uint64(len(s)))
	d.sum.Write([]byte(s))
}
