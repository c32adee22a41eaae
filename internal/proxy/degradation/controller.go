// Package levels holds a node's reduced service levels: when one is entered, which grades are shed in it, and when it is left.
// It does no I/O; times are arguments. It is a filter before the module, which still decides what is let through.
package degradation

import (
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
	"dahliapin/policy"
)

const (
	window     = time.Second      // between two looks: a leg takes milliseconds, a trouble lasts seconds
	leastSeen  = 60               // requests that a look needs: at 60 a share of a tenth is off by a third at most in two of three looks
	thinFor    = 20 * window      // after which a look is taken of whatever there is
	learnsFor  = 10 * time.Second // after its start that a node looks at nothing: the module turns away while it knows no cache yet
	before     = 2                // looks in a row that enter a level: one may be a pause of this very machine
	step       = 1.0 / 8          // by which what is shed comes back
	again      = 2 * step         // by which it goes when that was too much
	stepsAStay = 2                // steps in a least stay: traffic swells and ebbs, and a step is to see both
	most       = 8                // levels: an operator has to tell them apart at night
	mostStay   = 10 * time.Minute // least stay that may be stated
)

// Shares are of the legs and requests of one look. As bounds, 0 looks at nothing.
type Shares struct {
	Late          float64 `toml:"late"`        // answered after the soft limit
	Lost          float64 `toml:"lost"`        // errors, breaks, and no answer in time
	CacheRejected float64 `toml:"turned_away"` // by caches that are full
	OriginLate    float64 `toml:"origin_late"` // late or lost there, of the legs there
	Rejected      float64 `toml:"rejected"`    // by the module, of the requests that the level lets through
}

func (s Shares) each(o Shares, f func(name string, mine, other float64)) {
	f("late", s.Late, o.Late)
	f("lost", s.Lost, o.Lost)
	f("turned_away", s.CacheRejected, o.CacheRejected)
	f("origin_late", s.OriginLate, o.OriginLate)
	f("rejected", s.Rejected, o.Rejected)
}

// reached tells whether one of the bounds is.
func (s Shares) reached(by Shares) (is bool) {
	s.each(by, func(_ string, bound, seen float64) { is = is || bound > 0 && seen >= bound })
	return is
}

// Level is one reduced level; they stand from the mildest to the hardest.
type Level struct {
	Name     string   `toml:"name"`
	Enter    Shares   `toml:"enter"` // one of them reached in two looks enters it
	Leave    Shares   `toml:"leave"` // all of them under this lets what is shed come back
	MinStayS float64  `toml:"stay_s"`
	Shed     []string `toml:"shed"` // grades that are rejected
}

func (l *Level) stay() time.Duration { return time.Duration(l.MinStayS * float64(time.Second)) }

// Check looks at what is stated. Grades are those of the deployment.
func Check(c *strictconfig.Checker, plan []Level, terms *settings.Settings) {
	c.Require(len(plan) <= most, "level", "more than %d", most)
	for i := range plan {
		l, at := &plan[i], fmt.Sprintf("level.%d.", i)
		c.Require(l.Name != "" && !slices.ContainsFunc(plan[:i], func(o Level) bool { return o.Name == l.Name }), at+"name", "%q is no name of its own", l.Name)
		c.InRange(l.MinStayS, window.Seconds(), mostStay.Seconds(), at+"stay_s")
		any := false
		l.Enter.each(l.Leave, func(name string, in, out float64) {
			any = any || in > 0
			c.InRange(in, 0, 1, at+"enter."+name)
			c.Require(in == 0 && out == 0 || out > 0 && out < in, at+"leave."+name, "%v is not above 0 and under %v, at which the level is entered", out, in)
		})
		c.Require(any, at+"enter", "nothing enters it")
		c.Require(len(l.Shed) > 0, at+"shed", "names no grade")
		for _, name := range l.Shed {
			g := terms.Names.Class([]byte(name))
			c.Require(g >= 0, at+"shed", "the deployment states no grade %q", name)
			c.Require(g < 0 || terms.Policy.Classes[g].Idempotency == policy.Idempotent, at+"shed", "%q may have an effect, and is never shed", name)
		}
		c.Require(len(l.Shed) < len(terms.Policy.Classes), at+"shed", "leaves no grade")
	}
}

// counted are the legs and requests of a look.
type counted struct{ legs, late, lost, away, origin, originLate, let, rejected int }

func (n *counted) shares() (s Shares) {
	part := func(k, of int) float64 {
		if of == 0 {
			return 0
		}
		return float64(k) / float64(of)
	}
	return Shares{part(n.late, n.legs), part(n.lost, n.legs), part(n.away, n.legs), part(n.originLate, n.origin), part(n.rejected, n.let)}
}

// Controller is where a node stands.
type Controller struct {
	plan   []Level
	at     int     // 0 is normal; else plan[at-1]
	share  float64 // of what the level sheds that is shed
	since  policy.Instant
	from   policy.Instant
	learns policy.Instant // until then nothing is looked at
	n      counted
	above  []int // looks in a row that reached a level's bounds
}

// New starts at normal.
func New(now policy.Instant, plan []Level) *Controller {
	return &Controller{plan: plan, from: now, learns: now.Add(learnsFor), above: make([]int, len(plan))}
}

// Current tells the level's number, 0 for normal, and the share of what it sheds that is shed.
func (m *Controller) Current() (level int, share float64) { return m.at, m.share }

// RecordAttempt takes a leg's end.
func (m *Controller) RecordAttempt(how policy.Result, took, soft time.Duration, atOrigin bool) {
	late, lost := false, false
	switch how {
	case policy.Answered, policy.CacheMiss:
		late = took > soft
	case policy.Rejected:
		m.n.away++
	case policy.Cancelled, policy.NotSent: // says nothing of who was asked
		return
	default:
		lost = true
	}
	m.n.legs++
	if late {
		m.n.late++
	}
	if lost {
		m.n.lost++
	}
	if atOrigin {
		if m.n.origin++; late || lost {
			m.n.originLate++
		}
	}
}

// RecordAdmitted takes a request that is let through, and Rejected one that the module rejected.
func (m *Controller) RecordAdmitted() { m.n.let++ }
func (m *Controller) RecordRejected() { m.n.rejected++ }

// Evaluate moves on, and tells whether the level has changed. A look on few requests would dither at nodes that see few: it waits for more,
// and for so long only.
func (m *Controller) Evaluate(now policy.Instant) (changed bool) {
	long := now.Since(m.from)
	if long < window || m.n.let < leastSeen && long < thinFor {
		return false
	}
	seen, was := m.n.shares(), m.at
	if m.n.let < leastSeen {
		seen = Shares{} // too few to say that anything is wrong
	}
	if m.n, m.from = (counted{}), now; now < m.learns {
		return false
	}
	to := 0
	for i := range m.plan {
		if m.above[i]++; !m.plan[i].Enter.reached(seen) {
			m.above[i] = 0
		}
		if m.above[i] >= before {
			to = i + 1
		}
	}
	switch {
	case to > m.at:
		m.enter(now, to)
	case m.at == 0:
	case m.plan[m.at-1].Enter.reached(seen): // it came back too soon: more would only be asked for again
		m.share, m.since = min(1, m.share+again), now
	case m.plan[m.at-1].Leave.reached(seen): // neither: as it is
	case m.share > 0 && now.Since(m.since) >= m.plan[m.at-1].stay()/stepsAStay:
		m.share, m.since = max(0, m.share-step), now
	case m.share == 0 && now.Since(m.since) >= m.plan[m.at-1].stay(): // all came back, and it stayed so
		m.leave(now)
	}
	return m.at != was
}

// enter starts a level with all that it sheds shed, for its least stay.
func (m *Controller) enter(now policy.Instant, to int) {
	l := &m.plan[to-1]
	m.at, m.share, m.since = to, 1, now.Add(l.stay()-l.stay()/stepsAStay)
}

// leave goes to the next milder level, which sheds all that it does at first.
func (m *Controller) leave(now policy.Instant) {
	if m.at--; m.at > 0 {
		m.enter(now, m.at)
	}
}
