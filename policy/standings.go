package policy

import (
	"slices"
	"time"
)

// Standings tells which caches stand otherwise than when it told last, for records; no decision reads it.
func (p *Router) Standings(now Instant, tell func(CacheID, Standing)) {
	soft := time.Duration(0)
	for _, g := range p.rules.Grades {
		soft = max(soft, g.SoftLimit)
	}
	pace, alone := p.pace.Quantile(0.5, 0), p.alone.Quantile(0.5, 0) // as for crowded, once for all caches
	most := float64(max(soft-alone, soft/4))
	for _, c := range p.listed {
		s := InUse
		switch {
		case c.State != Ready:
			s = Drains
		case c.refused >= failsToRest && now < c.restUntil:
			s = Refusing
		case p.silent(now, c):
			s = Quiet
		case slices.Max(c.erred) >= breaksToRest:
			s = Erring
		case p.load(now, c)*float64(pace) > most:
			s = Crowded
		case p.warmth(now, c) < 1:
			s = Warming
		}
		if c.stood != s {
			c.stood = s
			tell(c.ID, s)
		}
	}
}
