// Package policy decides, for one node, where requests go. Its interface and id types are in types.go. A
// caller asks a Router by Where (send this request there, or not yet, or never), After (what to do after a
// leg's outcome), Still (may a leg go out) and Wait (upkeep), and tells what was heard by Listed and Probed.
// It keeps the timers and the requests and carries out each Move as it stands. Routers share nothing.
package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dahliapin/internal/histogram"
	"dahliapin/internal/keyhash"
)

const (
	segments     = 7                      // segments: the design's k
	copies       = 3                      // holders of a key: the design's number
	upkeepEvery  = 100 * time.Millisecond // upkeep period: a few service times, so that trouble is seen soon
	halveEvery   = 10                     // upkeeps between halvings of what is measured: about a second
	holds        = 4 * time.Second        // longest rest of a failing cache; a report fades over five times that
	failsToRest  = 2                      // failures, or errors in a grade, that a cache may have: one is chance
	breaksToRest = 4                      // connections broken under a grade's legs: each tells of itself only
	rankLegs     = 4.0                    // legs more for an earlier holder while the origin is short: a fetch
	missWeight   = 20.0                   // by which a miss counts as a short origin, times a crossing's price
	shortLeast   = 0.01                   // lost share of legs from which a write goes to one holder only
	tieBreak     = 1e-3                   // legs by which equal loads are parted: far below a real difference
	rankTie      = 0.5                    // what a rank weighs among equal loads, chance being 1 on the mean
	hotLeast     = 3.0                    // asked for a key before it may have more holders: two may be chance
	vainWeight   = 8.0                    // the same for legs all in vain: more than ranks
	opening      = 2.0                    // the same for a new connection: less than one leg of two in vain
	vainLegs     = 4.0                    // legs over which that is taken: a node meets one cache of many seldom
	faultyOne    = 0.5                    // belief that a cache errs, of what is left, by one error
	beliefKept   = 0.9                    // of what is believed of a cache, by a second or a good leg
	sooner       = 2.0                    // times shorter that queues are full for what is cheap, at the most
	trialShare   = 0.03                   // of those asked that always get in, to see a recovery
	evidence     = 10.0                   // asked, or reports, that are kept: fewer make chance a sign
	lately       = 50                     // requests over which shares are taken: a second or two
	spareShare   = 0.05                   // second copies per request: what a slow twentieth needs
	spareMost    = 10                     // second copies saved up: covers one cache falling silent
	lostLeast    = 1.1                    // asked per answer before any is turned away: a few are bad luck
	fullShare    = 0.1                    // lost legs that one turned away as full counts for: cheap but vain
	originFirst  = 16.0                   // legs there over all nodes, but one each, before anything is known
	originGrow   = 0.1                    // room gained by an answer in time, where that is under a leg
	originCut    = 0.9                    // room left after a late or lost answer: some are chance, ten a sign
	originLate   = 3                      // times its usual time, and half the soft limit: a leg there is lost
	coldFirst    = 160.0                  // legs to a cold cache over all nodes, of those that know too little
	originWary   = 4.0                    // growth of a rest from it; turned away so often before any was good
	originLeast  = 8.0                    // legs there that all nodes together may always have: a few a core
	runMost      = 2.0                    // times the stated nodes that may run: an upgrade has two of each
	strainWeight = 4.0                    // times the share of late legs there: a quarter is a full strain
	fallPart     = 0.67                   // of the multiple that fells a cold cache; chance has the rest
	crossingLegs = 48                     // legs in hand that a full crossing price is set against: it is sure
)

type cache struct {
	Endpoint
	hash              uint64
	out               int     // own legs in hand
	waitingOn, heard  Instant // first sending since the last word from it, and that word
	fails, refused    int     // legs in a row without a word, and without a connection
	restUntil, coldAt Instant // no legs before these; the second counts while it is cold
	foreign           float64 // requests of others it holds by its last report
	erred             []uint8 // errors by grade, halved by answers and by time
	vain, served      float64 // share of the last few legs that were full, late or lost; answered in two seconds
	faulty            float64 // how far it is believed to err, by any grade
	stood             EndpointState
	passed            Instant // when the last leg to it that was answered in time was sent
	usedAt, toldAt    Instant // when a connection there was last in use; when it last reported
}

type door struct{ asked, good float64 } // of a placement: turned away or ended at a cache; those in time

// Placements: of the home zone's caches (of all, where it has none of its own), of all but home's, and of all.
const home, away, pool = 0, 1, 2

type memo struct {
	met            bool
	grade          ServiceClass
	at             int // place of the grade among all
	key            uint64
	benefit, cheap float64    // the second: how readily it is turned away; 1 is the mean
	keptAt         EndpointID // a shared fetch has put the value here
}

var errs = [...]uint8{Errored: breaksToRest / failsToRest, ConnectionBroken: 1, CacheMiss: 0} // what each counts for

type Router struct {
	rules                Settings
	chance               keyhash.Source
	caches               map[EndpointID]*cache
	listed               []*cache            // without the origin
	placements           [2]*placement       // of home and of all; nil until asked for
	origin               *cache              // nil in through mode
	room, turns, spurned float64             // legs the origin may have; to rest for; turned away on end
	fetches              map[uint64]*Request // who fetches a key from the origin; others that miss it wait
	queue                []*Request          // waiting for room at the origin or for another's fetch
	wanted               map[uint64]float64  // benefit asked of each key; halved now and then
	short, bar           float64             // share of those for the origin without room; best worth
	strain, missing      float64             // share of late legs at the origin; of misses, by what they cost
	took, alone, pace    histogram.Histogram // of legs to caches: time, that of lone ones, time by each before
	originTook           time.Duration       // by a leg there, smoothed
	slow, patience       time.Duration       // the slow twentieth, and what means silence
	coldShare, coldMost  float64             // part of what it surely bears sent to a cold cache; longest rest
	usual, othersLoad    float64             // legs a warm cache of weight 1 answered; mean foreign load
	doors                [2]door             // as the placements
	spare, cheap, asking float64             // second copies saved up; mean cheapness; benefit asked
	apart                bool                // whether the home zone has a placement of its own
	cut                  map[ZoneID]int      // legs in a row that no cache of a zone took a connection for
	metered              []Instant           // up to when each league has used its share
	upkeeps, askFails    int
	newsAt, askAt, cutAt Instant // of the last report; when to ask for the list; of the last cut of the room
	originAt, originRest Instant // when a small room may have its next leg, and when any may
}

func New(now Instant, seed int64, rules Settings) *Router {
	rules.Nodes, rules.MaxAttempts = max(1, rules.Nodes), max(1, rules.MaxAttempts)
	rules.TickInterval = max(time.Millisecond, rules.TickInterval)
	p := &Router{rules: rules, cheap: 1, askAt: now, room: max(1, originFirst/float64(rules.Nodes)),
		turns: max(0, float64(rules.Nodes)/originFirst-2), spurned: originWary, cut: map[ZoneID]int{},
		coldShare: max(1, fallPart*rules.OverloadFactor), doors: [2]door{{evidence, evidence}, {evidence, evidence}},
		coldMost: float64(rules.SlowStartDuration) * max(1, float64(rules.Nodes)/coldFirst), fetches: map[uint64]*Request{},
		caches: map[EndpointID]*cache{}, wanted: map[uint64]float64{}, metered: make([]Instant, len(rules.Tenants)),
		chance: keyhash.Source{Seed: uint32(seed ^ seed>>32)}}
	p.retime()
	p.originRest = now.Add(time.Duration(p.chance.Float64() * p.turns * float64(p.slow) / originLate))
	return p
}

// sort splits the list when its set has changed; placements are made anew when they are asked for.
func (p *Router) sort() {
	p.listed, p.placements, p.origin = nil, [2]*placement{}, nil
	n := 0
	for _, c := range p.caches {
		if !p.rules.CacheAside || c.Kind != p.rules.OriginKind {
			if p.listed = append(p.listed, c); c.Zone == p.rules.Zone {
				n++
			}
		} else if p.origin == nil || c.ID < p.origin.ID {
			p.origin = c
		}
	}
	slices.SortFunc(p.listed, func(a, b *cache) int {
		if a.hash != b.hash {
			return cmp.Compare(a.hash, b.hash)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	p.apart = p.rules.CrossZoneCost > 0 && n >= copies && n < len(p.listed)
}

func (p *Router) sideOf(c *cache) int {
	if p.apart && c.Zone != p.rules.Zone {
		return away
	}
	return home
}

// placement returns a placement's slots: where the home zone has one, the design holds within it; others' are spares.
func (p *Router) placement(side int) *placement {
	if p.placements[side] == nil {
		var cs []*cache
		for _, c := range p.listed {
			if side != home || p.sideOf(c) == home {
				cs = append(cs, c)
			}
		}
		p.placements[side] = newPlacement(cs)
	}
	return p.placements[side]
}

func (p *Router) UpdateEndpoints(now Instant, form UpdateKind, entries []Endpoint) {
	if form == PollFailed {
		p.askFails = min(p.askFails+1, 5)
		p.askAt = now.Add(time.Duration((0.5 + p.chance.Float64()) * float64(upkeepEvery<<p.askFails)))
		return
	}
	if form != LastKnownUpdate { // it is being followed
		p.askFails, p.askAt = 0, math.MaxInt64
	}
	named, changed := map[EndpointID]bool{}, false
	for _, e := range entries {
		c := cmp.Or(p.caches[e.ID], &cache{})
		named[e.ID], e.StartedAt, e.Weight = true, cmp.Or(e.StartedAt, Never), cmp.Or(max(e.Weight, 0), 1)
		p.caches[e.ID] = c
		if c.ID == "" || e.StartedAt > c.StartedAt { // started anew: what was learned of the old process says nothing
			*c = cache{Endpoint: c.Endpoint, hash: keyhash.String(string(e.ID)), toldAt: Never, usedAt: Never,
				erred: make([]uint8, len(p.rules.Classes)+1)}
		}
		changed = changed || c.ID == "" || c.Zone != e.Zone || c.Kind != e.Kind
		c.Endpoint = e
	}
	for id, c := range p.caches {
		if c.Lifecycle == Removed || form != DeltaUpdate && !named[id] {
			delete(p.caches, id)
			changed = true
		}
	}
	if changed { // a state or a start that changes leaves the placement as it is: it costs most of what news costs
		p.sort()
	}
}

func (p *Router) OnHealthCheck(now Instant, id EndpointID, found Result) {
	if c := p.caches[id]; c != nil && found != Answered {
		p.failed(now, c, found)
	} else if c != nil {
		c.fails, c.refused, c.restUntil = min(c.fails, failsToRest-1), 0, 0
	}
}

func (p *Router) failed(now Instant, c *cache, how Result) {
	if c.fails++; how == ConnectFailed {
		c.refused, p.cut[c.Zone] = c.refused+1, p.cut[c.Zone]+1
	}
	if c.fails >= failsToRest {
		c.restUntil = now.Add(min(holds, max(upkeepEvery, p.patience)<<min(c.fails-failsToRest, 6)))
	}
}

// silent tells whether a cache says nothing. After a rest a single leg, or a probe, may show that it is back.
func (p *Router) silent(now Instant, c *cache) bool {
	return now < c.restUntil || c.fails >= failsToRest && (c.out > 0 || p.rules.HealthChecksAllowed) ||
		c.out > 0 && now.Since(c.waitingOn) > p.patience
}

func (p *Router) warmth(now Instant, c *cache) float64 { // the share of capacity it is sure to have by now
	old := max(0, float64(now.Since(c.StartedAt))) / max(1, float64(p.rules.SlowStartDuration))
	return min(1, p.rules.SlowStartShare+(1-p.rules.SlowStartShare)*old)
}

// coldTo guards against pushing a cold cache over: by a slice of the keys that widens, and by gaps in time.
func (p *Router) coldTo(now Instant, c *cache, key uint64) bool {
	w := p.warmth(now, c)
	if w < 1 && c.coldAt == 0 {
		p.spaceOut(now, c, p.chance.Float64())
	}
	return w < 1 && (float64(keyhash.Mix(key^c.hash)) > p.coldShare*w*(1<<64) || now < c.coldAt)
}

func (p *Router) spaceOut(now Instant, c *cache, share float64) {
	gap := 2 * halveEvery * float64(upkeepEvery) / (p.coldShare * p.warmth(now, c) * p.usual * c.Weight)
	c.coldAt = now.Add(time.Duration(share * min(p.coldMost, gap)))
}

// load is own legs there and what it reports beside them: the others' mean if it does not, or as that ages.
func (p *Router) load(now Instant, c *cache) float64 {
	fresh := max(0, 1-float64(now.Since(c.toldAt))/float64(5*holds))
	return float64(c.out) + p.othersLoad + (c.foreign-p.othersLoad)*fresh
}

// lawful is the second rule and the third: may this request go to this cache now, however wise it seems?
func (p *Router) lawful(now Instant, r *Request, c *cache) bool {
	if r.Finished || c.Lifecycle != Ready || len(r.Attempts) >= p.rules.MaxAttempts || p.left(now, r) <= 0 {
		return false
	}
	g := r.memo.grade
	for _, leg := range r.Attempts {
		if leg.InFlight && (!p.rules.HedgingAllowed || g.Idempotency == NotIdempotent) {
			return false
		}
		if !leg.InFlight && leg.Result.NotExecuted() || g.Idempotency == Idempotent {
			continue
		}
		was := p.caches[leg.Endpoint]
		if g.Idempotency == NotIdempotent || now.Since(leg.SentAt) >= g.DedupWindow-p.rules.TickInterval ||
			g.DedupScope != AllCaches && was == nil || g.DedupScope == SameZone && was.Zone != c.Zone ||
			g.DedupScope == SameGroup && was.Group != c.Group {
			return false
		}
	}
	return true
}

// MayStart tells whether a leg may go out whose connection took time: news may have come, or a window passed.
func (p *Router) MayStart(now Instant, r Request, leg int) bool {
	c := p.caches[r.Attempts[leg].Endpoint]
	r.Attempts = slices.Delete(slices.Clone(r.Attempts), leg, leg+1)
	return c != nil && p.lawful(now, &r, c)
}

// left is the time in which a leg can still be answered before the deadline.
func (p *Router) left(now Instant, r *Request) time.Duration {
	return r.Deadline.Since(now) - 2*p.rules.TickInterval
}

var isOut, missed = func(l Attempt) bool { return l.InFlight }, func(l Attempt) bool { return l.Result == CacheMiss }

// giveUp ends a request at once: with a rejection where a retry is sure to do no harm.
func (p *Router) giveUp(r *Request) Decision {
	g := r.memo.grade
	if g.Idempotency == Idempotent || g.Idempotency == IdempotentByKey && g.DedupScope == AllCaches ||
		!slices.ContainsFunc(r.Attempts, func(l Attempt) bool { return l.InFlight || !l.Result.NotExecuted() }) {
		return Decision{Answer: Reject, RetryAfter: min(p.rules.MaxRetryAfter, g.LatencyObjective/2)}
	}
	return Decision{Answer: Fail}
}

// turnAway guards against collapse: while far more is asked than answered, by chance, cheaper ones more.
func (p *Router) turnAway(r *Request, side int) bool {
	d, least := &p.doors[side], lostLeast
	if p.apart && side == home { // others' caches are asked by the share that home loses: it costs a crossing
		least = 1 - trialShare
	}
	over := (1-trialShare)*d.asked - least*d.good
	if over <= 0 || p.chance.Float64() < math.Pow(1-over/d.asked, r.memo.cheap) {
		return false
	}
	d.asked++
	return true
}

// locate returns the cache at a segment's location for a key; a slot whose cache takes no connection is dead.
func (p *Router) locate(now Instant, side, seg int, key uint64) *cache {
	dead := func(c *cache) bool { return c.refused >= failsToRest && now < c.restUntil }
	return p.placement(min(side, away))[seg].locate(keyhash.Salted(key, segments+seg), dead)
}

// holders lists a key's caches, first ranked first. One that drains, is silent, fails this grade fast and so
// looks idle, or is too cold for the key yields to the next ranked spare. Reads of a key that is asked for
// more than three caches' even share have more holders, or those would be full while others had room.
func (p *Router) holders(now Instant, r *Request, side int) (hs []*cache) {
	n, w := copies, p.wanted[r.memo.key]
	if !r.Write && w*p.cheap*p.cheap >= hotLeast {
		n = max(n, min(segments, int(w/p.asking*float64(len(p.listed)))))
	}
	order := [segments]int{0, 1, 2, 3, 4, 5, 6}
	score := func(seg int) uint64 { return keyhash.Salted(r.memo.key, seg) }
	slices.SortFunc(order[:], func(a, b int) int { return cmp.Compare(score(a), score(b)) })
	for _, seg := range order {
		c := p.locate(now, side, seg, r.memo.key)
		if c != nil && len(hs) < n && (side != away || c.Zone != p.rules.Zone) &&
			p.lawful(now, r, c) && !p.coldTo(now, c, r.memo.key) &&
			(c.Zone == p.rules.Zone || p.cut[c.Zone] < copies || p.chance.Float64()*evidence < 1) && // cut off: a few try
			!p.silent(now, c) && c.erred[r.memo.at] < breaksToRest {
			hs = append(hs, c)
		}
	}
	return hs
}

// pick chooses the least loaded holder not yet tried; full: queues would take the rest of the soft limit.
func (p *Router) pick(now Instant, r *Request, hs []*cache) (best *cache, full bool) {
	soft, least := r.memo.grade.LatencyObjective, math.Inf(1)
	// while the origin is short, earlier ones may have legs more; by chance, or it would part all equal loads
	lean, rank := rankTie, max(0, rankLegs*max(p.short, min(1, p.missing))-p.chance.Float64())
	if len(hs) > copies { // a key that is spread has no first holder
		rank, lean = 0, 0
	}
	for i, c := range hs {
		load := p.load(now, c)
		l := load + rank*float64(i) + p.tie(now, c, lean*float64(i))
		if c.Zone != p.rules.Zone {
			l += crossingLegs * p.rules.CrossZoneCost
		}
		switch {
		case slices.ContainsFunc(r.Attempts, func(l Attempt) bool { return l.Endpoint == c.ID }):
		case p.crowded(load, max(soft-now.Since(r.ArrivedAt), soft/2), min(sooner, max(1, r.memo.cheap))):
			full = true
		case l < least:
			best, least = c, l
		}
	}
	return best, full && best == nil
}

// choose picks a holder by a placement; where none can take it, of those away, also beside a leg that is silent.
func (p *Router) choose(now Instant, r *Request, side int) (c *cache, hs []*cache, full bool) {
	hs = p.holders(now, r, side)
	if c, full = p.pick(now, r, hs); c == nil && p.apart && side != away {
		spare, others, short := p.choose(now, r, away)
		return spare, others, full || short
	}
	return c, hs, full
}

// crowded tells whether those before a leg would take what its own work, known apart, leaves of a time.
func (p *Router) crowded(load float64, left time.Duration, sooner float64) bool {
	return load*float64(p.pace.Quantile(0.5, 0))*sooner > float64(max(left-p.alone.Quantile(0.5, 0), left/4))
}

// tie parts equal loads, as most are at a node that sees few: by chance, worth, rank and open connections.
func (p *Router) tie(now Instant, c *cache, rank float64) float64 {
	t := rank + vainWeight*(c.vain+2*c.faulty) - math.Log(1-p.chance.Float64())
	if c.out == 0 && now.Since(c.usedAt) > p.rules.IdleTimeout-time.Second {
		t += opening
	}
	return tieBreak * t / c.Weight
}

func (p *Router) send(now Instant, r *Request, cs ...*cache) Decision {
	m := Decision{AttemptDeadline: now.Add(p.left(now, r)), ReviewAt: now.Add(p.slow)}
	for _, c := range cs {
		if c.out++; c.out == 1 {
			c.waitingOn = now
		}
		p.spaceOut(now, c, 1)
		c.usedAt = now
		m.SendTo = append(m.SendTo, c.ID)
	}
	return m
}

func (p *Router) meet(now Instant, r *Request) { // an unknown grade counts as of the strictest there is
	g, at := ServiceClass{LatencyObjective: r.Deadline.Since(r.ArrivedAt)}, len(p.rules.Classes)
	if r.Class >= 0 && int(r.Class) < at {
		g, at = p.rules.Classes[r.Class], int(r.Class)
	}
	benefit := g.PriorityWeight
	if l := int(r.Tenant); l >= 0 && l < len(p.metered) && p.rules.Tenants[l].QuotaPerSecond > 0 {
		each := float64(time.Second) * float64(p.rules.Nodes) / p.rules.Tenants[l].QuotaPerSecond
		if at := max(p.metered[l].Add(time.Duration(each)), now.Add(-time.Second)); at <= now {
			p.metered[l] = at
		} else { // beyond its share
			benefit *= p.rules.OverQuotaWeight
		}
	}
	cheap, key := 1/math.Sqrt(max(benefit, 0.01)), keyhash.String(r.Key)
	p.cheap += (cheap - p.cheap) / lately // set against its mean, or a few very cheap ones would close the door
	p.spare, p.missing = min(spareMost, p.spare+spareShare), p.missing-p.missing/lately
	p.wanted[key], p.asking = p.wanted[key]+benefit, p.asking+benefit
	r.memo = memo{true, g, at, key, benefit, cheap / p.cheap, ""}
}

func (p *Router) Route(now Instant, r *Request) Decision {
	if r.Finished {
		return Decision{}
	} else if !r.memo.met {
		p.meet(now, r)
	}
	if i := slices.IndexFunc(r.Attempts, isOut); i >= 0 {
		return p.further(now, r, i)
	}
	return p.next(now, r)
}

// further decides on a read whose leg is out long: a copy beside it, if lateness costs more, or calling off.
func (p *Router) further(now Instant, r *Request, leg int) Decision {
	to := p.caches[r.Attempts[leg].Endpoint]
	origin, soft := to != nil && to == p.origin, r.memo.grade.LatencyObjective
	out, late := now.Since(r.Attempts[leg].SentAt), max(originLate*p.originTook, soft/2)
	silent := to == nil || !origin && p.silent(now, to) || origin && p.spare >= 1 && out > late
	switch {
	case r.Write || r.memo.grade.Idempotency == NotIdempotent:
		return Decision{}
	case !origin && p.rules.HedgingAllowed && p.spare >= 1 && p.chance.Float64() >= p.short &&
		(silent || p.rules.WasteCost <= p.took.CountAbove(soft)/max(1, p.took.CountAbove(out))):
		if c, _, _ := p.choose(now, r, home); c != nil && !p.silent(now, c) {
			p.spare--
			return p.send(now, r, c)
		}
	case (origin || !p.rules.HedgingAllowed) && p.rules.CancelAllowed && silent && p.left(now, r) > p.slow:
		return Decision{Cancel: []int{leg}}
	}
	return Decision{ReviewAt: now.Add(p.slow)}
}

func (p *Router) next(now Instant, r *Request) Decision {
	g, ran := r.memo.grade, len(r.Attempts) > 0 && !r.Attempts[len(r.Attempts)-1].Result.NotExecuted()
	if len(r.Attempts) >= p.rules.MaxAttempts || p.left(now, r) <= p.slow/8 || ran && p.spare < 0 {
		return p.giveUp(r)
	}
	// a last leg after a full one goes where the value surely is: a third cache may be full, or lack it
	pressure := max(p.short, strainWeight*p.strain)
	sure := p.origin != nil && p.free(now) > 0 && p.chance.Float64() >= strainWeight*pressure && len(r.Attempts) > 0 &&
		len(r.Attempts) == p.rules.MaxAttempts-1 && r.Attempts[len(r.Attempts)-1].Result == Rejected && g.Idempotency == Idempotent
	if p.rules.CacheAside && (r.Write || sure || slices.ContainsFunc(r.Attempts, missed)) {
		kept := p.caches[r.memo.keptAt]
		if r.memo.keptAt = ""; kept != nil && p.lawful(now, r, kept) {
			return p.send(now, r, kept)
		}
		return p.toOrigin(now, r)
	}
	side := home // while the origin is strained, zones do without copies of their own
	if p.apart && p.chance.Float64() < pressure {
		side = pool
	}
	c, hs, full := p.choose(now, r, side)
	refused := c != nil && len(r.Attempts) == 0 && p.turnAway(r, p.sideOf(c)) // full queues are no loss
	if refused && p.apart && p.sideOf(c) == home {
		c, hs, full = p.choose(now, r, away)
		refused = c != nil && p.turnAway(r, away)
	}
	switch {
	case refused:
	case c != nil && r.Write && g.Idempotency == IdempotentByKey && g.DedupScope == AllCaches && p.rules.HedgingAllowed &&
		len(r.Attempts) == 0 && p.short < shortLeast:
		return p.send(now, r, hs[:min(len(hs), p.rules.MaxAttempts)]...) // through mode: to all holders
	case c != nil:
		return p.send(now, r, c)
	case !full && len(p.listed) > 0 && p.rules.CacheAside && g.Idempotency == Idempotent:
		return p.toOrigin(now, r)
	}
	return p.giveUp(r)
}

func (p *Router) leads(r *Request) bool { // to the origin itself: it has no other's fetch to wait for
	f := p.fetches[r.memo.key]
	return r.Write || f == nil || f == r || f.Finished
}

// toOrigin sends a write, or a read that missed: one fetches a key while others wait, and legs are bounded.
func (p *Router) toOrigin(now Instant, r *Request) Decision {
	left := r.memo.grade.LatencyObjective - now.Since(r.ArrivedAt)
	queued := slices.Contains(p.queue, r)
	if p.origin == nil || !p.lawful(now, r, p.origin) || queued && left <= 0 {
		return p.giveUp(r)
	}
	leads, full := p.leads(r), p.free(now) <= 0
	if leads && !r.Write {
		p.fetches[r.memo.key] = r
	}
	if leads && !queued {
		if p.short -= p.short / lately; full {
			p.short += 1.0 / lately
		}
	}
	if leads && !full {
		p.originAt = now.Add(time.Duration(float64(p.originTook) / p.room))
		return p.send(now, r, p.origin)
	}
	if !queued {
		if p.chance.Float64()*p.bar > p.wanted[r.memo.key] {
			return p.giveUp(r)
		}
		p.queue = append(p.queue, r)
	}
	return Decision{ReviewAt: now.Add(min(max(left, 2*p.rules.TickInterval), p.left(now, r)))}
}

// free is how many legs more the origin may have; in a room for less than one, one now and then.
func (p *Router) free(now Instant) int {
	if now < p.origin.restUntil || now < p.originRest || p.room < 1 && now < p.originAt {
		return 0
	}
	return int(max(1, p.room)) - p.origin.out
}

// dequeue wakes those whose fetch is over, or that the origin has room for: worth most first, then oldest.
func (p *Router) dequeue(now Instant) (wake []RequestID) {
	done := func(q *Request) bool { return q.Finished || slices.ContainsFunc(q.Attempts, isOut) }
	p.queue = slices.DeleteFunc(p.queue, done)
	free, unserved := p.free(now), 0.0
	if free > 0 { // else nobody is woken by worth: sorting at each outcome would take longer the more requests wait
		most := func(a, b *Request) int { return cmp.Compare(p.wanted[b.memo.key], p.wanted[a.memo.key]) }
		slices.SortStableFunc(p.queue, most)
	}
	for _, q := range p.queue {
		kept, leads := q.memo.keptAt != "", p.leads(q)
		if kept || leads && free > 0 {
			wake = append(wake, q.ID)
		} else if leads {
			unserved = max(unserved, p.wanted[q.memo.key])
		}
		if leads && !kept {
			free--
		}
	}
	p.bar += (unserved - p.bar) / lately
	return wake
}

func (p *Router) OnAttemptDone(now Instant, r *Request, o Outcome) (m Decision) {
	leg, leads := r.Attempts[o.Attempt], p.fetches[r.memo.key] == r
	if c := p.caches[leg.Endpoint]; c != nil {
		p.learn(now, c, r, leg, o)
	}
	if !r.Finished && !leg.Result.NotExecuted() && leg.Result != ConnectionBroken { // against storms of legs when most fail
		p.spare = max(-1, p.spare-1)
	}
	if !r.Finished && !slices.ContainsFunc(r.Attempts, isOut) {
		m = p.next(now, r)
	}
	for i, l := range r.Attempts {
		if r.Finished && l.InFlight && p.rules.CancelAllowed {
			m.Cancel = append(m.Cancel, i)
		}
	}
	if leads && (r.Finished || m.Answer != NoAnswer) { // its fetch is over, well or not
		delete(p.fetches, r.memo.key)
		first := slices.IndexFunc(r.Attempts, missed) // where the value is kept now
		for _, q := range p.queue {
			if q.memo.key == r.memo.key && !q.Write && leg.Result == Answered && first >= 0 {
				q.memo.keptAt = r.Attempts[first].Endpoint
			}
		}
	}
	if len(p.queue) > 0 && p.origin != nil {
		m.Wake = p.dequeue(now)
	}
	return m
}

func (p *Router) learn(now Instant, c *cache, r *Request, leg Attempt, o Outcome) {
	d, at, own, inTime, sign := &p.doors[p.sideOf(c)], r.memo.at, float64(c.out), 0.0, 1.0
	if (leg.Result == Answered || leg.Result == CacheMiss) && o.Latency <= r.memo.grade.LatencyObjective {
		inTime, c.passed = 1, max(c.passed, leg.SentAt)
	} else if leg.Result == Answered {
		inTime = r.memo.grade.LateShare
	} else if leg.Result == TimedOut { // the less time it had, the less is the cache to blame
		sign = min(1, float64(o.Latency)/max(1, float64(r.memo.grade.LatencyObjective)))
	}
	if c.faulty *= beliefKept; leg.Result == Errored {
		c.faulty += (1 - c.faulty) * faultyOne
	}
	if e := errs[leg.Result]; e > 0 {
		c.erred[at] = min(c.erred[at]+e, 2*breaksToRest)
	} else if leg.Result == Answered {
		c.erred[at] /= 2
		if c != p.origin {
			p.took.Observe(o.Latency)
			if before := p.load(now, c) - 1; before < 1 {
				p.alone.Observe(o.Latency)
			} else {
				p.pace.Observe(time.Duration(float64(o.Latency-p.alone.Quantile(0.5, 0)) / before))
			}
		}
	}
	if c != p.origin && leg.Result == CacheMiss {
		p.missing += missWeight * p.rules.CrossZoneCost / lately // it crosses to the origin
	}
	if c.out, c.usedAt = max(0, c.out-1), now; leg.Result == Answered || leg.Result == CacheMiss {
		c.served++
	}
	switch leg.Result {
	case Answered, CacheMiss, Errored, Rejected:
		c.heard, c.waitingOn, c.fails, c.refused, c.restUntil, p.cut[c.Zone] = now, now, 0, 0, 0, 0
	case TimedOut, ConnectFailed, Cancelled:
		if c.heard < leg.SentAt && (leg.Result == ConnectFailed || now.Since(leg.SentAt) > p.patience) {
			p.failed(now, c, leg.Result)
		}
	}
	switch i, q := p.rules.InFlightColumn, p.rules.QueueColumn; {
	case i >= 0 && i < len(o.LoadReport): // it counts own legs too
		c.foreign, c.toldAt = max(0, o.LoadReport[i]-own), now
	case q >= 0 && q < len(o.LoadReport): // own legs are mostly in work, which this leaves out
		c.foreign, c.toldAt = max(0, o.LoadReport[q]), now
	}
	if c.toldAt == now && c != p.origin {
		p.othersLoad += (min(c.foreign, 2*p.othersLoad+1) - p.othersLoad) / evidence
		p.newsAt = now
	}
	switch { // first what is no sign of load
	case leg.Result == TimedOut && c != p.origin && c.passed > leg.SentAt: // a later one has overtaken it
	case errs[leg.Result] > 0, leg.Result == Cancelled, leg.Result == NotSent, leg.Result == ConnectFailed:
	case leg.Result == Rejected && c != p.origin:
		d.asked, c.vain = d.asked+fullShare, c.vain+(1-c.vain)/vainLegs
	case c != p.origin:
		d.asked, d.good, c.vain = d.asked+sign, d.good+inTime, c.vain+(1-inTime-c.vain)/vainLegs
	default:
		p.spurned = map[bool]float64{leg.Result == Rejected: p.spurned + 1}[true]
		if leg.Result == Rejected { // once says little; on end all may be, and must not come back together
			o.Latency = max(o.Latency, p.originTook) // nor does it tell how long work takes
			rest := (0.5 + p.chance.Float64()) * min(runMost*p.turns, math.Pow(originWary, p.spurned-1)-1)
			p.originRest = now.Add(time.Duration(rest * float64(p.slow)))
		}
		if p.originTook += (o.Latency - p.originTook) / 8; inTime == 1 && o.Latency <= r.memo.grade.LatencyObjective/2 {
			p.strain -= p.strain / evidence
			p.room += min(1/p.room, originGrow*p.room, max(0, 2*own-p.room)) // room that is not used is no sign
		} else if p.strain += (1 - p.strain) / evidence; now.Since(p.cutAt) > p.slow {
			p.room, p.cutAt = max(originLeast/float64(p.rules.Nodes), p.room*originCut), now
		}
	}
}

func (p *Router) Tick(now Instant) (wait time.Duration, chores []Action) {
	halve := p.upkeeps%halveEvery == halveEvery-1
	if p.upkeeps++; halve {
		for i := range p.doors {
			if d := &p.doors[i]; d.asked > 2*evidence {
				d.asked, d.good = d.asked/2, d.good/2
			}
		}
		if now.Since(p.newsAt) > halveEvery*upkeepEvery { // or where all look full, no leg would ever find out
			p.othersLoad /= 2
		}
		p.took.Decay()
		p.alone.Decay()
		p.pace.Decay()
		if len(p.wanted) > lately { // else there is too little to tell which are popular
			p.asking /= 2
			maps.DeleteFunc(p.wanted, func(key uint64, w float64) bool {
				p.wanted[key] = w / 2
				return w*p.cheap*p.cheap < 0.5
			})
		}
		maps.DeleteFunc(p.fetches, func(_ uint64, r *Request) bool { return r.Finished })
	}
	if d := p.doors[home]; !p.rules.CacheAside { // as far as can be seen, who loses legs is short of its origin
		p.short = max(0, d.asked-d.good) / max(1, d.asked)
	}
	p.retime()
	served, weight := 0.0, 0.0
	for _, c := range p.listed {
		if halve {
			c.served, c.faulty, c.vain = c.served/2, c.faulty*beliefKept, c.vain*beliefKept
			for g := range c.erred {
				c.erred[g] /= 2
			}
		}
		served, weight = served+c.served, weight+c.Weight*p.warmth(now, c)
		if p.rules.HealthChecksAllowed && c.fails >= failsToRest && now >= c.restUntil {
			chores = append(chores, Action{Kind: CheckHealth, Endpoint: c.ID})
			c.restUntil = now.Add(p.patience)
		}
	}
	p.usual = served / max(weight, 1e-9)
	if p.rules.PollEndpoints && now >= p.askAt {
		p.askAt = now.Add(max(p.rules.PollInterval, time.Second))
		chores = append(chores, Action{Kind: PollEndpoints})
	}
	return upkeepEvery, chores
}

func (p *Router) retime() {
	soft := time.Second
	for _, g := range p.rules.Classes {
		soft = min(soft, g.LatencyObjective)
	}
	p.slow = max(p.took.Quantile(0.95, soft/2), 2*p.rules.TickInterval)
	p.patience = max(2*p.took.Quantile(0.99, soft), 4*p.rules.TickInterval)
}
