package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Freezing, in parts of all members that are missing at once: half where all hear one another; two fifths with rings, where not all that
// are missing are missed by two.
const (
	frozenWhole = 0.5
	frozenRings = 0.4
	lately      = 4                      // holds, after which one that was taken out counts no longer as missing at once
	gather      = 400 * time.Millisecond // that others who are about to be taken out, or in, are waited for, so that the view changes once
	joinsIn     = 4                      // claims, by which one that joins has taken its name and is heard, or will not be
	leftStays   = 5 * time.Second        // that one who left is shown
	judgeApart  = 50 * time.Millisecond  // between two judgements in a large fleet, more for each time that it is as large again: each looks at all
)

func (p *peer) member() bool { return p.standing == Alive || p.standing == Suspected }

// count sums up who hears and who misses each process. Not believed are: who doubts itself, who is no member yet as to misses, and
// whose last word may be old.
func (b *Detector) count() {
	for _, p := range b.sorted() {
		p.hears, p.misses, p.raw, p.unsure = 0, 0, 0, 0
	}
	b.sum, b.members = 0, 0
	for _, p := range b.sorted() { // of members only: who is out is forgotten here sooner than there
		if p.member() {
			b.sum, b.members = b.sum^p.sum(), b.members+1
		}
	}
	speaks := func(o *peer) bool { return !o.SelfDoubt && !o.Leaving && (o.member() || o.standing == Joining) }
	for _, o := range b.sorted() {
		if !speaks(o) || !o.member() {
			continue
		}
		for _, id := range o.Misses {
			if p := b.all[id]; p != nil {
				p.raw++
			}
		}
	}
	for _, o := range b.sorted() {
		if !b.recent(o) {
			continue
		}
		if o.SelfDoubt && o.member() { // guards against a few who decide where most cannot tell
			for _, ids := range [][]ProcessID{o.Hears, o.Misses} {
				for _, id := range ids {
					if p := b.all[id]; p != nil {
						p.unsure++
					}
				}
			}
		}
		if !speaks(o) {
			continue
		}
		for _, id := range o.Hears {
			if p := b.all[id]; p != nil {
				p.hears++
			}
		}
		if !o.member() {
			continue
		}
		for _, id := range o.Misses {
			if p := b.all[id]; p != nil {
				p.misses++
			}
		}
	}
}

// recent tells whether what a process said last can be taken for how things stand: who is missed by several may have said it long ago,
// unless it is heard right here. Guards against the two sides of a cut whose last words discredit one another for good.
func (b *Detector) recent(o *peer) bool {
	return o == b.own || o.raw < b.observers || o.beside && o.heard && b.silent(o) < b.terms.HeartbeatTimeout
}

// freeze tells whether so many are missing that it may well be this process which is cut off. Guards against the sides of a cut that
// take each other out, and against one who takes all others for dead.
func (b *Detector) freeze() bool {
	members, missing := 0, 0
	for _, p := range b.sorted() {
		cutLately := p.standing == Removed && b.ran-p.since < lately*b.terms.RemovalDelay
		if p.member() || cutLately {
			members++
		}
		if p.member() && p.raw >= b.observers || cutLately {
			missing++
		}
	}
	part := frozenWhole
	if len(b.all) > neighbours+1 {
		part = frozenRings
	}
	if !b.freezes {
		return b.own.SelfDoubt
	}
	return b.own.SelfDoubt || members > 1 && float64(missing) > part*float64(members)
}

// judge looks at all standings, and makes a new view where something has changed.
func (b *Detector) judge() {
	step := b.ran - b.judgedAt
	if apart := b.patience(judgeApart) - judgeApart; step < apart {
		return
	}
	b.judgedAt = b.ran
	if !b.changed && !b.pending {
		return
	}
	if b.changed {
		b.count()
	}
	was := b.frozen
	b.frozen = b.freeze()
	news := b.changed || was != b.frozen
	b.changed, b.pending = false, b.frozen
	var out, in []*peer
	waits, comes := false, false // for others that are about to be taken out, or in
	for _, p := range b.sorted() {
		switch {
		case p.Leaving && p.standing != Left:
			b.stand(p, Left)
		case p.standing == Left && !p.Leaving:
			b.stand(p, Joining)
		case p.standing == Left:
			if b.pending = true; p != b.own && b.ran-p.since >= leftStays {
				b.forget(p)
			}
		case p.standing == Joining:
			if p.Incarnation > 0 && p.hears > 0 && p.hears >= p.misses && (p == b.own || b.fits(p)) {
				b.stand(p, Alive)
			} else if b.pending = true; p != b.own && b.ran-p.since >= b.terms.ForgetAfter {
				b.forget(p)
			}
		case p.standing == Removed:
			b.pending = true
			if p.held += step; p.hears == 0 || p.hears < p.misses {
				p.held = 0
			}
			if p.held >= b.terms.RejoinDelay {
				in = append(in, p)
			} else if p.held > 0 {
				comes = true
			} else if p != b.own && b.ran-p.since >= b.terms.ForgetAfter {
				b.forget(p)
			}
		default:
			missed := p.misses >= b.observers && (!b.majority || p.misses > p.hears+p.unsure)
			if !missed || b.frozen {
				p.held = 0
				if to := suspicion[p.raw > 0]; to != p.standing {
					p.standing, news = to, true // no change of who is a member
				}
				break
			}
			b.pending = true
			if p.held += step; p.held >= b.terms.RemovalDelay {
				out = append(out, p)
			} else if p.held >= b.terms.RemovalDelay-gather {
				waits = true
			}
		}
	}
	// whom one trouble befell together is out together, and in again
	if comes && !slices.ContainsFunc(in, func(p *peer) bool { return p.held >= b.terms.RejoinDelay+gather }) {
		in = nil
	}
	for _, p := range in {
		b.stand(p, Alive)
	}
	if waits && !slices.ContainsFunc(out, func(p *peer) bool { return p.held >= b.terms.RemovalDelay+gather }) {
		out = nil
	}
	for _, p := range out {
		b.stand(p, Removed)
	}
	if news || b.changed {
		b.names()
	}
	if news || b.changed {
		b.show()
	}
}

// fits tells whether one that joins hears half of those it should, and half of them hear it. Guards against one that is cut off in one
// direction from its start: it would be in until it comes to doubt itself, or the others to miss it.
func (b *Detector) fits(p *peer) bool {
	others := b.members
	if slices.ContainsFunc(b.of(p.Node), (*peer).member) {
		others--
	}
	return len(p.Hears) > 0 && 2*min(len(p.Hears), p.hears) >= min(others, neighbours)
}

var suspicion = map[bool]Status{false: Alive, true: Suspected}

func (b *Detector) stand(p *peer, as Status) {
	p.standing, p.since, p.held = as, b.ran, 0
	b.changed = true // what others say may count otherwise now
}

func (b *Detector) forget(p *peer) {
	delete(b.all, p.Process)
	p.standing = Forgotten
	if len(b.gone) >= mostGone {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(b.gone)), func(x, y ProcessID) int {
			return cmp.Or(cmp.Compare(b.gone[x].at, b.gone[y].at), cmp.Compare(x, y))
		})
		delete(b.gone, oldest)
	}
	b.strike(p)
	b.gone[p.Process] = ended{p.Revision, p.Addr, b.ran}
	b.changed, b.reordered = true, true
}

// names leaves one process to each name: the latest life, and of two with the same the lower process. One that nobody hears, and that has
// a successor, is none.
func (b *Detector) names() {
	if !b.shared() {
		return
	}
	holds := map[NodeName]*peer{}
	for _, p := range b.sorted() {
		if h := holds[p.Node]; p.member() && (h == nil || p.before(h)) {
			holds[p.Node] = p
		}
	}
	for _, p := range b.sorted() { // guards against the ghost of a process whose successor is out as well, kept by one who came late
		if p == b.own || !p.member() || p.hears > 0 || b.frozen {
			continue
		}
		for _, o := range b.of(p.Node) {
			// one that has just come is about to be a member, unless it is known to be silent
			if o.succeeds(p) && (o.standing != Joining || b.ran-o.foundAt >= joinsIn*b.terms.ClaimPeriod || o.silenced(b.observers)) {
				b.forget(p)
				delete(holds, p.Node)
				break
			}
		}
	}
	for _, p := range b.sorted() {
		h := holds[p.Node]
		if h == nil || h == p || p.Incarnation == 0 || !h.before(p) || p.standing == Left {
			continue
		}
		if p == b.own {
			if b.verdict == nil {
				b.verdict = fmt.Errorf("another process has taken the name %s, at %s", h.Node, h.Addr)
			}
			continue
		}
		b.forget(p)
	}
}

func (p *peer) before(o *peer) bool {
	return cmp.Or(-cmp.Compare(p.Incarnation, o.Incarnation), cmp.Compare(p.Process, o.Process)) < 0
}

// show makes a new view. Its number goes up where another set of nodes are members.
func (b *Detector) show() {
	v := &View{Number: b.view.Number, Own: b.own.Process, Incarnation: b.own.Incarnation, CutOff: b.frozen || b.own.standing == Removed}
	b.sorted()
	v.Members, v.Nodes = make([]Member, 0, len(b.shown)), make([]NodeName, 0, len(b.shown))
	for _, p := range b.shown {
		v.Members = append(v.Members, Member{Process: p.Process, Node: p.Node, Incarnation: p.Incarnation, Addr: p.Addr, Status: p.standing, Since: p.since,
			Hears: p.hears, Misses: p.misses})
		if p.member() {
			v.Nodes = append(v.Nodes, p.Node)
		}
	}
	v.Nodes = slices.Compact(v.Nodes)
	if v.Mark = b.view.Mark; !slices.Equal(v.Nodes, b.view.Nodes) {
		v.Number++
		v.Mark = mark(v.Nodes)
	}
	b.view = v
}
