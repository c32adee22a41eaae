// Package policy decides, for one node, where retrievals go. Its interface and id types are in types.go.
//
// A caller makes one Router with New and asks it through three calls: Where (send this retrieval there, or not yet,
// or never), After (what to do after a leg's outcome) and Wait (how long until the next upkeep, and the chores due
// now). Listed and Probed tell it what was heard and return nothing. The caller keeps the timers and the retrievals
// and carries out each Move as it stands. Nothing here is shared between Routers.
package policy

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	segments     = 7                      // segments; the design's k
	copies       = 3                      // holders of a key; fewer would leave a hot key no choice, more waste memory
	bins         = 14                     // histogram bins, each twice the last: from under 1 ms to over 4 s
	firstBin     = time.Millisecond       // upper end of the first bin; below this all servers look alike
	upkeepEvery  = 100 * time.Millisecond // upkeep period: a few service times, so that trouble is seen soon
	halveEvery   = 20                     // upkeeps between halvings: a memory of a few seconds
	trialMost    = 4 * time.Second        // longest pause between trials of a failing cache: drains take about that
	failsToRest  = 2                      // failures in a row before a cache rests: one may be chance
	rankLegs     = 4.0                    // legs more that an earlier holder may have while the origin is short: a fetch costs about that
	shortOver    = 50                     // retrievals bound for the origin that tell whether it is short: a second or two
	hedgeShare   = 0.05                   // second copies per retrieval: what a slow twentieth needs
	hedgeBurst   = 10                     // second copies saved up: covers one cache that falls silent
	lostLeast    = 1.5                    // asked for each one answered before any is turned away: a third may be lost to a few bad caches
	trialsLeast  = 4.0                    // asked in a memory that always get in, so that a recovery is seen: about two a second
	fadeEvery    = 10                     // upkeeps between halvings of what was asked and answered: about a second
	roomGrows    = 0.1                    // legs more per answer at the brim: a cache's queue is tried every ten answers
	originFirst  = 8                      // legs at the origin before anything is known of it: a handful per core
	crossingLegs = 16                     // legs in hand that a full crossing price is set against
)

type cache struct {
	Entry
	hash      uint64
	out       int           // own legs in hand
	waitingOn Instant       // first sending since the last word from it
	ghosts    []Instant     // sendings of legs given up on that it may still be at work for
	heard     Instant       // last word from it
	fails     int           // legs in a row without a word
	refused   int           // connections in a row not made
	restUntil Instant       // no ordinary legs before this
	room      float64       // own legs in hand at which it turns more away, as learned
	pace      histogram     // time a retrieval took for each one in hand when it was sent
	per       time.Duration // median of pace
	foreign   float64       // retrievals of others it holds, by its last report
	reported  bool          // foreign is known
	erred     []uint16      // by grade, halved now and then
	answered  []uint16      // by grade, halved now and then
	sent      float64       // legs sent, fading over the span of the cold rule
	sentAt    Instant
}

type histogram [bins]uint32

func (h *histogram) add(d time.Duration) {
	h[min(bins-1, bits.Len64(uint64(d/firstBin)))]++
}

func (h *histogram) halve() {
	for i := range h {
		h[i] /= 2
	}
}

// quantile returns the time that the share q stays under, or otherwise while little is known.
func (h *histogram) quantile(q float64, otherwise time.Duration) time.Duration {
	total := uint32(0)
	for _, n := range h {
		total += n
	}
	if total < 2*bins {
		return otherwise
	}
	want, low := q*float64(total), time.Duration(0)
	for i, n := range h {
		high := firstBin << i
		if float64(n) >= want {
			return low + time.Duration(want/float64(max(n, 1))*float64(high-low))
		}
		want, low = want-float64(n), high
	}
	return low
}

// fetch is one retrieval's way to the origin, which others that miss the same key wait for.
type fetch struct {
	leader  *Retrieval
	at      CacheID // where the value will be kept
	waiters []RetrievalID
}

// memo is what the Router remembers of a retrieval in hand.
type memo struct {
	met    bool
	cheap  float64 // how readily it is turned away
	key    uint64
	keptAt CacheID // a shared fetch has put the value here
}

// Router makes the decisions of one node.
type Router struct {
	rules                   HouseRules
	seed, draws             uint32
	caches                  map[CacheID]*cache
	listed, origins         []*cache // by hashed id
	segs                    [segments][]*cache
	fetches                 map[uint64]*fetch
	took                    histogram
	typical, slow, patience time.Duration // the median, the slow twentieth, and when no word means silence
	usual                   float64       // legs a warm cache of weight 1 was sent in the span of the cold rule
	othersLoad              float64       // mean foreign load of those that report
	blind                   bool          // most caches seem silent, so the trouble is not theirs
	hedges, benefit         float64
	asked, good             float64      // legs to caches that ended, and those answered in time; halved now and then
	short                   float64      // share of those bound for the origin that found no room
	queue                   []*Retrieval // waiting for the origin
	originRoom              float64
	originCut               Instant
	quotas                  []float64
	metered, upkept         Instant
	upkeeps                 int
	following, asking       bool
	askedAt, askNext        Instant
	askFails                int
	ranks                   [segments]rank
	grade                   []Grade
}

type rank struct {
	score uint64
	seg   int
}

// New returns a Router for one node's life.
func New(now Instant, seed int64, rules HouseRules) *Router {
	p := &Router{rules: rules, seed: uint32(seed ^ seed>>32), caches: map[CacheID]*cache{}, fetches: map[uint64]*fetch{},
		originRoom: originFirst, metered: now, upkept: now}
	p.rules.Nodes = max(1, rules.Nodes)
	if rules.MostLegs <= 0 {
		p.rules.MostLegs = 1
	}
	if rules.Round <= 0 {
		p.rules.Round = time.Millisecond
	}
	p.quotas = make([]float64, len(rules.Leagues))
	p.retime()
	return p
}

func mix(x uint64) uint64 { // splitmix64's finaliser: unlike CRC32 its values for two segments are independent
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hashText(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

func salted(h uint64, salt int) uint64 { return mix(h ^ mix(uint64(salt+1)*0x9e3779b97f4a7c15)) }

func (p *Router) chance() float64 {
	var b [8]byte
	p.draws++
	binary.LittleEndian.PutUint32(b[:4], p.seed)
	binary.LittleEndian.PutUint32(b[4:], p.draws)
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// deal spreads hashed ids evenly over n places, the nearest pairs first. It depends on the set alone, so nodes with
// the same list agree, and one id less moves few others.
func deal(hashes []uint64, n, salt int) []int {
	type pair struct {
		score     uint64
		id, place int
	}
	var pairs []pair
	place, held := make([]int, len(hashes)), make([]int, n)
	for i, h := range hashes {
		place[i] = -1
		for j := range n {
			pairs = append(pairs, pair{salted(h, salt+j), i, j})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(hashes[a.id], hashes[b.id]))
	})
	least, extra := len(hashes)/n, len(hashes)%n
	for _, q := range pairs {
		if place[q.id] >= 0 || held[q.place] > least || held[q.place] == least && extra == 0 {
			continue
		}
		if held[q.place] == least {
			extra--
		}
		place[q.id] = q.place
		held[q.place]++
	}
	return place
}

// linear is linear hashing (the paper's 3.1.1): the slot of n that holds h.
func linear(h uint64, n int) int {
	l := bits.Len(uint(n)) - 1
	if s := int(h & (1<<(l+1) - 1)); s < n {
		return s
	}
	return int(h & (1<<l - 1))
}

// leftOf returns the slot next to the left in the key space, where slots lie by their bits reversed.
func leftOf(slot, n int) int {
	at := func(s int) uint64 { return bits.Reverse64(uint64(s)) }
	best := slot
	for s := range n { // the distance leftward, wrapping round, is the difference modulo 2^64
		if s != slot && (best == slot || at(slot)-at(s) < at(slot)-at(best)) {
			best = s
		}
	}
	return best
}

// redeal lays the listed caches out anew.
func (p *Router) redeal() {
	p.listed, p.origins = p.listed[:0], p.origins[:0]
	for _, c := range p.caches {
		if p.rules.Aside && c.Kind == p.rules.OriginKind {
			p.origins = append(p.origins, c)
		} else {
			p.listed = append(p.listed, c)
		}
	}
	byHash := func(a, b *cache) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID)) }
	slices.SortFunc(p.listed, byHash)
	slices.SortFunc(p.origins, byHash)
	hashes := func(cs []*cache) (hs []uint64) {
		for _, c := range cs {
			hs = append(hs, c.hash)
		}
		return hs
	}
	p.segs = [segments][]*cache{}
	for i, s := range deal(hashes(p.listed), segments, 0) {
		p.segs[s] = append(p.segs[s], p.listed[i])
	}
	for s, in := range p.segs {
		slots := make([]*cache, len(in))
		for i, n := range deal(hashes(in), max(1, len(in)), segments) {
			slots[n] = in[i]
		}
		p.segs[s] = slots
	}
}

// Listed tells of news from the list.
func (p *Router) Listed(now Instant, form ListForm, entries []Entry) {
	if form == AskFailed {
		p.asking, p.following = false, false
		p.askFails = min(p.askFails+1, 5)
		p.askNext = now.Add(time.Duration((0.5 + p.chance()) * float64(upkeepEvery<<p.askFails)))
		return
	}
	if form != LastHeld && p.asking {
		p.asking, p.following, p.askFails = false, true, 0
	}
	if form != Changes {
		named := map[CacheID]bool{}
		for _, e := range entries {
			named[e.ID] = true
		}
		for id := range p.caches {
			if !named[id] {
				delete(p.caches, id)
			}
		}
	}
	for _, e := range entries {
		c := p.caches[e.ID]
		switch {
		case e.State == Gone:
			delete(p.caches, e.ID)
			continue
		case c == nil:
			c = &cache{hash: hashText(string(e.ID))}
			p.caches[e.ID] = c
			fallthrough
		case e.Born > c.Born: // started anew: what was learned of the old process says nothing
			*c = cache{hash: c.hash, out: c.out, room: math.Inf(1)}
			c.erred, c.answered = make([]uint16, len(p.rules.Grades)+1), make([]uint16, len(p.rules.Grades)+1)
		}
		c.Entry = e
		if !(c.Weight > 0) {
			c.Weight = 1
		}
	}
	p.redeal()
}

// Probed tells what a probe found.
func (p *Router) Probed(now Instant, id CacheID, found Result) {
	if c := p.caches[id]; c != nil {
		if found == Answered {
			p.alive(now, c)
		} else {
			p.failed(now, c, found)
		}
	}
}

func (p *Router) alive(now Instant, c *cache) {
	c.heard, c.waitingOn, c.fails, c.refused, c.restUntil = now, 0, 0, 0, 0
	if c.out > 0 {
		c.waitingOn = now
	}
}

func (p *Router) failed(now Instant, c *cache, how Result) {
	c.fails++
	if how == Unconnected {
		c.refused++
	}
	if c.fails >= failsToRest {
		c.restUntil = now.Add(min(trialMost, max(upkeepEvery, p.patience)<<min(c.fails-failsToRest, 6)))
	}
}

// silent tells whether a cache has said nothing for so long that its keys should go elsewhere.
func (p *Router) silent(now Instant, c *cache) bool {
	wait := p.patience
	if c.out == 1 {
		wait *= 2 // a lone leg may just be a long one
	}
	return now < c.restUntil || c.fails >= failsToRest && c.out > 0 || c.out > 0 && now.Since(c.waitingOn) > wait
}

// erring guards against a cache that fails a grade fast and so looks idle: its errors there outnumber its answers.
func (c *cache) erring(g int) bool { return c.erred[g] > 2 && c.erred[g] > c.answered[g] }

// warmth is the share of its capacity that a cache is sure to have by now.
func (p *Router) warmth(now Instant, c *cache) float64 {
	age := now.Since(c.Born)
	if c.Born == 0 || age >= p.rules.ColdFor {
		return 1
	}
	return p.rules.ColdFrom + (1-p.rules.ColdFrom)*max(0, float64(age)/float64(p.rules.ColdFor))
}

// fade brings the count of legs sent up to now.
func (p *Router) fade(now Instant, c *cache) float64 {
	if now > c.sentAt {
		c.sent *= math.Exp(-float64(now.Since(c.sentAt)) / float64(max(p.rules.FallFor, time.Second)))
		c.sentAt = now
	}
	return c.sent
}

// coldTo guards against pushing a cold cache over: it takes a thin slice of the keys that widens with its warmth,
// and never more legs than a warm one bears, cut by its warmth. As each node keeps to its own share, all together do.
func (p *Router) coldTo(now Instant, c *cache, key uint64) bool {
	w := p.warmth(now, c)
	if w >= 1 {
		return false
	}
	return float64(mix(key^c.hash)) > w*w*(1<<64) || p.fade(now, c) > w*p.usual*c.Weight+0.5
}

// inHand counts own legs there. It guards against caches that go on with what was given up: such a leg counts until
// the answer to a later one shows that its turn is over.
func (c *cache) inHand() int { return c.out + len(c.ghosts) }

// load is a cache's work in hand: own legs and what it reports beside them; unreported, the others' mean.
func (p *Router) load(c *cache) float64 {
	l := float64(c.inHand())
	if p.rules.InFlightAt >= 0 {
		if c.reported {
			l += c.foreign
		} else {
			l += p.othersLoad
		}
	}
	if c.Zone != p.rules.Zone {
		l += crossingLegs * p.rules.CrossingPrice
	}
	return l
}

// Grade lookups of an unknown grade give the strictest there is.
func (p *Router) gradeOf(r *Retrieval) (g Grade, at int) {
	if r.Grade < 0 || int(r.Grade) >= len(p.rules.Grades) {
		return Grade{SoftLimit: r.HardStop.Since(r.Arrived)}, len(p.rules.Grades)
	}
	return p.rules.Grades[r.Grade], int(r.Grade)
}

// lawful is the second rule and the third: may this retrieval go to this cache now, whatever else seems wise?
func (p *Router) lawful(now Instant, r *Retrieval, c *cache) bool {
	if r.Over || c.State != Ready || len(r.Legs) >= p.rules.MostLegs || r.HardStop.Since(now) < 2*p.rules.Round {
		return false
	}
	g, _ := p.gradeOf(r)
	for _, leg := range r.Legs {
		if leg.Out && (!p.rules.SecondCopies || g.Effect == Irreversible) {
			return false
		}
		if !leg.Out && leg.Result.NeverRan() || g.Effect == Redoable {
			continue
		}
		if g.Effect == Irreversible || now.Since(leg.Sent) >= g.Window-p.rules.Round {
			return false
		}
		was := p.caches[leg.To]
		if g.Scope != AllCaches && (was == nil || g.Scope == SameZone && was.Zone != c.Zone ||
			g.Scope == SameGroup && was.Group != c.Group) {
			return false
		}
	}
	return true
}

// giveUp ends a retrieval at once: with a dismissal where a retry is sure to do no harm.
func (p *Router) giveUp(r *Retrieval) Move {
	g, _ := p.gradeOf(r)
	harmless := g.Effect == Redoable || g.Effect == Labelled && g.Scope == AllCaches
	if !harmless {
		harmless = !slices.ContainsFunc(r.Legs, func(l Leg) bool { return l.Out || !l.Result.NeverRan() })
	}
	m := Move{Answer: Scrap, Cancel: p.outLegs(r)}
	if harmless {
		m.Answer, m.ComeBack = Dismiss, min(p.rules.MaxComeBack, g.SoftLimit/2)
	}
	return m
}

func (p *Router) outLegs(r *Retrieval) (out []int) {
	for i, l := range r.Legs {
		if l.Out && p.rules.MayCancel {
			out = append(out, i)
		}
	}
	return out
}

// turnAway guards against collapse, when most of what is sent ends in nothing: where far more is asked than answered,
// it turns away by chance, the cheaper ones more often, until what gets in is answered again.
func (p *Router) turnAway(r *Retrieval) bool {
	over := p.asked - lostLeast*p.good - trialsLeast
	if over <= 0 || p.chance() >= over/p.asked*r.memo.cheap {
		return false
	}
	p.asked++
	return true
}

// locate returns the cache at a segment's location for a key; a dead slot has passed its keys leftward.
func (p *Router) locate(now Instant, seg int, key uint64) *cache {
	slots := p.segs[seg]
	if len(slots) == 0 {
		return nil
	}
	at := linear(salted(key, segments+seg), len(slots))
	for range slots {
		if c := slots[at]; c.refused < failsToRest || now >= c.restUntil {
			return c
		}
		at = leftOf(at, len(slots))
	}
	return slots[at]
}

// pick chooses the least loaded of a key's holders, ties by chance. A holder that drains, is silent, errs or is too
// cold for the key yields to the next ranked spare. While the origin is short, an earlier ranked holder may have some
// legs more in hand, which guards against filling three caches with a key that can hardly be fetched once. full tells that holders were passed over only for want of room.
func (p *Router) pick(now Instant, r *Retrieval) (best *cache, full bool) {
	for s := range p.ranks {
		p.ranks[s] = rank{salted(r.memo.key, s), s}
		for i := s; i > 0 && p.ranks[i].score < p.ranks[i-1].score; i-- {
			p.ranks[i], p.ranks[i-1] = p.ranks[i-1], p.ranks[i]
		}
	}
	grade, g := p.gradeOf(r)
	left := max(grade.SoftLimit-now.Since(r.Arrived), grade.SoftLimit/2)
	least, ties, holders := math.Inf(1), 0.0, 0
	var last *cache
	for _, q := range p.ranks {
		c := p.locate(now, q.seg, r.memo.key)
		if c == nil || !p.lawful(now, r, c) || p.coldTo(now, c, r.memo.key) {
			continue
		}
		if p.tried(r, c.ID) {
			holders++
			continue
		}
		if !p.blind && p.silent(now, c) || c.erring(g) {
			last = c
			continue
		}
		if holders++; float64(c.out) >= c.room || time.Duration(c.inHand()+1)*c.per > left {
			full = true
		} else if l := (p.load(c) + 1 + rankLegs*p.short*float64(holders-1)) * float64(max(c.per, firstBin)); l < least {
			best, least, ties = c, l, 1
		} else if l == least {
			if ties++; p.chance()*ties < 1 {
				best = c
			}
		}
		if holders >= copies {
			break
		}
	}
	if best == nil && !full {
		best = last
	}
	return best, full && best == nil
}

func (p *Router) tried(r *Retrieval, id CacheID) bool {
	return slices.ContainsFunc(r.Legs, func(l Leg) bool { return l.To == id })
}

// send books a leg and returns the move that makes it.
func (p *Router) send(now Instant, r *Retrieval, cs ...*cache) Move {
	m := Move{GiveUpAt: r.HardStop.Add(-2 * p.rules.Round)}
	for _, c := range cs {
		if c.out++; c.out == 1 {
			c.waitingOn = now
		}
		p.fade(now, c)
		c.sent++
		m.To = append(m.To, c.ID)
	}
	if g, _ := p.gradeOf(r); g.Effect != Irreversible {
		m.AskAgain = now.Add(p.slow)
	}
	return m
}

// meet takes note of a new retrieval: its key, and how readily it may be turned away.
func (p *Router) meet(now Instant, r *Retrieval) {
	g, _ := p.gradeOf(r)
	benefit := g.Benefit
	for i := range p.quotas {
		share := p.rules.Leagues[i].QuotaPerSecond / float64(p.rules.Nodes)
		p.quotas[i] = min(share, p.quotas[i]+share*now.Since(p.metered).Seconds())
	}
	p.metered = now
	if l := int(r.League); l >= 0 && l < len(p.quotas) && p.rules.Leagues[l].QuotaPerSecond > 0 {
		if p.quotas[l] < 1 {
			benefit *= p.rules.ExcessBenefit
		} else {
			p.quotas[l]--
		}
	}
	p.benefit += (benefit - p.benefit) / 100
	p.hedges = min(hedgeBurst, p.hedges+hedgeShare)
	r.memo = memo{met: true, key: hashText(r.Key), cheap: math.Sqrt(max(p.benefit, 0.01) / max(benefit, 0.01))}
}

// Where decides where a retrieval goes now: at its arrival, when it was to be asked again, and when woken.
func (p *Router) Where(now Instant, r *Retrieval) Move {
	if r.Over {
		return Move{}
	}
	if !r.memo.met {
		p.meet(now, r)
		if !(r.Write && p.rules.Aside) && p.turnAway(r) {
			return p.giveUp(r)
		}
	}
	for i, l := range r.Legs {
		if l.Out {
			return p.further(now, r, i)
		}
	}
	return p.next(now, r)
}

// further decides on a retrieval whose leg is out for long: a second copy beside it, or calling it off.
func (p *Router) further(now Instant, r *Retrieval, leg int) Move {
	to := p.caches[r.Legs[leg].To]
	again := Move{AskAgain: now.Add(max(p.slow, 2*p.rules.Round))}
	if len(r.Legs) >= p.rules.MostLegs || to != nil && slices.Contains(p.origins, to) || r.Write {
		return Move{}
	}
	if p.rules.SecondCopies {
		if p.hedges < 1 {
			return again
		}
		c, _ := p.pick(now, r)
		if c == nil || p.silent(now, c) {
			return again
		}
		p.hedges--
		return p.send(now, r, c)
	}
	if p.rules.MayCancel && (to == nil || p.silent(now, to)) && r.HardStop.Since(now) > p.slow {
		return Move{Cancel: []int{leg}}
	}
	return again
}

// next decides on a retrieval with nothing out.
func (p *Router) next(now Instant, r *Retrieval) Move {
	g, _ := p.gradeOf(r)
	left := r.HardStop.Since(now) - 2*p.rules.Round
	if len(r.Legs) >= p.rules.MostLegs || left <= p.typical/4 {
		return p.giveUp(r)
	}
	missed := slices.ContainsFunc(r.Legs, func(l Leg) bool { return l.Result == Missed })
	if p.rules.Aside && (r.Write || missed) {
		if kept := p.caches[r.memo.keptAt]; kept != nil && p.lawful(now, r, kept) {
			r.memo.keptAt = ""
			return p.send(now, r, kept)
		}
		return p.toOrigin(now, r)
	}
	c, full := p.pick(now, r)
	switch {
	case c != nil && r.Write && g.Effect == Labelled && p.rules.SecondCopies && len(r.Legs) == 0:
		return p.toAll(now, r, c)
	case c != nil:
		if f := p.fetches[r.memo.key]; f != nil && f.at == c.ID && !f.leader.Over && !r.Write {
			return p.join(now, r, f)
		}
		return p.send(now, r, c)
	case full || len(p.listed) == 0:
		if now.Since(r.Arrived) < g.SoftLimit/2 {
			return p.notYet(now, r, p.typical/4)
		}
		return p.giveUp(r)
	case p.rules.Aside && g.Effect == Redoable:
		return p.toOrigin(now, r)
	}
	return p.giveUp(r)
}

// toAll sends a write to all three holders, as far as the second rule lets copies run beside each other.
func (p *Router) toAll(now Instant, r *Retrieval, first *cache) Move {
	to, legs := []*cache{first}, r.Legs
	for len(to) < copies {
		r.Legs = append(r.Legs, Leg{To: to[len(to)-1].ID, Sent: now, Out: true})
		c, _ := p.pick(now, r)
		if c == nil || p.silent(now, c) {
			break
		}
		to = append(to, c)
	}
	r.Legs = legs
	return p.send(now, r, to...)
}

func (p *Router) join(now Instant, r *Retrieval, f *fetch) Move {
	if !slices.Contains(f.waiters, r.ID) {
		f.waiters = append(f.waiters, r.ID)
	}
	return p.notYet(now, r, p.slow)
}

// notYet keeps a retrieval waiting with nothing out, never past the time at which it must be given up.
func (p *Router) notYet(now Instant, r *Retrieval, wait time.Duration) Move {
	return Move{AskAgain: min(now.Add(max(wait, 2*p.rules.Round)), r.HardStop.Add(-2*p.rules.Round))}
}

// toOrigin sends a write, or a read that missed, to the origin. It guards against miss storms: one read fetches a
// key and the others wait for it, and the legs out there are bounded.
func (p *Router) toOrigin(now Instant, r *Retrieval) Move {
	f := p.fetches[r.memo.key]
	if !r.Write && f != nil && f.leader != r && !f.leader.Over {
		return p.join(now, r, f)
	}
	var to *cache
	for _, c := range p.origins {
		if p.lawful(now, r, c) && (to == nil || c.out < to.out) {
			to = c
		}
	}
	if !r.Write {
		if f == nil {
			f = &fetch{}
			p.fetches[r.memo.key] = f
		}
		f.leader, f.at = r, ""
		for _, l := range r.Legs {
			if l.Result == Missed {
				f.at = l.To
				break
			}
		}
	}
	if to == nil {
		return p.giveUp(r)
	}
	free := p.originFree(to, r) >= 1
	if !slices.Contains(p.queue, r) {
		p.short -= p.short / shortOver
		if !free {
			p.short += 1.0 / shortOver
		}
	}
	if free {
		return p.send(now, r, to)
	}
	g, _ := p.gradeOf(r)
	left := g.SoftLimit - now.Since(r.Arrived)
	if !slices.Contains(p.queue, r) {
		ahead := to.inHand() + 1
		for _, q := range p.queue {
			if q.memo.cheap <= r.memo.cheap {
				ahead++
			}
		}
		if p.chance() < float64(ahead)*float64(to.per)/float64(max(left, 1))-0.5 {
			return p.giveUp(r) // the wait would mostly be in vain
		}
		p.queue = append(p.queue, r)
	} else if left <= 0 {
		return p.giveUp(r)
	}
	return p.notYet(now, r, left)
}

// originFree is how many more legs the origin may get; writes, being few and with nowhere else to go, get double.
func (p *Router) originFree(to *cache, r *Retrieval) float64 {
	if r.Write {
		return 2*p.originRoom - float64(to.out)
	}
	return p.originRoom - float64(to.out)
}

// dequeue wakes those waiting for the origin that it now has room for, the dearest first, then the oldest.
func (p *Router) dequeue(to *cache) (wake []RetrievalID) {
	p.queue = slices.DeleteFunc(p.queue, func(q *Retrieval) bool {
		return q.Over || slices.ContainsFunc(q.Legs, func(l Leg) bool { return l.Out })
	})
	slices.SortStableFunc(p.queue, func(a, b *Retrieval) int { return cmp.Compare(a.memo.cheap, b.memo.cheap) })
	for _, q := range p.queue {
		if p.originFree(to, q) < float64(len(wake)+1) {
			break
		}
		wake = append(wake, q.ID)
	}
	return wake
}

// After decides what follows a leg's outcome.
func (p *Router) After(now Instant, r *Retrieval, o Outcome) Move {
	leg := r.Legs[o.Leg]
	c := p.caches[leg.To]
	g, at := p.gradeOf(r)
	var wake []RetrievalID
	if c != nil {
		p.learn(now, c, leg, o, g, at)
		if f := p.fetches[r.memo.key]; f != nil && f.leader == r && slices.Contains(p.origins, c) {
			if leg.Result == Answered || r.Over {
				wake = f.waiters
				delete(p.fetches, r.memo.key)
			}
			if leg.Result == Answered {
				r.memo.keptAt = f.at
			}
		}
	}
	if c != nil && slices.Contains(p.origins, c) {
		wake = append(wake, p.dequeue(c)...)
	} else if leg.Result != Cancelled && leg.Result != NeverSent {
		p.asked++
		if (leg.Result == Answered || leg.Result == Missed) && o.Took <= g.SoftLimit {
			p.good++
		}
	}
	m := Move{}
	switch {
	case r.Over:
		m.Cancel = p.outLegs(r)
	case !slices.ContainsFunc(r.Legs, func(l Leg) bool { return l.Out }):
		m = p.next(now, r)
	}
	if m.Answer != Nothing {
		if f := p.fetches[r.memo.key]; f != nil && f.leader == r {
			wake = append(wake, f.waiters...)
			delete(p.fetches, r.memo.key)
		}
	}
	m.Wake = wake
	return m
}

// learn takes from an outcome what it says of the cache.
func (p *Router) learn(now Instant, c *cache, leg Leg, o Outcome, g Grade, grade int) {
	held := max(1, c.inHand())
	c.out = max(0, c.out-1)
	origin := slices.Contains(p.origins, c)
	switch leg.Result {
	case Answered, Missed, Errored, TurnedAway:
		p.alive(now, c)
	case TimedOut, Broken, Unconnected, Cancelled:
		if c.heard < leg.Sent && (leg.Result != Cancelled || now.Since(leg.Sent) > p.patience) {
			p.failed(now, c, leg.Result)
		}
	}
	switch leg.Result {
	case TimedOut, Cancelled:
		c.ghosts = append(c.ghosts, leg.Sent)
		c.pace.add(o.Took / time.Duration(held))
	case Answered:
		c.ghosts = slices.DeleteFunc(c.ghosts, func(sent Instant) bool { return sent < leg.Sent })
		c.answered[grade]++
		c.pace.add(o.Took / time.Duration(held))
		if !origin {
			p.took.add(o.Took)
		}
		if float64(held) >= c.room-1 {
			c.room += roomGrows
		}
		if origin && o.Took < g.SoftLimit/2 {
			p.originRoom += 1 / p.originRoom
		}
	case Errored, Broken:
		c.erred[grade]++
	case TurnedAway:
		c.room = max(1, float64(held-1))
	}
	if origin && (leg.Result != Answered && leg.Result != Cancelled || o.Took > g.SoftLimit) &&
		now.Since(p.originCut) > p.slow {
		p.originRoom, p.originCut = max(2, p.originRoom*0.7), now
	}
	if i := p.rules.InFlightAt; i >= 0 && i < len(o.Report) {
		c.foreign, c.reported = max(0, o.Report[i]-float64(held)), true // the report counts own legs too
	}
}

// Wait returns how long until it wants to be called again, and the chores due now.
func (p *Router) Wait(now Instant) (time.Duration, []Chore) {
	var chores []Chore
	if p.upkeeps%fadeEvery == 0 {
		p.asked, p.good = p.asked/2, p.good/2
	}
	if p.upkeeps++; p.upkeeps%halveEvery == 0 {
		p.took.halve()
		for _, c := range p.caches {
			c.pace.halve()
			for g := range c.erred {
				c.erred[g] /= 2
				c.answered[g] /= 2
			}
		}
	}
	p.retime()
	legs, weight, foreign, reporters, quiet := 0.0, 0.0, 0.0, 0.0, 0
	for _, c := range p.origins {
		c.per = c.pace.quantile(0.5, 0)
	}
	for _, c := range p.listed {
		c.per = c.pace.quantile(0.5, 0)
		legs += p.fade(now, c)
		weight += c.Weight * p.warmth(now, c)
		if c.reported {
			foreign += c.foreign
			reporters++
		}
		if p.silent(now, c) {
			quiet++
			if p.rules.MayProbe && now >= c.restUntil {
				chores = append(chores, Chore{Kind: ProbeCache, Cache: c.ID})
			}
		}
	}
	p.usual, p.othersLoad = legs/max(weight, 1e-9), foreign/max(reporters, 1)
	p.blind = 2*quiet > len(p.listed)
	if p.rules.MustAsk && !p.following && now >= p.askNext && (!p.asking || now.Since(p.askedAt) > p.rules.AskWithin) {
		p.asking, p.askedAt = true, now
		chores = append(chores, Chore{Kind: FollowList})
	}
	return upkeepEvery, chores
}

// retime derives the time limits from the answers seen.
func (p *Router) retime() {
	soft := time.Second
	for i, g := range p.rules.Grades {
		if i == 0 || g.SoftLimit < soft {
			soft = g.SoftLimit
		}
	}
	p.typical = p.took.quantile(0.5, soft/4)
	p.slow = max(p.took.quantile(0.95, soft/2), 2*p.rules.Round)
	p.patience = max(2*p.took.quantile(0.99, soft), 4*p.rules.Round)
}
