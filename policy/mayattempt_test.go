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

// If the deduplication window ends before the deadline, an endpoint that executes an attempt late would execute it a
// second time, as the repeat may have been executed elsewhere and its key forgotten. The window counts from the first
// attempt that may have run, also for the first attempt itself.
func TestKeyedWriteMustBeExecutedWithinItsDedupWindow(t *testing.T) {
	const window = 300 * ms
	for _, c := range []struct {
		name    string
		window  time.Duration
		class   ClassID
		results []Result // of attempts that end 100 ms after they were sent
		want    time.Duration
	}{
		{name: "first attempt", window: window, class: keyedClass, want: window},
		{name: "window longer than the deadline", window: time.Hour, class: keyedClass, want: 800 * ms},
		{name: "no window", window: 0, class: keyedClass, want: 800 * ms},
		{name: "idempotent", window: window, class: readClass, want: 800 * ms},
		{name: "repeat", window: window, class: keyedClass, results: []Result{ConnectionBroken}, want: window},
		{name: "retry of an attempt that was not executed", window: window, class: keyedClass,
			results: []Result{Rejected}, want: 100*ms + window},
		{name: "two repeats", window: window, class: keyedClass,
			results: []Result{ConnectionBroken, ConnectionBroken}, want: window},
		{name: "repeat after an attempt that was not executed", window: window, class: keyedClass,
			results: []Result{ConnectFailed, ConnectionBroken}, want: 100*ms + window},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.HedgingAllowed = false
			settings.Classes[keyedClass].DedupWindow = c.window
			h := newHarness(t, settings, testFleet(12, false))
			h.now = Instant(time.Second)
			r, decision := h.arrive("k", c.class, c.class == keyedClass)
			for _, result := range c.results {
				h.now = h.now.Add(100 * ms)
				decision = h.endLast(r, result)
			}
			if len(decision.SendTo) == 0 {
				t.Fatal("no attempt was sent")
			}
			got := decision.ExecuteBy.Since(r.ArrivedAt)
			if got > c.want || got < c.want-2*settings.TickInterval {
				t.Errorf("must be executed within %v, want %v less at most two timer steps", got, c.want)
			}
			if want := r.Deadline.Add(-2 * settings.TickInterval); decision.AttemptDeadline != want {
				t.Errorf("the attempt times out at %v, want %v", decision.AttemptDeadline, want)
			}
		})
	}
}
