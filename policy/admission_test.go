package policy

import (
	"testing"
	"time"
)

// Guards against shedding because of faulty caches: a few caches that returned errors, or were gone, made each node
// shed most of its requests, long after those caches had recovered.
func TestErrorsAndFailedConnectsDoNotShedRequests(t *testing.T) {
	for name, result := range map[string]Result{"errors": Errored, "failed connects": ConnectFailed} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), testFleet(60, false))
			for i := range 400 {
				r, decision := h.arrive(distinctKey(i), readClass, false)
				if len(decision.SendTo) == 0 {
					t.Fatalf("request %d was rejected although only one in eight attempts failed", i)
				}
				if i%8 == 0 {
					h.end(r, 0, result)
				}
				if !r.Finished {
					h.endLast(r, Answered)
				}
				h.advance(50 * ms)
			}
		})
	}
}

// The shed preference must not change the total that is admitted, however low some priorities are, or all requests
// would be shed permanently. Each class must still be admitted at times, or the end of a congestion collapse would go
// unnoticed.
func TestSheddingAdmitsTheUsefulLoad(t *testing.T) {
	for _, useful := range []float64{36, 5} {
		want := int(0.9 * 4000 * (maxOfferedPerUseful*useful/100 + minAdmittedShare))
		h := newReadThroughHarness(t)
		h.router.settings.Classes[keyedClass].PriorityWeight = 0.05
		admitted := [2]int{}
		for i := range 6000 {
			h.router.admission.controllers[homeZone] = admissionController{offered: 100, useful: useful}
			class := min(1, i%3)
			_, decision := h.arrive("k", ClassID(class), false)
			if decision.Answer == NoAnswer && i >= 2000 {
				admitted[class]++
			}
		}
		total := admitted[0] + admitted[1]
		if total < want || total > 3*want || admitted[0] == 0 || admitted[1] == 0 {
			t.Errorf("%v of 4000 requests were admitted while %v of 100 attempts are useful", admitted, useful)
		}
	}
}

// A node with a low request rate must detect a congestion collapse after as few requests as a node with hundreds.
func TestSheddingStartsAtLowRequestRates(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet(45, false))
	h.drive(60, 250*ms, distinctKey, always(TimedOut))
	if _, admitted := h.drive(60, 250*ms, distinctKey, always(TimedOut)); admitted == 0 || admitted > 20 {
		t.Errorf("%d of 60 requests were admitted while all attempts were lost, want 1 to 20", admitted)
	}
}

// A timeout does not depend on the cache's queue if a later attempt at the same cache was answered. Counting such
// timeouts made an almost idle fleet shed half of its requests when one answer in five was lost. A timeout must still
// count in full if no later attempt is answered.
func TestOvertakenTimeoutsDoNotShedRequests(t *testing.T) {
	for _, c := range []struct {
		name          string
		overtaken     bool
		atLeast, most int // admitted of the last 400
	}{
		{name: "answers lost in transit", overtaken: true, atLeast: 390, most: 400},
		{name: "no answers until the deadline of the lost one", overtaken: false, atLeast: 10, most: 150},
	} {
		t.Run(c.name, func(t *testing.T) {
			admitted := admittedWithLostAnswers(t, c.overtaken)
			if admitted < c.atLeast || admitted > c.most {
				t.Errorf("%d of 400 requests were admitted, want %d to %d", admitted, c.atLeast, c.most)
			}
		})
	}
}

// admittedWithLostAnswers loses one answer in five. If overtaken is false, the cache answers nothing until the deadline
// of the lost one. It returns how many of the last 400 requests were admitted.
func admittedWithLostAnswers(t *testing.T, overtaken bool) (admitted int) {
	t.Helper()
	settings := testSettings()
	settings.HedgingAllowed = false
	settings.CancelAllowed = false
	h := newHarness(t, settings, testFleet(6, false))
	stuckUntil := map[EndpointID]Instant{}
	for i := range 800 {
		r, decision := h.arrive(distinctKey(i), readClass, false)
		h.advance(20 * ms)
		if len(decision.SendTo) == 0 {
			continue
		}
		if i >= 400 {
			admitted++
		}
		id := decision.SendTo[0]
		if i%5 == 0 {
			stuckUntil[id] = r.Deadline
		} else if r.Attempts[0].InFlight && (overtaken || h.now > stuckUntil[id]) {
			h.end(r, 0, Answered)
		}
	}
	return admitted
}

// Guards against shedding because of short deadlines: clients that waited only a third of the latency objective, at an
// idle cache that needs about as long, caused the requests of all others to be shed. An attempt that timed out after at
// least its objective counts in full.
func TestShortTimeoutsHaveLowAdmissionWeight(t *testing.T) {
	for _, c := range []struct {
		name          string
		wait          time.Duration
		atLeast, most int // admitted of the last 400
	}{
		{name: "a third of the objective", wait: 120 * ms, atLeast: 380, most: 400},
		{name: "more than the objective", wait: 320 * ms, atLeast: 10, most: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			admitted := admittedWithImpatientClients(t, c.wait)
			if admitted < c.atLeast || admitted > c.most {
				t.Errorf("%d of 400 requests were admitted, want %d to %d", admitted, c.atLeast, c.most)
			}
		})
	}
}

// admittedWithImpatientClients gives one request in five a short deadline, before which no answer arrives. It returns
// how many of the last 400 requests were admitted.
func admittedWithImpatientClients(t *testing.T, wait time.Duration) (admitted int) {
	t.Helper()
	settings := testSettings()
	settings.HedgingAllowed = false
	settings.CancelAllowed = false
	h := newHarness(t, settings, testFleet(12, false))
	for i := range 800 {
		r := &Request{
			ID:        RequestID(distinctKey(i)),
			Key:       distinctKey(i),
			ArrivedAt: h.now,
			Deadline:  h.now.Add(800 * ms),
		}
		if i%5 == 0 {
			r.Deadline = h.now.Add(wait)
		}
		h.requests = append(h.requests, r)
		decision := h.apply(r, h.router.Route(h.now, r))
		h.advance(100 * ms)
		if len(decision.SendTo) == 0 {
			continue
		}
		if i >= 400 {
			admitted++
		}
		if i%5 == 0 {
			h.advance(wait)
		} else {
			h.end(r, 0, Answered)
		}
	}
	return admitted
}
