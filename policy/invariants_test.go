package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// modelAllowsAttempt is a plain model of what may be sent. It uses nothing of the package but its types.
func modelAllowsAttempt(
	settings Settings, listed map[EndpointID]Endpoint, now Instant, r *Request, id EndpointID,
) bool {
	endpoint, known := listed[id]
	if !known || endpoint.Lifecycle != Ready {
		return false
	}
	if r.Finished || len(r.Attempts) >= settings.MaxAttempts || now >= r.Deadline {
		return false
	}
	if settings.CacheAside && r.Write && endpoint.Kind != settings.OriginKind { // caches only store
		return false
	}
	class := modelClass(settings, r)
	for _, attempt := range r.Attempts {
		if attempt.InFlight && !settings.HedgingAllowed {
			return false
		}
		if !modelMayHaveRun(attempt) || class.Idempotency == Idempotent {
			continue
		}
		earlier := listed[attempt.Endpoint]
		repeatsDropped := class.DedupScope == AllCaches ||
			class.DedupScope == SameZone && earlier.Zone == endpoint.Zone ||
			class.DedupScope == SameGroup && earlier.Group == endpoint.Group
		windowOver := now-attempt.SentAt >= Instant(class.DedupWindow)
		if class.Idempotency == NotIdempotent || !repeatsDropped || windowOver {
			return false
		}
	}
	return true
}

// modelAllowsAnswer is a plain model of rejections: only where a retry by the client is sure to do no harm.
func modelAllowsAnswer(settings Settings, r *Request, answer FinalAnswer) bool {
	class := modelClass(settings, r)
	return answer == Fail || class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupScope == AllCaches ||
		!slices.ContainsFunc(r.Attempts, modelMayHaveRun)
}

func modelMayHaveRun(attempt Attempt) bool {
	return attempt.InFlight || !slices.Contains([]Result{Rejected, ConnectFailed, NotSent, CacheMiss}, attempt.Result)
}

func modelClass(settings Settings, r *Request) ServiceClass {
	if r.Class >= 0 && int(r.Class) < len(settings.Classes) {
		return settings.Classes[r.Class]
	}
	return ServiceClass{}
}

// FuzzRules plays generated events and holds every decision against the plain model.
func FuzzRules(f *testing.F) {
	for seed := range int64(40) {
		steps := make([]byte, 400)
		rand.New(rand.NewSource(seed)).Read(steps)
		f.Add(seed%2 == 0, seed%3 != 0, steps)
	}
	f.Fuzz(func(t *testing.T, cacheAside, hedging bool, steps []byte) {
		settings := testSettings()
		settings.CacheAside = cacheAside
		settings.HedgingAllowed = hedging
		settings.HealthChecksAllowed = hedging
		h := newHarness(t, settings, testFleet(9, cacheAside))
		for i := 0; i+1 < len(steps) && i < 1000; i += 2 {
			h.playStep(steps[i], int(steps[i+1]))
		}
		h.advance(time.Second)
		for _, r := range h.requests {
			if !r.Finished {
				t.Fatalf("%v was lost", r.ID)
			}
		}
	})
}

// playStep plays one generated event.
func (h *harness) playStep(kind byte, argument int) {
	h.t.Helper()
	switch {
	case kind < 100:
		h.arrive(fmt.Sprint("key", argument%7), ClassID(argument%6)-1, argument%3 == 0)
	case kind < 190:
		h.endSomeAttempt(argument)
	case kind < 205:
		h.update(DeltaUpdate, Endpoint{
			ID:        EndpointID(fmt.Sprintf("cache-%d", argument%12)),
			Lifecycle: Lifecycle(argument / 12 % 3),
			StartedAt: h.now,
			Zone:      "here",
			Group:     GroupID(argument % 2),
		})
	case kind < 208:
		h.update(PollFailed)
	default:
		h.advance(time.Duration(argument%60) * ms)
	}
}

// endSomeAttempt ends the first attempt in flight from a request on, which argument picks along with the result.
func (h *harness) endSomeAttempt(argument int) {
	h.t.Helper()
	for i := range h.requests {
		r := h.requests[(i+argument)%len(h.requests)]
		for attempt := range r.Attempts {
			if r.Attempts[attempt].InFlight {
				h.end(r, attempt, Result(argument%9))
				return
			}
		}
	}
}

// FuzzMayAttempt asks the router and the plain model what is allowed, in states that FuzzRules might never reach.
func FuzzMayAttempt(f *testing.F) {
	for seed := range int64(300) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		chance := rand.New(rand.NewSource(seed))
		settings := testSettings()
		settings.HedgingAllowed = chance.Intn(2) == 0
		settings.MaxAttempts = 1 + chance.Intn(4)
		settings.Classes[keyedClass].DedupWindow = 400 * ms
		settings.Classes[keyedInGroupClass].DedupScope = DedupScope(chance.Intn(3))
		h := newHarness(t, settings, testFleet(6, false))
		r := drawRequest(chance)
		h.router.assess(0, r)
		for range chance.Intn(4) {
			r.Attempts = append(r.Attempts, drawAttempt(chance))
		}
		h.now = Instant(300+chance.Intn(400)) * Instant(ms)
		endpoint := h.listed["cache-1"]
		endpoint.Lifecycle = Lifecycle(chance.Intn(2))
		h.update(DeltaUpdate, endpoint)
		h.compareWithModel(r, endpoint)
	})
}

func drawRequest(chance *rand.Rand) *Request {
	class := ClassID(chance.Intn(6) - 1)
	return &Request{Class: class, Deadline: Instant(800 * ms), Finished: chance.Intn(9) == 0}
}

func drawAttempt(chance *rand.Rand) Attempt {
	return Attempt{
		Endpoint: EndpointID(fmt.Sprintf("cache-%d", chance.Intn(6))),
		SentAt:   Instant(chance.Intn(300)) * Instant(ms),
		InFlight: chance.Intn(4) == 0,
		Result:   Result(chance.Intn(9)),
	}
}

// compareWithModel checks what the router says of a request and an endpoint. The router may be stricter only by the
// ticks that it keeps in hand before a limit.
func (h *harness) compareWithModel(r *Request, endpoint Endpoint) {
	h.t.Helper()
	got := h.router.mayAttempt(h.now, r, h.cache(endpoint.ID))
	want := modelAllowsAttempt(h.settings, h.listed, h.now, r, endpoint.ID)
	if got && !want {
		h.t.Errorf("at %v an attempt at %v is not allowed: %+v", h.now, endpoint, r)
	}
	later := h.now.Add(2 * h.settings.TickInterval)
	stillWanted := modelAllowsAttempt(h.settings, h.listed, later, r, endpoint.ID) && later < r.Deadline
	if want && !got && stillWanted {
		h.t.Errorf("at %v an attempt at %v is allowed: %+v", h.now, endpoint, r)
	}
	answer := h.router.giveUp(r).Answer
	if !modelAllowsAnswer(h.settings, r, answer) {
		h.t.Errorf("answer %v is not allowed: %+v", answer, r)
	}
	if answer == Fail && modelAllowsAnswer(h.settings, r, Reject) {
		h.t.Errorf("a failure where a rejection is allowed: %+v", r)
	}
}
