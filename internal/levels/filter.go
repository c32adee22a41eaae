package levels

import (
	"time"

	"dahliapin/internal/host"
	"dahliapin/internal/houserules"
	"dahliapin/internal/keyhash"
	"dahliapin/policy"
)

// Filter stands before a decider, and sheds by level what comes anew. What has been let through is the decider's alone.
type Filter struct {
	host.Decider
	machine *Machine
	rules   *policy.HouseRules
	shed    []map[policy.GradeID]bool // by level
	origin  policy.CacheID
	chance  keyhash.Source
	told    func(now policy.Instant, level int, name string)
	count   *uint64 // of those shed
}

// Before puts a filter before a decider. told hears of each change of level, and what is shed is counted.
func Before(d host.Decider, now policy.Instant, seed uint32, plan []Level, terms *houserules.Terms,
	told func(now policy.Instant, level int, name string), count *uint64) *Filter {
	f := &Filter{Decider: d, machine: New(now, plan), rules: &terms.Rules, chance: keyhash.Source{Seed: seed}, told: told, count: count}
	for _, l := range plan {
		grades := map[policy.GradeID]bool{}
		for _, name := range l.Shed {
			grades[terms.Names.Grade([]byte(name))] = true
		}
		f.shed = append(f.shed, grades)
	}
	return f
}

// Admit tells whether what has just come is let through; else how it is answered. Those who are to come back come at times
// of their own, so that they are no wave.
func (f *Filter) Admit(now policy.Instant, r *policy.Request) (m policy.Move, in bool) {
	f.look(now)
	level, share := f.machine.At()
	if level == 0 || !f.shed[level-1][r.Grade] || f.chance.Next() >= share {
		f.machine.Let()
		return m, true
	}
	*f.count++
	m.Answer = policy.Reject
	m.ComeBack = time.Duration((1 + f.chance.Next()) / 2 * float64(min(f.rules.MaxComeBack, window)))
	return m, false
}

func (f *Filter) look(now policy.Instant) {
	if !f.machine.Look(now) {
		return
	}
	name, level := "normal", f.machine.at
	if level > 0 {
		name = f.machine.plan[level-1].Name
	}
	f.told(now, level, name)
}

// After counts a leg's end, and passes it on.
func (f *Filter) After(now policy.Instant, r *policy.Request, o policy.Outcome) policy.Move {
	leg := &r.Legs[o.Leg]
	f.machine.Leg(leg.Result, o.Took, f.rules.Grades[r.Grade].SoftLimit, leg.To == f.origin)
	return f.noted(f.Decider.After(now, r, o))
}

// Where passes on.
func (f *Filter) Where(now policy.Instant, r *policy.Request) policy.Move {
	return f.noted(f.Decider.Where(now, r))
}

func (f *Filter) noted(m policy.Move) policy.Move {
	if m.Answer == policy.Reject {
		f.machine.Rejected()
	}
	return m
}

// Wait also lets a level end while nobody asks.
func (f *Filter) Wait(now policy.Instant) (time.Duration, []policy.Chore) {
	f.look(now)
	return f.Decider.Wait(now)
}

// Listed notes which is the origin.
func (f *Filter) Listed(now policy.Instant, form policy.ListForm, entries []policy.Entry) {
	for _, e := range entries {
		if f.rules.Aside && e.Kind == f.rules.OriginKind {
			f.origin = e.ID
		}
	}
	f.Decider.Listed(now, form, entries)
}

// Standings passes on how the decider says that caches stand, where it does.
func (f *Filter) Standings(now policy.Instant, tell func(policy.CacheID, policy.Standing)) {
	if d, ok := f.Decider.(interface {
		Standings(policy.Instant, func(policy.CacheID, policy.Standing))
	}); ok {
		d.Standings(now, tell)
	}
}
