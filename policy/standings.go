package policy

import (
	"slices"
	"time"
)

// EndpointStates tells which caches stand otherwise than when it told last, for records; no decision reads it.
func (p *Router) EndpointStates(now Instant, tell func(EndpointID, EndpointState)) {
	soft := time.Duration(0)
	for _, g := range p.rules.Classes {
		soft = max(soft, g.LatencyObjective)
	}
	pace, alone := p.pace.Quantile(0.5, 0), p.alone.Quantile(0.5, 0) // as for crowded, once for all caches
	most := float64(max(soft-alone, soft/4))
	for _, c := range p.listed {
		s := StateInUse
		switch {
		case c.Lifecycle != Ready:
			s = StateDraining
		case c.refused >= failsToRest && now < c.restUntil:
			s = StateUnreachable
		case p.silent(now, c):
			s = StateUnresponsive
		case slices.Max(c.erred) >= breaksToRest:
			s = StateFailing
		case p.load(now, c)*float64(pace) > most:
			s = StateOverloaded
		case p.warmth(now, c) < 1:
			s = StateWarmingUp
		}
		if c.stood != s {
			c.stood = s
			tell(c.ID, s)
		}
	}
}
