package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// modelAllowsAttempt is the reference model of which attempts are allowed. It uses nothing of the package but its
// types.
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
	if settings.CacheAside && r.Write && endpoint.Kind != settings.OriginKind { // caches do not execute writes
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

// modelAllowsAnswer is the reference model of which answers are allowed: a rejection only if the client can safely
// retry the request.
func modelAllowsAnswer(settings Settings, r *Request, answer FinalAnswer) bool {
	class := modelClass(settings, r)
	return answer == Fail || class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupScope == AllCaches ||
		!slices.ContainsFunc(r.Attempts, modelMayHaveRun)
}

// modelExecuteBy is the reference model of when an endpoint must have begun to execute an attempt that is sent now: by
// the deadline, and while repeats of the attempt are dropped.
func modelExecuteBy(settings Settings, now Instant, r *Request) Instant {
	executeBy := r.Deadline
	class := modelClass(settings, r)
	if class.Idempotency != IdempotentByKey || class.DedupWindow <= settings.TickInterval { // no repeat is sent
		return executeBy
	}
	executeBy = min(executeBy, now.Add(class.DedupWindow))
	for _, attempt := range r.Attempts {
		if modelMayHaveRun(attempt) {
			executeBy = min(executeBy, attempt.SentAt.Add(class.DedupWindow))
		}
	}
	return executeBy
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

// FuzzInvariants runs generated events and compares every decision with the reference model.
func FuzzInvariants(f *testing.F) {
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
			h.runStep(steps[i], int(steps[i+1]))
		}
		h.advance(time.Second)
		for _, r := range h.requests {
			if !r.Finished {
				t.Fatalf("request %v has no final answer", r.ID)
			}
		}
	})
}

// runStep runs one generated event.
func (h *harness) runStep(kind byte, argument int) {
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

// endSomeAttempt completes an attempt in flight: the first one found from the request that argument selects on.
// argument also selects the result.
func (h *harness) endSomeAttempt(argument int) {
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
