// Package baselines has simple deciders that the module is measured against in rehearsals. They keep the rules and know
// nothing of what goes wrong. No node imports them.
package baselines

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/policy"
)

const (
	points  = 64                     // of each cache on the ring: shares differ by an eighth or so
	holders = 3                      // of a key, as the module has them
	upkeep  = time.Second            // they have none; the host wants a time
	spare   = 2 * time.Millisecond   // before the deadline, for the answer's way
	waits   = 250 * time.Millisecond // for a rejected client to come back, where it may be told
)

// Maker makes a decider, as the shells of the emulator want it.
type Maker = func(now policy.Instant, seed int64, rules policy.Settings) dispatch.Decider

// Names are the baselines there are.
var Names = []string{"random", "ring"}

// Make finds a baseline by its name.
func Make(name string) (Maker, error) {
	switch name {
	case "random":
		return maker((*plain).anyone), nil
	case "ring":
		return maker((*plain).leastOfThree), nil
	}
	return nil, fmt.Errorf("there is no decider %q: module, %v", name, Names)
}

func maker(choose func(*plain, *policy.Request) policy.EndpointID) Maker {
	return func(_ policy.Instant, seed int64, rules policy.Settings) dispatch.Decider {
		p := &plain{rules: rules, choose: choose, caches: map[policy.EndpointID]*cache{}, chance: keyhash.Source{Seed: uint32(seed)}}
		p.rules.MaxAttempts = max(1, rules.MaxAttempts)
		return p
	}
}

type cache struct {
	policy.Endpoint
	out int
}

// plain sends to whom choose says, tries again where the rules allow it, and gives up otherwise.
type plain struct {
	rules  policy.Settings
	choose func(*plain, *policy.Request) policy.EndpointID
	caches map[policy.EndpointID]*cache
	ready  []*cache // those that may be sent to, by id; without the origin
	ring   []point
	origin *cache
	chance keyhash.Source
}

type point struct {
	at uint64
	c  *cache
}

// Listed hears the list.
func (p *plain) UpdateEndpoints(_ policy.Instant, form policy.UpdateKind, entries []policy.Endpoint) {
	if form == policy.PollFailed {
		return
	}
	named := map[policy.EndpointID]bool{}
	for _, e := range entries {
		if named[e.ID] = true; p.caches[e.ID] == nil {
			p.caches[e.ID] = &cache{}
		}
		p.caches[e.ID].Endpoint = e
	}
	p.ready, p.ring, p.origin = nil, nil, nil
	for id, c := range p.caches {
		switch {
		case c.Lifecycle == policy.Removed || form != policy.DeltaUpdate && !named[id]:
			delete(p.caches, id)
		case p.rules.CacheAside && c.Kind == p.rules.OriginKind:
			p.origin = c
		case c.Lifecycle == policy.Ready:
			p.ready = append(p.ready, c)
		}
	}
	slices.SortFunc(p.ready, func(a, b *cache) int { return cmp.Compare(a.ID, b.ID) })
	for _, c := range p.ready {
		for n := range points {
			p.ring = append(p.ring, point{keyhash.Salted(keyhash.String(string(c.ID)), n), c})
		}
	}
	slices.SortFunc(p.ring, func(a, b point) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.c.ID, b.c.ID)) })
}

// Probed hears nothing: it never probes.
func (p *plain) OnHealthCheck(policy.Instant, policy.EndpointID, policy.Result) {}

// Wait has no chores.
func (p *plain) Tick(policy.Instant) (time.Duration, []policy.Action) { return upkeep, nil }

func tried(r *policy.Request, id policy.EndpointID) bool {
	return slices.ContainsFunc(r.Attempts, func(l policy.Attempt) bool { return l.Endpoint == id })
}

// on lists a key's holders on the ring: the next three caches to the right.
func (p *plain) on(key string) (hs []*cache) {
	h := keyhash.String(key)
	from, _ := slices.BinarySearchFunc(p.ring, h, func(q point, h uint64) int { return cmp.Compare(q.at, h) })
	for i := 0; i < len(p.ring) && len(hs) < holders; i++ {
		if c := p.ring[(from+i)%len(p.ring)].c; !slices.Contains(hs, c) {
			hs = append(hs, c)
		}
	}
	return hs
}

// anyone is a random one of the key's holders.
func (p *plain) anyone(r *policy.Request) policy.EndpointID {
	hs := slices.DeleteFunc(p.on(r.Key), func(c *cache) bool { return tried(r, c.ID) })
	if len(hs) == 0 {
		return ""
	}
	return hs[int(p.chance.Float64()*float64(len(hs)))].ID
}

// leastOfThree is the holder with the fewest own legs out, the first on the ring among equals.
func (p *plain) leastOfThree(r *policy.Request) policy.EndpointID {
	var best *cache
	for _, c := range p.on(r.Key) {
		if !tried(r, c.ID) && (best == nil || c.out < best.out) {
			best = c
		}
	}
	if best == nil {
		return ""
	}
	return best.ID
}

// Where sends a request.
func (p *plain) Route(now policy.Instant, r *policy.Request) policy.Decision {
	if r.Finished || slices.ContainsFunc(r.Attempts, func(l policy.Attempt) bool { return l.InFlight }) {
		return policy.Decision{}
	}
	g := policy.ServiceClass{}
	if r.Class >= 0 && int(r.Class) < len(p.rules.Classes) {
		g = p.rules.Classes[r.Class]
	}
	missed, mayHaveRun := false, false
	for _, l := range r.Attempts {
		missed = missed || l.Result == policy.CacheMiss
		mayHaveRun = mayHaveRun || !l.Result.NotExecuted()
	}
	by := r.Deadline.Add(-spare)
	again := !mayHaveRun || g.Idempotency == policy.Idempotent ||
		g.Idempotency == policy.IdempotentByKey && g.DedupScope == policy.AllCaches && now.Since(r.Attempts[0].SentAt) < g.DedupWindow-time.Second
	if again && by > now && len(r.Attempts) < p.rules.MaxAttempts {
		to := policy.EndpointID("")
		switch {
		case p.rules.CacheAside && (r.Write || missed) && p.origin != nil && p.origin.Lifecycle == policy.Ready:
			to = p.origin.ID
		case !p.rules.CacheAside || !r.Write && !missed:
			to = p.choose(p, r)
		}
		if c := p.caches[to]; c != nil {
			c.out++
			return policy.Decision{SendTo: []policy.EndpointID{to}, AttemptDeadline: by}
		}
	}
	if !mayHaveRun || g.Idempotency == policy.Idempotent || g.Idempotency == policy.IdempotentByKey && g.DedupScope == policy.AllCaches {
		return policy.Decision{Answer: policy.Reject, RetryAfter: min(p.rules.MaxRetryAfter, waits)}
	}
	return policy.Decision{Answer: policy.Fail}
}

// Still tells whether a leg may go out that has waited for its connection.
func (p *plain) MayStart(_ policy.Instant, r policy.Request, leg int) bool {
	c := p.caches[r.Attempts[leg].Endpoint]
	return c != nil && c.Lifecycle == policy.Ready
}

// After hears a leg's outcome, and tries again.
func (p *plain) OnAttemptDone(now policy.Instant, r *policy.Request, o policy.Outcome) policy.Decision {
	if c := p.caches[r.Attempts[o.Attempt].Endpoint]; c != nil {
		c.out = max(0, c.out-1)
	}
	return p.Route(now, r)
}
