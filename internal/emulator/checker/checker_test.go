package checker

import (
	"testing"
	"time"

	"dahliapin/policy"
)

const ms = policy.Instant(time.Millisecond)

func testClasses() []policy.ServiceClass {
	return []policy.ServiceClass{{LatencyObjective: 50 * time.Millisecond, Idempotency: policy.Idempotent},
		{LatencyObjective: 50 * time.Millisecond, Idempotency: policy.IdempotentByKey, DedupScope: policy.SameGroup,
			DedupWindow: time.Second},
		{LatencyObjective: 50 * time.Millisecond, Idempotency: policy.NotIdempotent}}
}

// leaveThenAttempt makes clients leave and sends an attempt for each of them the given time later.
func leaveThenAttempt(ch *Checker, sent func(*Checker, int), clients int, after policy.Instant) {
	for range clients {
		sent(ch, 0)
		ch.ClientGone(20*ms, "r")
		ch.AttemptArrived(29*ms+after, 20*ms+after, "r", "c1")
	}
}

// repeatKeyedWrite sends a write with an idempotency key, whose deduplication window is a second, and sends it again
// the given time after the first attempt.
func repeatKeyedWrite(ch *Checker, firstNotExecuted bool, after policy.Instant) {
	const first = 5 * ms
	ch.RequestSent(0, "r", 0, 1, "l", 5000*ms, true)
	ch.AttemptArrived(first, first, "r", "c1")
	ch.AttemptEnded(first+ms, "r", "c1", firstNotExecuted)
	ch.AttemptArrived(first+after+ms, first+after, "r", "c2")
}

// A checker that misses a breach passes a faulty node. Each case breaks one rule in one way, or stays just within it.
func TestCheckerCountsEachBreachOnceAndNoNearMiss(t *testing.T) {
	sent := func(ch *Checker, class int) { ch.RequestSent(0, "r", 0, class, "l", 100*ms, true) }
	for _, c := range []struct {
		name string
		rule int // 0 for none
		do   func(ch *Checker)
	}{
		{"answered", 0, func(ch *Checker) { sent(ch, 0); ch.Answered(20*ms, "r", Satisfied); ch.Advance(9999 * ms) }},
		{"answered twice", 1, func(ch *Checker) {
			sent(ch, 0)
			ch.Answered(20*ms, "r", Satisfied)
			ch.Answered(21*ms, "r", Rejected)
		}},
		{"answered after the deadline and the slack", 1, func(ch *Checker) {
			sent(ch, 0)
			ch.Answered(111*ms, "r", Satisfied)
		}},
		{"answered within the slack", 0, func(ch *Checker) { sent(ch, 0); ch.Answered(109*ms, "r", Satisfied) }},
		{"never answered", 1, func(ch *Checker) { sent(ch, 0); ch.Advance(200 * ms) }},
		{"answered after it was counted as unanswered: one breach", 1, func(ch *Checker) {
			sent(ch, 0)
			ch.Advance(200 * ms)
			ch.Answered(300*ms, "r", Satisfied)
		}},
		{"never answered, as its node was killed", 0, func(ch *Checker) {
			sent(ch, 0)
			ch.Forget("r")
			ch.Advance(200 * ms)
		}},
		{"connection ended without an answer", 1, func(ch *Checker) { sent(ch, 0); ch.Answered(10*ms, "r", Cut) }},
		{"answer to an unknown request", 1, func(ch *Checker) { ch.Answered(10*ms, "q", Satisfied) }},
		{"attempt sent after the answer", 1, func(ch *Checker) {
			sent(ch, 0)
			ch.Answered(20*ms, "r", Failed)
			ch.AttemptArrived(40*ms, 35*ms, "r", "c1")
		}},
		{"attempt that crossed the answer", 0, func(ch *Checker) {
			sent(ch, 0)
			ch.Answered(20*ms, "r", Failed)
			ch.AttemptArrived(40*ms, 20*ms, "r", "c1")
		}},
		{"three attempts over 0.1 s after their clients had left", 1, func(ch *Checker) {
			leaveThenAttempt(ch, sent, 3, 101*ms)
		}},
		{"two attempts over 0.1 s after their clients had left", 0, func(ch *Checker) {
			leaveThenAttempt(ch, sent, 2, 101*ms)
		}},
		{"attempts and an answer that crossed the departure of their clients", 0, func(ch *Checker) {
			leaveThenAttempt(ch, sent, 9, 100*ms)
			ch.Answered(140*ms, "r", Satisfied)
			ch.Advance(999 * ms)
		}},
		{"second attempt of a request after its client had left", 1, func(ch *Checker) {
			leaveThenAttempt(ch, sent, 2, 101*ms)
			sent(ch, 0)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.AttemptEnded(6*ms, "r", "c1", false)
			ch.ClientGone(20*ms, "r")
			ch.AttemptArrived(122*ms, 122*ms, "r", "c2")
		}},
		{"wrong value", 1, func(ch *Checker) { sent(ch, 0); ch.WrongAnswer(10*ms, "r", "made up") }},
		{"two effects with one idempotency key", 2, func(ch *Checker) {
			sent(ch, 1)
			ch.Effect(10*ms, "r", "l", 1, "c1")
			ch.Effect(20*ms, "r2", "l", 1, "c2")
		}},
		{"two effects with two idempotency keys", 0, func(ch *Checker) {
			ch.Effect(10*ms, "r", "l", 1, "c1")
			ch.Effect(20*ms, "r", "m", 1, "c1")
		}},
		{"rejected after an attempt that may have run", 2, func(ch *Checker) {
			sent(ch, 2)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.Answered(10*ms, "r", Rejected)
		}},
		{"rejected after an attempt that was not executed", 0, func(ch *Checker) {
			sent(ch, 2)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.AttemptEnded(6*ms, "r", "c1", true)
			ch.Answered(10*ms, "r", Rejected)
		}},
		{"failed after an attempt", 0, func(ch *Checker) {
			sent(ch, 2)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.Answered(10*ms, "r", Failed)
		}},
		{"executed after its rejection", 2, func(ch *Checker) {
			sent(ch, 2)
			ch.Answered(10*ms, "r", Rejected)
			ch.Effect(12*ms, "r", "", 2, "c1")
		}},
		{"irreversible request sent again", 2, func(ch *Checker) {
			sent(ch, 2)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.AttemptEnded(6*ms, "r", "c1", false)
			ch.AttemptArrived(8*ms, 8*ms, "r", "c2")
		}},
		{"write with a key sent again after its window and the slack", 2, func(ch *Checker) {
			repeatKeyedWrite(ch, false, 1011*ms)
		}},
		{"write with a key sent again at the end of its window and the slack", 0, func(ch *Checker) {
			repeatKeyedWrite(ch, false, 1010*ms)
		}},
		{"write with a key sent again after its window, the earlier attempt was not executed", 0, func(ch *Checker) {
			repeatKeyedWrite(ch, true, 1011*ms)
		}},
		{"write with a key sent again, within the window of the latest attempt only", 2, func(ch *Checker) {
			repeatKeyedWrite(ch, false, 800*ms)
			ch.AttemptEnded(810*ms, "r", "c2", false)
			ch.AttemptArrived(1200*ms, 1200*ms, "r", "c1")
		}},
		{"idempotent read sent again long after the first attempt", 0, func(ch *Checker) {
			ch.RequestSent(0, "r", 0, 0, "", 5000*ms, true)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.AttemptEnded(6*ms, "r", "c1", false)
			ch.AttemptArrived(4000*ms, 4000*ms, "r", "c2")
		}},
		{"two overlapping attempts without hedging", 2, func(ch *Checker) {
			sent(ch, 0)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.AttemptArrived(6*ms, 6*ms, "r", "c2")
			ch.AttemptEnded(30*ms, "r", "c1", false)
		}},
		{"second attempt that crossed the end of the first", 0, func(ch *Checker) {
			sent(ch, 0)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.AttemptArrived(6*ms, 6*ms, "r", "c2")
			ch.AttemptEnded(9*ms, "r", "c1", false)
		}},
		{"attempt that arrives after the next one, abandoned before that was sent", 0, func(ch *Checker) {
			sent(ch, 0)
			ch.AttemptEnded(9*ms, "r", "c1", false)
			ch.AttemptArrived(10*ms, 9*ms, "r", "c2")
			ch.AttemptArrived(11*ms, 5*ms, "r", "c1")
			ch.AttemptEnded(40*ms, "r", "c2", false)
		}},
		{"attempt that arrives after the next one, abandoned after that was sent", 2, func(ch *Checker) {
			sent(ch, 0)
			ch.AttemptArrived(10*ms, 9*ms, "r", "c2")
			ch.AttemptEnded(20*ms, "r", "c1", false)
			ch.AttemptArrived(21*ms, 5*ms, "r", "c1")
			ch.AttemptEnded(40*ms, "r", "c2", false)
		}},
		{"hedge that arrives after the end of the first attempt", 2, func(ch *Checker) {
			sent(ch, 0)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.AttemptEnded(30*ms, "r", "c1", false)
			ch.AttemptArrived(60*ms, 10*ms, "r", "c2")
		}},
		{"hedge that was abandoned while it was in transit", 2, func(ch *Checker) {
			sent(ch, 0)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.AttemptEnded(12*ms, "r", "c2", false)
			ch.AttemptArrived(15*ms, 10*ms, "r", "c2")
			ch.AttemptEnded(30*ms, "r", "c1", false)
		}},
		{"two attempts sent at the same time without hedging", 2, func(ch *Checker) {
			sent(ch, 0)
			ch.AttemptArrived(5*ms, 5*ms, "r", "c1")
			ch.AttemptArrived(6*ms, 5*ms, "r", "c2")
			ch.AttemptEnded(30*ms, "r", "c1", false)
			ch.AttemptEnded(50*ms, "r", "c2", false)
		}},
		{"attempt to a draining server", 3, func(ch *Checker) {
			ch.Notified(0, 0, "c1", policy.Draining)
			sent(ch, 0)
			ch.AttemptArrived(60*ms, 51*ms, "r", "c1")
		}},
		{"attempt to a draining server within the grace time", 0, func(ch *Checker) {
			ch.Notified(0, 0, "c1", policy.Draining)
			sent(ch, 0)
			ch.AttemptArrived(60*ms, 49*ms, "r", "c1")
		}},
		{"attempt to a server that is ready again", 0, func(ch *Checker) {
			ch.Notified(0, 0, "c1", policy.Removed)
			ch.Notified(1, 0, "c1", policy.Ready)
			sent(ch, 0)
			ch.AttemptArrived(60*ms, 60*ms, "r", "c1")
		}},
		{"another node was notified", 0, func(ch *Checker) {
			ch.Notified(0, 1, "c1", policy.Removed)
			sent(ch, 0)
			ch.AttemptArrived(60*ms, 60*ms, "r", "c1")
		}},
		{"server overloaded", 4, func(ch *Checker) { ch.ServerOverloaded(0, "c1", 1, "cold") }},
		{"server overloaded, two thirds of it by nodes that knew of its start", 4, func(ch *Checker) {
			ch.ServerOverloaded(0, "c1", 2.0/3, "cold")
		}},
		{"server overloaded, less than two thirds of it by nodes that knew of its start", 0, func(ch *Checker) {
			ch.ServerOverloaded(0, "c1", 0.66, "cold")
		}},
	} {
		ch := New(Rules{Classes: testClasses(), Grace: 50 * time.Millisecond, Slack: 10 * time.Millisecond})
		c.do(ch)
		want := [5]uint64{}
		if c.rule > 0 {
			want[c.rule] = 1
		}
		if ch.Counts != want {
			t.Errorf("%s: breaches by rule are %v, want %v: %v", c.name, ch.Counts, want, ch.Breaches)
		}
	}
}
