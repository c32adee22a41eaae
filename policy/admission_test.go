package policy

import (
	"testing"
	"time"
)

// A few caches that err, or have gone, made each node shed most of its requests, long after they were well.
func TestErrorsAndFailedConnectsDoNotShedRequests(t *testing.T) {
	for name, result := range map[string]Result{"errors": Errored, "failed connects": ConnectFailed} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), testFleet(60, false))
			for i := range 400 {
				r, decision := h.arrive(distinctKey(i), readClass, false)
				if len(decision.SendTo) == 0 {
					t.Fatalf("request %d is rejected, as one in eight before it ended so", i)
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

// The shed preference must not change how much is admitted in all, however low some priorities are, or all requests are
// shed for good. And all classes keep a chance, or the end of a collapse would go unnoticed.
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
			t.Errorf("%v of 4000 were admitted where %v of 100 are useful", admitted, useful)
		}
	}
}

// A node that sees a request now and then must notice a collapse as soon as one that sees hundreds.
func TestSheddingStartsAtLowRequestRates(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet(45, false))
	h.drive(60, 250*ms, distinctKey, always(TimedOut))
	if _, admitted := h.drive(60, 250*ms, distinctKey, always(TimedOut)); admitted == 0 || admitted > 20 {
		t.Errorf("%d of 60 were admitted while all was lost", admitted)
	}
}

// A time-out that a later attempt at the same cache has overtaken has nothing to do with its queue. A fleet that was
// next to idle shed half of its requests, as one answer in five got lost. A time-out behind which nothing is answered
// must count as ever.
func TestOvertakenTimeoutsDoNotShedRequests(t *testing.T) {
	for _, c := range []struct {
		name          string
		overtaken     bool
		atLeast, most int // admitted of the last 400
	}{
		{name: "answers lost on the way", overtaken: true, atLeast: 390, most: 400},
		{name: "queues too long for any answer in time", overtaken: false, atLeast: 10, most: 150},
	} {
		t.Run(c.name, func(t *testing.T) {
			admitted := admittedWithLostAnswers(t, c.overtaken)
			if admitted < c.atLeast || admitted > c.most {
				t.Errorf("%d of 400 were admitted, want %d to %d", admitted, c.atLeast, c.most)
			}
		})
	}
}

// admittedWithLostAnswers loses one answer in five. If later attempts don't overtake, the cache answers nothing until
// the lost one's deadline. It returns how many of the last 400 requests were admitted.
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

// Clients that wait a third of the latency objective, at an idle cache that takes about as long, had all others'
// requests shed. An attempt that has had its objective, or more, counts in full.
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
				t.Errorf("%d of 400 were admitted, want %d to %d", admitted, c.atLeast, c.most)
			}
		})
	}
}

// admittedWithImpatientClients lets one client in five wait for a time only, within which no answer comes. It returns
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
