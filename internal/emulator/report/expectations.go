package report

import (
	"fmt"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/policy"
)

// expect adds an expectation: whether it is met, the measured value, and a format with arguments that describes it.
func (r *Report) expect(met bool, got, what string, args ...any) {
	r.Expected = append(r.Expected, Expected{What: fmt.Sprintf(what, args...), Got: got, Met: met})
}

// checkExpectations adds the scenario's expectations and whether the report meets them.
func (r *Report) checkExpectations(s *scenario.Scenario) {
	breaches := uint64(0)
	for _, n := range r.Rules {
		breaches += n
	}
	r.expect(breaches == 0, fmt.Sprint(r.Rules), "no rule is broken")
	r.checkClasses(s)
	r.checkEndpoints(s)
	r.checkCounts(s)
	r.checkViews(s)
	if by := s.Expect.RecoveredBy; by > 0 {
		isMet := r.RecoveredAt >= 0 && r.RecoveredAt <= by
		r.expect(isMet, fmt.Sprintf("%.0f s", r.RecoveredAt), "share in time back at the baseline by %g s", by)
	}
}

func (r *Report) checkClasses(s *scenario.Scenario) {
	for _, g := range r.Classes {
		if least, ok := s.Expect.Satisfied[g.Name]; ok {
			got := fmt.Sprintf("%.4f", g.InTime)
			r.expect(g.InTime >= least, got, "%s: at least %g satisfied in time", g.Name, least)
		}
		if most, ok := s.Expect.P99Ms[g.Name]; ok {
			r.expect(g.P99 <= most, fmt.Sprintf("%.1f", g.P99), "%s: p99 at most %g ms", g.Name, most)
		}
	}
}

func (r *Report) checkEndpoints(s *scenario.Scenario) {
	for _, a := range s.Expect.Avoided {
		at := r.FirstRecordAt(policy.EndpointID(a.Server), eventlog.EndpointAvoided)
		r.expect(at >= 0 && at <= a.ByS, fmt.Sprintf("%.1f s", at), "%s is avoided by %g s", a.Server, a.ByS)
	}
	for _, id := range s.Expect.Drained {
		at := r.FirstRecordAt(policy.EndpointID(id), eventlog.EndpointDrained)
		r.expect(at >= 0, fmt.Sprintf("%.1f s", at), "%s is drained", id)
	}
}

func (r *Report) checkCounts(s *scenario.Scenario) {
	if most := s.Expect.MaxOriginPerS; most > 0 {
		got := r.MaxOriginAttempts
		r.expect(float64(got) <= most, fmt.Sprint(got), "at most %g attempts at the origin in any second", most)
	}
	for _, name := range scenario.CountNames {
		if most, ok := s.Expect.MaxPerS[name]; ok {
			got := r.MaxPerSecond(name)
			isMet := float64(got) <= most
			r.expect(isMet, fmt.Sprint(got), "at most %g %s in any second over the whole fleet", most, name)
		}
	}
	if most := s.Expect.MaxAttemptsPerRequest; most > 0 {
		got := fmt.Sprintf("%.3f", r.AttemptsPerRequest)
		r.expect(r.AttemptsPerRequest <= most, got, "at most %g attempts per request", most)
	}
}

// checkViews expects the nodes' membership views to match the actual state of nodes. A run without views, or with lost
// lines of a trace, proves nothing and fails.
func (r *Report) checkViews(s *scenario.Scenario) {
	membership := r.Membership
	if membership == nil || s.Membership.Engine == fleetconfig.EnginePlain {
		return
	}
	lost := uint64(membership.Views.Dropped)
	for _, l := range membership.Views.Lines {
		lost = max(lost, l.Dropped)
	}
	r.expect(lost == 0, fmt.Sprint(lost), "no line of a membership trace is lost")
	if membership.View == nil {
		r.expect(false, "none", "nodes have membership views")
		return
	}
	wrong := membership.View.Wrong()
	isMet := wrong == 0 && membership.View.Formed >= 0
	got := fmt.Sprintf("%d wrong, formed at %.1f s", wrong, membership.View.Formed)
	r.expect(isMet, got, "views are as what befell nodes has them")
	if most := s.Expect.Views; most != nil {
		got := membership.View.Changes
		r.expect(got <= *most, fmt.Sprint(got), "at most %d changes of membership views", *most)
	}
}
