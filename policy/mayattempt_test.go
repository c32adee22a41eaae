package policy

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// FuzzMayAttempt compares mayAttempt and rejectOrFail with the reference model, in states that FuzzInvariants might not
// reach.
func FuzzMayAttempt(f *testing.F) {
	for seed := range int64(300) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		rng := rand.New(rand.NewSource(seed))
		settings := testSettings()
		settings.HedgingAllowed = rng.Intn(2) == 0
		settings.MaxAttempts = 1 + rng.Intn(4)
		settings.Classes[keyedClass].DedupWindow = 400 * ms
		settings.Classes[keyedInGroupClass].DedupScope = DedupScope(rng.Intn(3))
		h := newHarness(t, settings, testFleet(6, false))
		r := drawRequest(rng)
		h.router.initState(0, r)
		for range rng.Intn(4) {
			r.Attempts = append(r.Attempts, drawAttempt(rng))
		}
		h.now = Instant(300+rng.Intn(400)) * Instant(ms)
		endpoint := h.listed["cache-1"]
		endpoint.Lifecycle = Lifecycle(rng.Intn(2))
		h.update(DeltaUpdate, endpoint)
		h.compareWithModel(r, endpoint)
	})
}

func drawRequest(rng *rand.Rand) *Request {
	class := ClassID(rng.Intn(6) - 1)
	return &Request{Class: class, Deadline: Instant(800 * ms), Finished: rng.Intn(9) == 0}
}

func drawAttempt(rng *rand.Rand) Attempt {
	return Attempt{
		Endpoint: EndpointID(fmt.Sprintf("cache-%d", rng.Intn(6))),
		SentAt:   Instant(rng.Intn(300)) * Instant(ms),
		InFlight: rng.Intn(4) == 0,
		Result:   Result(rng.Intn(9)),
	}
}

// compareWithModel compares the router's decisions on a request and an endpoint with the reference model. The router
// may be stricter only by the timer steps that it reserves before a limit.
func (h *harness) compareWithModel(r *Request, endpoint Endpoint) {
	h.t.Helper()
	got := h.router.mayAttempt(h.now, r, h.cache(endpoint.ID))
	want := modelAllowsAttempt(h.settings, h.listed, h.now, r, endpoint.ID)
	if got && !want {
		h.t.Errorf("at %v the router allows an attempt at %v that the model forbids: %+v", h.now, endpoint, r)
	}
	later := h.now.Add(2 * h.settings.TickInterval)
	stillWanted := modelAllowsAttempt(h.settings, h.listed, later, r, endpoint.ID) && later < r.Deadline
	if want && !got && stillWanted {
		h.t.Errorf("at %v the router refuses an attempt at %v that the model allows: %+v", h.now, endpoint, r)
	}
	answer := h.router.rejectOrFail(r).Answer
	if !modelAllowsAnswer(h.settings, r, answer) {
		h.t.Errorf("the model forbids answer %v: %+v", answer, r)
	}
	if answer == Fail && modelAllowsAnswer(h.settings, r, Reject) {
		h.t.Errorf("the request failed although the model allows a rejection: %+v", r)
	}
}

// While a connection opens, the endpoint may start to drain or leave the list, or the deduplication window of an
// earlier attempt may expire. The attempt must not be sent then.
func TestMayStartRechecksEndpointAndDedupWindow(t *testing.T) {
	leave := func(h *harness, endpoint Endpoint) {
		endpoint.Lifecycle = Removed
		h.update(DeltaUpdate, endpoint)
	}
	drain := func(h *harness, endpoint Endpoint) {
		endpoint.Lifecycle = Draining
		h.update(DeltaUpdate, endpoint)
	}
	for _, c := range []struct {
		name  string
		wait  time.Duration // since the first attempt
		event func(*harness, Endpoint)
		may   bool
	}{
		{name: "no change", wait: 100 * ms, event: func(*harness, Endpoint) {}, may: true},
		{name: "the endpoint drains", wait: 100 * ms, event: drain, may: false},
		{name: "the endpoint has left", wait: 100 * ms, event: leave, may: false},
		{name: "the deduplication window has expired", wait: 600 * ms, event: func(*harness, Endpoint) {}, may: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReadThroughHarness(t)
			r := &Request{Class: keyedClass, Deadline: Instant(800 * ms)}
			h.router.initState(0, r)
			r.Attempts = []Attempt{
				{Endpoint: "cache-1", Result: ConnectionBroken},
				{Endpoint: "cache-2", SentAt: Instant(50 * ms), InFlight: true},
			}
			h.now = h.now.Add(c.wait)
			c.event(h, h.listed["cache-2"])
			if may := h.router.MayStart(h.now, *r, 1); may != c.may {
				t.Errorf("MayStart returned %v, want %v", may, c.may)
			}
		})
	}
}
