package report

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/coverage"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/policy"
)

// maxLateShare is the largest share of tries sent late with which a run has a verdict. With more, the machine was too
// busy.
const maxLateShare = 0.02

// Class is the result of a service class.
type Class struct {
	Name            string  `json:"name"`
	Asked           uint64  `json:"asked"`             // first tries of clients
	InTime          float64 `json:"satisfied_in_time"` // share of first tries
	TriesPerRequest float64 `json:"tries_each"`
	Rejected        uint64  `json:"rejected"`
	Failed          uint64  `json:"failed"`
	Cut             uint64  `json:"cut"` // tries whose connection was reset
	P50             float64 `json:"p50_ms"`
	P99             float64 `json:"p99_ms"`
}

// Expected is an expectation of the scenario, with the measured value and whether it is met.
type Expected struct {
	What string `json:"what"`
	Got  string `json:"got"`
	Met  bool   `json:"met"`
}

// Server counts the attempts at one server.
type Server struct {
	ID       policy.EndpointID `json:"id"`
	Attempts uint64            `json:"legs"`
	Hits     uint64            `json:"hits"`
	Misses   uint64            `json:"misses"`
}

// Report is the result of a run. It is written as JSON; hence the many fields.
type Report struct {
	Script             string           `json:"script"`
	Seed               int64            `json:"seed"`
	Shell              string           `json:"shell"`   // environment of the run: "virtual" or "sockets"
	Decider            string           `json:"decider"` // "module" for the policy module, or the name of a baseline
	Nodes              int              `json:"nodes"`
	Caches             int              `json:"caches"`
	Seconds            float64          `json:"seconds"`
	BenefitInTime      float64          `json:"benefit_in_time"` // share of the benefit of all first tries
	AttemptsPerRequest float64          `json:"legs_per_request"`
	MaxOriginAttempts  int              `json:"most_origin_legs_per_s"`
	RecoveredAt        float64          `json:"recovered_at_s"` // in seconds, as returned by Log.recovered
	Rules              [4]uint64        `json:"breaches_by_rule"`
	Breaches           []checker.Breach `json:"breaches"`
	Classes            []Class          `json:"grades"`
	Servers            []Server         `json:"servers"`
	Expected           []Expected       `json:"expected"`
	MachineTooBusy     string           `json:"machine_too_busy,omitempty"`
	Timeline           []Second         `json:"course"`
	Events             []EventLine      `json:"events"`
	Records            []eventlog.Event `json:"-"`
	Dropped            int              `json:"records_dropped,omitempty"`
	Membership         *Membership      `json:"together,omitempty"`
	Coverage           *coverage.Table  `json:"coverage,omitempty"` // counts for each fault; nil in virtual time
}

// New returns the report of a completed run. first is when the first event began and last is when the last one ended;
// both are 0 in a run without events. New sorts the checker's latencies and breaches in place.
func New(
	s *scenario.Scenario, shell, decider string, w *world.World, c *checker.Checker, l *Log, first, last policy.Instant,
) *Report {
	r := &Report{
		Script:   s.Name,
		Seed:     s.Seed,
		Shell:    shell,
		Decider:  decider,
		Nodes:    s.Fleet.Nodes,
		Caches:   s.Fleet.Caches,
		Seconds:  s.Seconds,
		Breaches: c.Breaches,
		Timeline: slices.Clone(l.Seconds),
		Events:   l.Events,
		Records:  l.Records,
		Dropped:  l.Dropped,
	}
	copy(r.Rules[:], c.Counts[1:])
	slices.SortStableFunc(r.Breaches, func(a, b checker.Breach) int { return cmp.Compare(a.At, b.At) })
	for i := range r.Breaches {
		r.Breaches[i].At -= l.startedAt
	}
	tries := r.addClasses(s, c)
	attempts := r.addServers(w, l)
	r.AttemptsPerRequest = float64(attempts) / max(1, float64(tries))
	for _, second := range l.Seconds {
		r.MaxOriginAttempts = max(r.MaxOriginAttempts, second.OriginAttempts)
	}
	r.RecoveredAt = l.recovered(first, last)
	if l.Views != nil {
		views := l.Views.From(l.startedAt)
		pause := scenario.SecondsToDuration(s.Membership.PauseS)
		r.Membership = newMembership(views, pause, policy.Instant(s.Duration()))
	}
	if l.TriesSent > 0 && float64(l.Late) > maxLateShare*float64(l.TriesSent) {
		r.MachineTooBusy = fmt.Sprintf(
			"%d of %d requests were sent more than %v late", l.Late, l.TriesSent, LateArrival)
	}
	r.checkExpectations(s)
	return r
}

// addClasses adds a row for each service class and the total benefit. It returns the number of tries of clients.
func (r *Report) addClasses(s *scenario.Scenario, c *checker.Checker) (tries uint64) {
	asked := 0.0
	inTime := 0.0
	for i, class := range s.WorldClasses() {
		counts := &c.Classes[i]
		row := Class{
			Name:     class.Name,
			Asked:    counts.First,
			Rejected: counts.Rejected,
			Failed:   counts.Failed,
			Cut:      counts.Cut,
			P50:      quantileMs(c.Latencies[i], 0.5),
			P99:      quantileMs(c.Latencies[i], 0.99),
		}
		if counts.First > 0 {
			row.InTime = float64(counts.FirstInTime) / float64(counts.First)
			row.TriesPerRequest = float64(counts.Asked) / float64(counts.First)
		}
		r.Classes = append(r.Classes, row)
		tries += counts.Asked
		asked += class.PriorityWeight * float64(counts.First)
		inTime += class.PriorityWeight * float64(counts.FirstInTime)
	}
	r.BenefitInTime = inTime / max(asked, 1e-9)
	return tries
}

// addServers adds a row for each server. It returns the number of attempts at all servers.
func (r *Report) addServers(w *world.World, l *Log) (attempts uint64) {
	for _, server := range w.Servers {
		count := l.Attempts[server.ID]
		attempts += count
		r.Servers = append(r.Servers, Server{
			ID:       server.ID,
			Attempts: count,
			Hits:     server.Hits,
			Misses:   server.Misses,
		})
	}
	return attempts
}

// quantileMs returns a quantile of latencies in milliseconds, or 0 if there are none. It sorts them in place.
func quantileMs(latencies []time.Duration, q float64) float64 {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	i := min(len(latencies)-1, int(q*float64(len(latencies))))
	return float64(latencies[i].Microseconds()) / 1000
}

// MaxPerSecond returns the largest count in any second over the whole fleet. name is one of scenario.CountNames.
func (r *Report) MaxPerSecond(name string) int {
	most := 0
	for i := range r.Timeline {
		most = max(most, r.Timeline[i].Counted(name))
	}
	return most
}

// FirstRecordAt returns the time in seconds of the first record of a kind that the fleet as a whole has of a server, or
// -1 if there is none.
func (r *Report) FirstRecordAt(id policy.EndpointID, kind string) float64 {
	for _, e := range r.Records {
		if e.Server == id && e.Kind == kind && e.Node == FleetName {
			return time.Duration(e.At).Seconds()
		}
	}
	return -1
}

// FleetName is the node name in records of the fleet as a whole.
const FleetName = "fleet"

// Passed reports whether all expectations are met. It is false for a run without a verdict, whose machine was too busy
// to send tries in time.
func (r *Report) Passed() bool {
	return r.MachineTooBusy == "" && !slices.ContainsFunc(r.Expected, func(e Expected) bool { return !e.Met })
}
