package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

// rules are what a process goes by; tests break them one at a time.
type rules struct {
	observers int  // that must miss a process before anything follows from it
	majority  bool // and more of them than hear it
	doubts    bool // who hears too few doubts itself
	freezes   bool // nobody is taken out while too many are missing at once
	runs      bool // spans are measured by the time that the process has run, not by the clock
	turns     bool // who is dead to clients says nothing
}

// sound are the rules as they are.
var sound = rules{observers: 2, majority: true, doubts: true, freezes: true, runs: true, turns: true}

// Detector is one process's knowledge of the fleet.
type Detector struct {
	rules
	terms  Config
	own    *peer
	all    map[ProcessID]*peer
	order  []*peer // all of them, in one order; nil where it is to be made anew, shown and byNode with it
	shown  []*peer // in the order of views
	byNode map[NodeName][]*peer
	struck bool                // some of these orders are forgotten
	gone   map[ProcessID]ended // forgotten, so that late words of them are none
	seeds  []string
	chance keyhash.Source

	last  monotime.Instant // look, by the clock
	ran   time.Duration    // that the process has run: what all spans are measured by
	began bool

	ring      []*peer // neighbours
	reordered bool    // processes came or went since the ring was made
	changed   bool    // what was said, since standings were looked at
	sum       uint64  // of what members have said, and how many they are, when that was last counted
	members   int

	turned     uint64 // how often the loop that serves clients has
	turnedAt   time.Duration
	hellosAt   time.Duration // when the next signs of life are due
	askedGone  time.Duration
	syncedAt   time.Duration
	saidAt     time.Duration // when the own statement last changed
	replies    []string
	wokeAt     time.Duration // when it went on after it had stood still: what it heard before tells nothing of how it stands now
	sureAt     time.Duration // when it last stopped doubting itself
	judgedAt   time.Duration
	pending    bool // some standing is to change with time
	frozen     bool
	verdict    error
	view       *View
	wantsSync  string // whom to ask for all it has heard
	unsaid     bool   // the own statement has changed, and nobody was told
	heardOther bool
	merged     bool // all that another had heard
}

type peer struct {
	Statement
	standing Status
	since    time.Duration
	foundAt  time.Duration // when it was first told of
	knownAt  time.Duration // since when it is a neighbour

	beside  bool // a neighbour
	heard   bool
	heardAt time.Duration // first-hand
	doubtAt time.Duration // since when it says of itself that it doubts; -1 for not
	askAt   time.Duration // when its sum first differed; -1 for not

	hears, misses int           // who hears and misses it, of those believed
	raw           int           // who misses it, of all
	unsure        int           // whose neighbour it is and who doubt themselves
	held          time.Duration // for how long it was to stand otherwise
}

type ended struct {
	revision Revision
	addr     string
	at       time.Duration
}

// New begins a book; the process has not taken its name yet.
func New(terms Config, process ProcessID, node NodeName, addr string, seeds []string) *Detector {
	b := &Detector{rules: sound, terms: terms, all: map[ProcessID]*peer{}, gone: map[ProcessID]ended{}, seeds: seeds,
		chance: keyhash.Source{Seed: uint32(process)}, reordered: true, view: &View{Own: process}}
	b.own = &peer{Statement: Statement{Process: process, Node: node, Addr: addr, Revision: 1}, doubtAt: -1, askAt: -1}
	b.all[process] = b.own
	b.unsaid = true
	return b
}

func (p *peer) sum() uint64 { return keyhash.Mix(uint64(p.Process) ^ keyhash.Mix(uint64(p.Revision))) }

// OwnStatement is the process's statement, and whether it is new since this was last asked.
func (b *Detector) OwnStatement() (s Statement, isNew bool) {
	isNew, b.unsaid = b.unsaid, false
	return b.own.Statement, isNew
}

// View is the latest.
func (b *Detector) View() *View { return b.view }

// NameConflict tells why this process is to end: another one has its name. Nil while it is not.
func (b *Detector) NameConflict() error { return b.verdict }

// KnownCount counts the processes.
func (b *Detector) KnownCount() int { return len(b.all) }

// LoopAdvanced tells how often the loop that serves clients has turned.
func (b *Detector) LoopAdvanced(turns uint64) {
	if turns != b.turned {
		b.turned, b.turnedAt = turns, b.ran
	}
}

// Merge takes a statement, however it came, and tells whether it was news.
func (b *Detector) Merge(s Statement) bool {
	if !s.valid() {
		return false
	}
	if s.Process == b.own.Process {
		if s.Revision > b.own.Revision { // of an earlier word that this process does not know: it goes beyond
			b.own.Revision = s.Revision
			b.say()
		}
		return false
	}
	p, isNew := b.all[s.Process], false
	if p == nil {
		if was, is := b.gone[s.Process]; is && s.Revision <= was.revision || len(b.all) >= b.terms.MaxMembers || s.Leaving {
			return false
		}
		p = &peer{standing: Joining, since: b.ran, foundAt: b.ran, knownAt: b.ran, doubtAt: -1, askAt: -1}
		b.all[s.Process], isNew = p, true
		delete(b.gone, s.Process)
		b.reordered = true
	} else if s.Revision <= p.Revision || s.Node != p.Node {
		return false
	}
	if s.Leaving != p.Leaving || s.Incarnation != p.Incarnation || s.Addr != p.Addr {
		b.reordered = true
	}
	s.Hears, s.Misses = slices.Clone(s.Hears), slices.Clone(s.Misses)
	if p.Statement = s; isNew {
		b.enlist(p)
	}
	b.doubted(p, s.SelfDoubt)
	b.changed, b.heardOther = true, true
	return true
}

func (b *Detector) doubted(p *peer, doubts bool) {
	switch {
	case !doubts:
		p.doubtAt = -1
	case p.doubtAt < 0:
		p.doubtAt = b.ran
	}
}

// OnHeartbeat takes a sign of life.
func (b *Detector) OnHeartbeat(h Heartbeat) {
	if h.Process == b.own.Process || h.Process == 0 || len(h.Addr) > MaxAddrBytes || h.Addr == "" {
		return
	}
	if h.WantsReply && len(b.replies) < mostReplies {
		b.replies = append(b.replies, h.Addr)
	}
	p := b.all[h.Process]
	if p == nil {
		if was, is := b.gone[h.Process]; !is || h.Revision > was.revision {
			b.sync(h.Addr)
		}
		return
	}
	p.heard, p.heardAt = true, b.ran
	b.doubted(p, h.SelfDoubt)
	switch {
	case uint32(h.Digest) == uint32(b.sum):
		p.askAt = -1
	case p.askAt < 0:
		p.askAt = b.ran
	case b.ran-p.askAt >= b.patience(syncApart) || h.Revision > p.Revision && b.ran-p.askAt >= b.patience(wordBy):
		p.askAt = -1
		b.sync(p.Addr)
	}
}

// patience is how long words are waited for, or gathered: they take longer to come round the more there are to hear them. Guards against a
// large fleet in which each change has all ask for all that is known, and each who is busy with that says more that has to come round.
func (b *Detector) patience(few time.Duration) time.Duration {
	span := few
	for n := soonTo; n < len(b.all); n *= 2 {
		span += few / 2
	}
	return span
}

// sync asks for all that another has heard, not too often.
func (b *Detector) sync(addr string) {
	if b.wantsSync == "" && (b.syncedAt == 0 || b.ran-b.syncedAt >= syncApart/2+b.patience(time.Duration(len(b.all))*syncEach)) {
		b.wantsSync, b.syncedAt = addr, b.ran
	}
}

// Actions is what is to be sent now.
type Actions struct {
	Hello   Heartbeat
	Hellos  []string // addresses
	Replies []string
	Asks    []string // for a sign of life in return
	Sync    string   // address; empty for none
}

// Tick does what is due. It is to be called several times between two signs of life.
func (b *Detector) Tick(now monotime.Instant) (do Actions) {
	if !b.began {
		b.began, b.last = true, now
	}
	// guards against a process that was stopped, or starved: what it has not heard meanwhile is its own doing
	step := now.Since(b.last)
	if most := longestStep * b.terms.HeartbeatInterval; b.runs && step > most {
		step, b.wokeAt = most, b.ran+most
	}
	b.ran += step
	b.last = now
	b.neighbours()
	b.listen()
	b.claim()
	b.judge()
	do.Hello = Heartbeat{Process: b.own.Process, Revision: b.own.Revision, Digest: b.sum, Addr: b.own.Addr, SelfDoubt: b.own.SelfDoubt}
	do.Sync, b.wantsSync = b.wantsSync, ""
	do.Replies, b.replies = b.replies, nil
	// guards against a node that is alive to others and dead to its clients
	if b.turns && b.ran-b.turnedAt > b.terms.LoopTimeout || b.own.Leaving {
		do.Replies = nil
		return do
	}
	if b.ran >= b.hellosAt {
		b.hellosAt = max(b.hellosAt+b.terms.HeartbeatInterval, b.ran+b.terms.HeartbeatInterval/2)
		for _, p := range b.ring {
			do.Hellos = append(do.Hellos, p.Addr)
		}
		if b.own.Incarnation == 0 {
			for _, p := range b.named() {
				do.Asks = append(do.Asks, p.Addr)
			}
		}
	}
	if b.ran-b.askedGone >= askGoneEach {
		b.askedGone = b.ran
		if at := b.missing(); at != "" {
			do.Asks = append(do.Asks, at)
		}
	}
	return do
}

// missing picks somebody who is not known: after a long cut, nobody else would look for the other side.
func (b *Detector) missing() string {
	known := map[string]bool{}
	for _, p := range b.all {
		known[p.Addr] = true
	}
	var at []string
	for _, s := range b.seeds {
		if !known[s] {
			at = append(at, s)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.gone)) {
		if a := b.gone[id].addr; !known[a] {
			at = append(at, a)
		}
	}
	if len(at) == 0 {
		return ""
	}
	return at[int(b.chance.Float64()*float64(len(at)))]
}

// neighbours makes the rings anew where processes came or went: each ring is an order of all by chance, the same everywhere, and a
// process has those before and after it. Who is few has all.
func (b *Detector) neighbours() {
	if !b.reordered {
		return
	}
	b.reordered, b.changed = false, true
	ids, shared := make([]ProcessID, 0, len(b.all)), b.shared()
	for _, p := range b.sorted() {
		// guards against rings full of the dead after a restart of many: whose address a successor has is not there
		if !p.Leaving && (!shared || !slices.ContainsFunc(b.of(p.Node), func(o *peer) bool { return o.Addr == p.Addr && o.succeeds(p) })) {
			ids = append(ids, p.Process)
		}
	}
	mine := map[ProcessID]bool{}
	for r := range rings {
		if len(ids) <= neighbours+1 {
			for _, id := range ids {
				mine[id] = true
			}
			break
		}
		before, after := b.beside(ids, r)
		mine[before], mine[after] = true, true
	}
	delete(mine, b.own.Process)
	was := map[ProcessID]bool{}
	for _, p := range b.ring {
		was[p.Process], p.beside = true, false
	}
	b.ring = b.ring[:0]
	for _, id := range slices.Sorted(maps.Keys(mine)) {
		p := b.all[id]
		p.beside = true
		if b.ring = append(b.ring, p); !was[id] {
			p.knownAt = b.ran // a neighbour from now on: what it says to others says nothing of its silence
			if p.heardAt < b.ran-b.terms.HeartbeatTimeout {
				p.heard = false
			}
		}
	}
}

// beside finds who stands before and after this process in a ring: one look at each, as nobody needs the whole order.
func (b *Detector) beside(ids []ProcessID, ring int) (before, after ProcessID) {
	type spot struct {
		at uint64
		id ProcessID
	}
	less := func(x, y spot) bool { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.id, y.id)) < 0 }
	own := spot{keyhash.Salted(uint64(b.own.Process), ring), b.own.Process}
	var first, last, under, over spot
	for i, id := range ids {
		s := spot{keyhash.Salted(uint64(id), ring), id}
		if i == 0 || less(s, first) {
			first = s
		}
		if i == 0 || less(last, s) {
			last = s
		}
		if less(s, own) && (under.id == 0 || less(under, s)) {
			under = s
		}
		if less(own, s) && (over.id == 0 || less(s, over)) {
			over = s
		}
	}
	if under.id == 0 {
		under = last
	}
	if over.id == 0 {
		over = first
	}
	return under.id, over.id
}

// succeeds tells whether a process is a later one of the same node.
func (p *peer) succeeds(o *peer) bool {
	return p.Node == o.Node && p.Incarnation > o.Incarnation && o.Incarnation > 0
}

func byProcess(x, y *peer) int { return cmp.Compare(x.Process, y.Process) }

func byName(x, y *peer) int {
	if x.Node != y.Node {
		return cmp.Compare(x.Node, y.Node)
	}
	return byProcess(x, y)
}

// sorted are all processes in one order, so that the same words lead to the same standings.
func (b *Detector) sorted() []*peer {
	if b.order == nil {
		b.order = slices.SortedFunc(maps.Values(b.all), byProcess)
		b.shown = slices.SortedFunc(slices.Values(b.order), byName)
		b.byNode = make(map[NodeName][]*peer, len(b.order))
		for _, p := range b.order {
			b.byNode[p.Node] = append(b.byNode[p.Node], p)
		}
	}
	if b.struck {
		gone := func(p *peer) bool { return b.all[p.Process] != p }
		b.order, b.shown = slices.DeleteFunc(slices.Clone(b.order), gone), slices.DeleteFunc(slices.Clone(b.shown), gone)
	}
	b.struck = false
	return b.order
}

// enlist puts one that is new in its place in each order. Guards against a large fleet that starts, in which each hears of all others one
// by one: to sort all for each is most of what that would cost it. The same holds for one that forgets many.
func (b *Detector) enlist(p *peer) {
	if b.order == nil {
		return
	}
	b.sorted()
	in := func(all []*peer, by func(x, y *peer) int) []*peer {
		i, _ := slices.BinarySearchFunc(all, p, by)
		return slices.Insert(all, i, p)
	}
	b.order, b.shown, b.byNode[p.Node] = in(b.order, byProcess), in(b.shown, byName), in(b.byNode[p.Node], byProcess)
}

// strike takes out one that is forgotten: from its node's at once, and from all with the others that go along with it. Whoever is going
// through all goes on through them as they were.
func (b *Detector) strike(p *peer) {
	if b.order == nil {
		return
	}
	b.struck = true
	left := slices.DeleteFunc(slices.Clone(b.byNode[p.Node]), func(o *peer) bool { return o == p })
	if b.byNode[p.Node] = left; len(left) == 0 {
		delete(b.byNode, p.Node)
	}
}

// shared tells whether any node has several processes.
func (b *Detector) shared() bool {
	b.sorted()
	return len(b.byNode) < len(b.order)
}

// of are the processes of a node, nearly always one, in the same order.
func (b *Detector) of(node NodeName) []*peer {
	if b.order == nil {
		b.sorted()
	}
	return b.byNode[node]
}

// silent is how long a neighbour has said nothing here.
func (b *Detector) silent(p *peer) time.Duration { return b.ran - max(p.heardAt, p.knownAt) }

// fresh tells whether a neighbour was heard, or came to be one, since.
func (p *peer) fresh(since time.Duration) bool { return max(p.heardAt, p.knownAt) >= since }

// listen looks whom of the neighbours this process hears, whether it doubts itself, and says so.
func (b *Detector) listen() {
	hears, missed, counted := make([]ProcessID, 0, neighbours), make([]ProcessID, 0, neighbours), 0
	heard := 0
	for _, p := range b.ring {
		here := b.silent(p) < b.terms.HeartbeatTimeout
		// guards against both sides of a cut that each go by who is left: all count that are remembered, those that are out as well
		switch {
		case here && !p.heard: // it has had no time to be heard: neither
		case here && p.fresh(b.wokeAt) && (p.member() || p.doubtAt < 0):
			counted, heard = counted+1, heard+1
		case (p.member() || p.standing == Removed) && p.Node != b.own.Node && !b.succeeded(p):
			counted++
		}
		switch {
		// guards against one that is heard and hears nobody; and, once it is out, against its coming in before it hears
		case !here, p.doubtAt >= 0 && !b.own.SelfDoubt && (p.standing == Removed || b.ran-max(p.doubtAt, p.knownAt, b.sureAt) >= b.terms.SelfDoubtTimeout):
			missed = append(missed, p.Process)
		case p.heard:
			hears = append(hears, p.Process)
		}
	}
	doubts := b.doubts && 2*heard < counted
	if doubts { // what it says of others counts for nothing; it stays as it was, so that there is no more to say
		hears, missed = b.own.Hears, b.own.Misses
	}
	if doubts == b.own.SelfDoubt && slices.Equal(hears, b.own.Hears) && slices.Equal(missed, b.own.Misses) {
		return
	}
	if b.ran-b.saidAt < b.patience(b.terms.HeartbeatInterval/2) && b.saidAt > 0 && doubts == b.own.SelfDoubt {
		return // several changes go in one
	}
	if b.own.SelfDoubt && !doubts { // of those who were cut off along with it, it hears that they doubt for a while yet
		b.sureAt = b.ran
	}
	b.own.Hears, b.own.Misses, b.own.SelfDoubt = hears, missed, doubts
	b.say()
}

// succeeded tells whether another process of the same node is heard. Guards against a fleet of which so many were started anew that each
// who stayed doubts itself, and so none of the new ones is believed to be there.
func (b *Detector) succeeded(p *peer) bool {
	return slices.ContainsFunc(b.of(p.Node), func(o *peer) bool {
		return o != p && o.beside && o.heard && b.silent(o) < b.terms.HeartbeatTimeout
	})
}

// say makes the own statement new.
func (b *Detector) say() {
	b.own.Revision++
	b.saidAt, b.unsaid, b.changed = b.ran, true, true
}

// Leave says that this process ends in order or stands by; where another takes its place, it yields its name instead.
func (b *Detector) Leave(yields bool) {
	if b.own.Leaving || b.own.YieldsName {
		return
	}
	b.own.Leaving, b.own.YieldsName = !yields, yields
	b.reordered = true
	b.say()
}

// Rejoin takes that back.
func (b *Detector) Rejoin() {
	if b.own.Leaving || b.own.YieldsName {
		b.own.Leaving, b.own.YieldsName, b.reordered = false, false, true
		b.say()
	}
}

// named are the other processes with this one's name.
func (b *Detector) named() (ps []*peer) {
	for _, p := range b.of(b.own.Node) {
		if p != b.own && !p.Leaving {
			ps = append(ps, p)
		}
	}
	return ps
}

// claim takes the node's name once no other process with it lives, or has this process end. Guards against one name started twice: who
// has the name and lives keeps it, and of two that start at once the same one gives way wherever one looks.
func (b *Detector) claim() {
	if b.verdict != nil {
		return
	}
	if b.own.Incarnation > 0 { // guards against one that took its name before it had heard of the process that had it
		for _, p := range b.named() {
			if p.before(b.own) && (p.Addr == b.own.Addr || p.silenced(b.observers)) {
				b.own.Incarnation, b.reordered = p.Incarnation+1, true
				b.say()
			}
		}
		return
	}
	if !b.yielded() {
		wait := b.terms.ClaimPeriod
		if !b.merged && (b.heardOther || len(b.seeds) > 0) { // somebody may yet say who had the name
			wait += b.terms.ClaimPeriod
			if b.heardOther && len(b.ring) > 0 {
				b.sync(b.ring[int(b.chance.Float64()*float64(len(b.ring)))].Addr)
			}
		}
		for _, p := range b.named() { // each had the time to say that it lives
			if p.Addr == b.own.Addr || p.silenced(b.observers) { // its place is this one's, or it is known to be silent
				wait = 0
				break
			}
			wait = max(wait, p.foundAt+b.terms.ClaimPeriod)
		}
		if b.ran < wait {
			return
		}
	}
	life := Incarnation(0)
	for _, p := range b.named() {
		lives := p.Addr != b.own.Addr && p.heard && b.ran-p.heardAt < b.terms.HeartbeatTimeout && !p.YieldsName
		if lives && (p.Incarnation > 0 || p.Process < b.own.Process) {
			b.verdict = fmt.Errorf("another process has the name %s and lives, at %s", p.Node, p.Addr)
			return
		}
		life = max(life, p.Incarnation)
	}
	b.own.Incarnation = life + 1
	b.reordered = true
	b.own.standing, b.own.since = Alive, b.ran
	b.say()
}

// Merged tells that all that another has heard was taken over.
func (b *Detector) Merged() { b.merged = true }

// silenced tells whether enough miss a process.
func (p *peer) silenced(observers int) bool { return p.misses >= observers && p.misses > p.hears }

// yielded tells whether a process with this one's name gives it up.
func (b *Detector) yielded() bool {
	return slices.ContainsFunc(b.named(), func(p *peer) bool { return p.YieldsName })
}
