package simulation

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/policy"
	"dahliapin/rehearsals"
)

var (
	update = flag.Bool("update", false,
		"rewrite the recorded hashes; only for an intended change of decisions")
	allDecisions = flag.Bool("all-decisions", false,
		"run each rehearsal in full with three seeds, instead of a few seconds with one")
)

const (
	shortHashes  = "testdata/decisions-short.txt"
	allHashes    = "testdata/decisions-all.txt"
	shortSeconds = 6
)

// A refactoring must not change any decision of the policy module. All calls into it and all its decisions are hashed,
// with one hash for each run; each rehearsal runs in cache-aside mode and with caches that store the data themselves.
func TestDecisionsInRehearsalsMatchRecordedHashes(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
	}
	file, seeds := shortHashes, int64(1)
	if *allDecisions {
		file, seeds = allHashes, 3
	}
	var mu sync.Mutex
	var got []string
	t.Run("rehearsals", func(t *testing.T) {
		for _, name := range rehearsals.Names() {
			if loadRehearsal(t, name).NeedsSockets() {
				continue
			}
			for _, mode := range []string{"aside", "through"} {
				for seed := range seeds {
					t.Run(fmt.Sprint(name, "/", mode, "/", seed), func(t *testing.T) {
						t.Parallel()
						line := fmt.Sprintf("%s %s %d %016x", name, mode, seed, recordedHash(t, name, mode, seed))
						mu.Lock()
						defer mu.Unlock()
						got = append(got, line)
					})
				}
			}
		}
	})
	slices.Sort(got)
	text := strings.Join(got, "\n") + "\n"
	if *update {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	recorded := strings.Split(strings.TrimSpace(string(want)), "\n")
	if len(recorded) != len(got) {
		t.Errorf("%d runs, but %d are recorded", len(got), len(recorded))
	}
	for _, line := range got {
		if !slices.Contains(recorded, line) {
			t.Errorf("hash differs from the recorded one: %s", line)
		}
	}
}

func recordedHash(t *testing.T, name, mode string, seed int64) uint64 {
	s := loadRehearsal(t, name)
	s.Seed += seed
	s.Allowed.Mode = mode
	if !*allDecisions {
		s.Seconds = min(s.Seconds, shortSeconds)
		for i := range s.Events { // moves each event into the short run
			s.Events[i].AtS = 1 + math.Mod(s.Events[i].AtS, shortSeconds-2)
		}
		slices.SortStableFunc(s.Events, func(a, b scenario.Event) int { return int(math.Copysign(1, a.AtS-b.AtS)) })
	}
	r := &decisionHash{sum: fnv.New64a()}
	mustRun(t, s, "module", func(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider {
		return &hashingDecider{decisionHash: r, Decider: Module(now, seed, settings)}
	})
	return r.sum.Sum64()
}

// decisionHash hashes all calls in order.
type decisionHash struct {
	sum    hash.Hash64
	buffer []byte
}

func (r *decisionHash) numbers(values ...uint64) {
	r.buffer = r.buffer[:0]
	for _, v := range values {
		r.buffer = binary.LittleEndian.AppendUint64(r.buffer, v)
	}
	r.sum.Write(r.buffer)
}

func (r *decisionHash) text(s string) {
	r.numbers(uint64(len(s)))
	r.sum.Write([]byte(s))
}

// hashingDecider hashes all calls and passes them on to the policy module.
type hashingDecider struct {
	*decisionHash
	dispatch.Decider
}

func (d *hashingDecider) Route(now policy.Instant, q *policy.Request) policy.Decision {
	d.request(now, q)
	return d.decision(d.Decider.Route(now, q))
}

func (d *hashingDecider) OnAttemptDone(now policy.Instant, q *policy.Request, o policy.Outcome) policy.Decision {
	d.request(now, q)
	d.numbers(uint64(o.Attempt), uint64(o.Latency), uint64(len(o.LoadReport)))
	for _, x := range o.LoadReport {
		d.numbers(math.Float64bits(x))
	}
	return d.decision(d.Decider.OnAttemptDone(now, q, o))
}

func (d *hashingDecider) Tick(now policy.Instant) (time.Duration, []policy.Action) {
	wait, actions := d.Decider.Tick(now)
	d.numbers(uint64(now), uint64(wait), uint64(len(actions)))
	for _, c := range actions {
		d.numbers(uint64(c.Kind))
		d.text(string(c.Endpoint))
	}
	return wait, actions
}

func (d *hashingDecider) UpdateEndpoints(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint) {
	d.numbers(uint64(now), uint64(kind), uint64(len(entries)))
	for _, e := range entries {
		d.text(string(e.ID))
		d.text(string(e.Zone))
		d.numbers(uint64(e.Kind), uint64(e.Lifecycle), uint64(e.StartedAt), uint64(e.Group), math.Float64bits(e.Weight))
	}
	d.Decider.UpdateEndpoints(now, kind, entries)
}

func (d *hashingDecider) OnHealthCheck(now policy.Instant, id policy.EndpointID, result policy.Result) {
	d.numbers(uint64(now), uint64(result))
	d.text(string(id))
	d.Decider.OnHealthCheck(now, id, result)
}

func (d *hashingDecider) MayStart(now policy.Instant, q policy.Request, attempt int) bool {
	may := d.Decider.MayStart(now, q, attempt)
	d.numbers(uint64(now), uint64(attempt))
	d.text(fmt.Sprint(may))
	return may
}

// NotifyStateChanges passes on the states of endpoints. The dispatcher calls this optional method, which is not part of
// dispatch.Decider.
func (d *hashingDecider) NotifyStateChanges(now policy.Instant, f func(policy.EndpointID, policy.EndpointState)) {
	d.Decider.(*policy.Router).NotifyStateChanges(now, func(id policy.EndpointID, s policy.EndpointState) {
		d.text(string(id))
		d.numbers(uint64(s))
		f(id, s)
	})
}

func (d *hashingDecider) request(now policy.Instant, q *policy.Request) {
	d.numbers(uint64(now), uint64(q.Class), uint64(q.Tenant))
	d.numbers(uint64(q.ArrivedAt), uint64(q.Deadline), uint64(len(q.Attempts)))
	d.text(string(q.ID))
	d.text(q.Key)
	d.text(fmt.Sprint(q.Write, q.Finished))
	for _, attempt := range q.Attempts {
		d.text(string(attempt.Endpoint))
		d.text(fmt.Sprint(attempt.InFlight))
		d.numbers(uint64(attempt.SentAt), uint64(attempt.Result))
	}
}

func (d *hashingDecider) decision(m policy.Decision) policy.Decision {
	d.numbers(uint64(m.AttemptDeadline), uint64(m.Answer), uint64(m.RetryAfter), uint64(m.ReviewAt))
	d.numbers(uint64(len(m.SendTo)), uint64(len(m.Cancel)))
	for _, to := range m.SendTo {
		d.text(string(to))
	}
	for _, attempt := range m.Cancel {
		d.numbers(uint64(attempt))
	}
	for _, id := range m.Wake {
		d.text(string(id))
	}
	return m
}
