// Package judge counts answers and effects for itself, whatever a router says of them, and tells each breach of the four
// rules. It is told what happened where it happened: at the clients, at the servers, and where the list is told.
package checker

import (
	"cmp"
	"fmt"
	"time"

	"dahliapin/internal/timerqueue"
	"dahliapin/policy"
)

const (
	mostKept    = 200                    // breaches that are kept word for word; all are counted
	leftFor     = 100 * time.Millisecond // after its client has gone, no attempt begins for a request any more, first or further
	leftAllowed = 2                      // attempts that began later and are no breach yet
)

// Final is a final answer.
type Final int

const (
	Satisfied Final = iota
	Rejected
	Failed
	Cut // the connection ended without one
)

func (f Final) String() string { return [...]string{"satisfied", "rejected", "failed", "cut"}[f] }

// Breach is one rule broken once.
type Breach struct {
	Rule    int               `json:"rule"`
	At      policy.Instant    `json:"at_ns"`
	What    string            `json:"what"`
	Request string            `json:"request,omitempty"`
	Server  policy.EndpointID `json:"server,omitempty"`
	Node    int               `json:"node"`
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d at %.3f s: %s (request %q, server %q, node %d)", b.Rule, time.Duration(b.At).Seconds(), b.What,
		b.Request, b.Server, b.Node)
}

// Rules are what it judges by.
type Rules struct {
	Classes        []policy.ServiceClass
	HedgingAllowed bool
	Grace          time.Duration // after a change of the list is told
	Slack          time.Duration // that what crosses may take
	AnswerSlack    time.Duration // after its deadline that a final answer may come; 0 for Slack
}

// Tally counts what clients were answered, by grade.
type Tally struct {
	Asked, Satisfied, InTime, Rejected, Failed, Cut uint64
	First, FirstInTime                              uint64 // first tries, and those of them that a try satisfied within the soft limit
}

// Checker is told of one run.
type Checker struct {
	terms     Rules
	hand      map[string]*taken
	due       timerqueue.Queue[string]
	forget    timerqueue.Queue[string]
	effects   map[string]int
	told      map[place]policy.Instant // when a node was told that a server wants nothing new
	Counts    [5]uint64                // breaches by rule
	AfterGone uint64                   // attempts that began after their clients had gone, beyond what crosses
	Breaches  []Breach
	Classes   []Tally
	Took      [][]time.Duration // by grade, of those satisfied
}

type place struct {
	node   int
	server policy.EndpointID
}

type taken struct {
	node     int
	grade    int
	label    string
	sent     policy.Instant
	stop     policy.Instant
	answered policy.Instant // 0 for not yet
	gone     policy.Instant // when its client left without an answer; 0 for not
	final    Final
	ran      bool // an effect was seen
	lost     bool // counted as without an answer
	legs     []leg
}

type leg struct {
	server policy.EndpointID
	came   policy.Instant
	left   policy.Instant // 0 while it is out
	never  bool           // it is sure that it did not run
}

// New starts one.
func New(t Rules) *Checker {
	return &Checker{terms: t, hand: map[string]*taken{}, effects: map[string]int{}, told: map[place]policy.Instant{},
		Classes: make([]Tally, len(t.Classes)), Took: make([][]time.Duration, len(t.Classes))}
}

func (j *Checker) breach(rule int, at policy.Instant, id string, node int, server policy.EndpointID, what string) {
	j.Counts[rule]++
	if len(j.Breaches) < mostKept {
		j.Breaches = append(j.Breaches, Breach{rule, at, what, id, server, node})
	}
}

// Sent tells that a client has handed a request to a node; repeats are tries of their own.
func (j *Checker) Sent(now policy.Instant, id string, node, grade int, label string, stop policy.Instant, first bool) {
	j.hand[id] = &taken{node: node, grade: grade, label: label, sent: now, stop: stop}
	j.due.Push(stop.Add(j.answerSlack()), id)
	j.Classes[grade].Asked++
	if first {
		j.Classes[grade].First++
	}
}

func (j *Checker) answerSlack() time.Duration { return cmp.Or(j.terms.AnswerSlack, j.terms.Slack) }

// Answered tells that a client has got an answer whole. It returns the time that took.
func (j *Checker) Answered(now policy.Instant, id string, how Final) time.Duration {
	t := j.hand[id]
	if t == nil {
		j.breach(1, now, id, -1, "", "an answer to what nobody asked, or long after its deadline")
		return 0
	}
	if t.gone != 0 { // it crossed the client's leaving
		return 0
	}
	if t.lost { // late, which is counted already
		t.lost = false
		return 0
	}
	if t.answered != 0 {
		j.breach(1, now, id, t.node, "", fmt.Sprintf("a second final answer (%v after %v)", how, t.final))
		return 0
	}
	t.answered, t.final = now, how
	if now > t.stop.Add(j.answerSlack()) {
		j.breach(1, now, id, t.node, "", "the final answer came after the deadline")
	}
	c, g := &j.Classes[t.grade], &j.terms.Classes[t.grade]
	took := now.Since(t.sent)
	switch how {
	case Satisfied:
		c.Satisfied++
		j.Took[t.grade] = append(j.Took[t.grade], took)
		if took <= g.LatencyObjective {
			c.InTime++
		}
	case Rejected:
		c.Rejected++
		if t.mayHaveRun() && !harmless(g) {
			j.breach(2, now, id, t.node, "", "rejected, though a leg of it may have run")
		}
	case Failed:
		c.Failed++
	case Cut:
		c.Cut++
		j.breach(1, now, id, t.node, "", "its connection ended without an answer")
	}
	return took
}

// Gone tells that a client has left, and waits for no answer any more.
func (j *Checker) Gone(now policy.Instant, id string) {
	if t := j.hand[id]; t != nil && t.answered == 0 {
		t.gone = now
	}
}

// Wrong tells that an answer is not what a server made for this request.
func (j *Checker) Wrong(now policy.Instant, id, what string) { j.breach(1, now, id, -1, "", what) }

// Served counts a first try whose client was satisfied, by whichever try, within its soft limit.
func (j *Checker) Served(grade int) { j.Classes[grade].FirstInTime++ }

// Excuse forgets a request whose node was killed by the script: nobody could have answered it.
func (j *Checker) Excuse(id string) { delete(j.hand, id) }

func harmless(g *policy.ServiceClass) bool {
	return g.Idempotency == policy.Idempotent || g.Idempotency == policy.IdempotentByKey && g.DedupScope == policy.AllCaches
}

func (t *taken) mayHaveRun() bool {
	for _, l := range t.legs {
		if !l.never {
			return true
		}
	}
	return t.ran
}

// Told tells that a node has heard what the list says of a server.
func (j *Checker) Told(now policy.Instant, node int, server policy.EndpointID, state policy.Lifecycle) {
	at := place{node, server}
	if state == policy.Ready {
		delete(j.told, at)
	} else if _, known := j.told[at]; !known {
		j.told[at] = now
	}
}

// Came tells that a leg has come to a server whole, and since when it was on its way.
func (j *Checker) Came(now, sent policy.Instant, id string, server policy.EndpointID) {
	t := j.hand[id]
	if t == nil {
		return // nobody's, or of one long over: what it does shows as an effect
	}
	g := &j.terms.Classes[t.grade]
	if t.gone != 0 && sent > t.gone.Add(leftFor) {
		if j.AfterGone++; j.AfterGone > leftAllowed {
			j.breach(1, now, id, t.node, server, fmt.Sprintf("an attempt began %v after its client had gone, the %dth such", sent.Since(t.gone), j.AfterGone))
		}
	}
	if t.answered != 0 && sent > t.answered.Add(j.terms.Slack) {
		j.breach(1, now, id, t.node, server, "a leg went out after the final answer")
	}
	if at, known := j.told[place{t.node, server}]; known && sent > at.Add(j.terms.Grace) {
		j.breach(3, now, id, t.node, server, fmt.Sprintf("a leg went to a server %v after it was told to want none", sent.Since(at)))
	}
	if g.Idempotency == policy.NotIdempotent && t.mayHaveRun() {
		j.breach(2, now, id, t.node, server, "another leg of an irreversible request, though one may have run")
	}
	if t.answered != 0 && t.final == Rejected && !harmless(g) {
		j.breach(2, now, id, t.node, server, "a leg came after the rejection")
	}
	t.legs = append(t.legs, leg{server: server, came: now})
}

// Left tells that a server has answered a leg, or that the node has given it up or called it off.
func (j *Checker) Left(now policy.Instant, id string, server policy.EndpointID, neverRan bool) {
	t := j.hand[id]
	if t == nil {
		return
	}
	g := &j.terms.Classes[t.grade]
	for i := range t.legs {
		l := &t.legs[i]
		if l.server != server || l.left != 0 {
			continue
		}
		l.left, l.never = now, neverRan
		if j.terms.HedgingAllowed && g.Idempotency != policy.NotIdempotent {
			return
		}
		for k := range t.legs { // one that came while this was still out, by more than what crosses
			if o := &t.legs[k]; k > i && l.left.Since(o.came) > j.terms.Slack {
				j.breach(2, o.came, id, t.node, o.server, "a second leg beside a first, where settings forbid it")
			}
		}
		return
	}
}

// Effect tells that a write has had its effect at a server, repeats that were dropped apart.
func (j *Checker) Effect(now policy.Instant, id, label string, grade int, server policy.EndpointID) {
	name := label
	if name == "" {
		name = id
	}
	if j.effects[name]++; j.effects[name] > 1 {
		j.breach(2, now, id, -1, server, fmt.Sprintf("the effect of %s %q happened %d times", effectName[j.terms.Classes[grade].Idempotency],
			name, j.effects[name]))
	}
	if t := j.hand[id]; t != nil {
		if t.ran = true; t.answered != 0 && t.final == Rejected && !harmless(&j.terms.Classes[grade]) {
			j.breach(2, now, id, t.node, server, "it ran after it was rejected")
		}
	}
}

var effectName = map[policy.Idempotency]string{policy.NotIdempotent: "irreversible", policy.IdempotentByKey: "labelled", policy.Idempotent: "idempotent"}

// Fell tells that a server was pushed over.
func (j *Checker) Fell(now policy.Instant, server policy.EndpointID, why string) {
	j.breach(4, now, "", -1, server, "pushed over: "+why)
}

// Advance looks at what is due: requests without an answer at their deadline.
func (j *Checker) Advance(now policy.Instant) {
	for {
		id, ok := j.due.PopDue(now)
		if !ok {
			break
		}
		t := j.hand[id]
		if t == nil {
			continue
		}
		if t.answered == 0 && t.gone == 0 {
			j.breach(1, now, id, t.node, "", "no final answer by its deadline")
			t.answered, t.lost = now, true
		}
		j.forget.Push(t.stop.Add(keepFor), id)
	}
	for {
		id, ok := j.forget.PopDue(now)
		if !ok {
			return
		}
		delete(j.hand, id)
	}
}

const keepFor = 5 * time.Second // that a request is watched beyond its deadline

// Broken counts all breaches.
func (j *Checker) Broken() (n uint64) {
	for _, c := range j.Counts {
		n += c
	}
	return n
}
