package checker

import (
	"cmp"
	"fmt"
	"time"

	"dahliapin/internal/timerqueue"
	"dahliapin/policy"
)

const (
	maxBreaches     = 200                    // that are kept word for word; all are counted
	clientGoneSlack = 100 * time.Millisecond // after its client has gone in which attempts may still begin, first or further
	maxLateAttempts = 2                      // attempts that began later and are no breach yet: they crossed the end
	watchTime       = 5 * time.Second        // that a request is watched beyond its deadline
)

// Final is a final answer, as a client sees it.
type Final int

const (
	Satisfied Final = iota
	Rejected
	Failed
	Cut // the connection ended without an answer
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
	return fmt.Sprintf("rule %d at %.3f s: %s (request %q, server %q, node %d)",
		b.Rule, time.Duration(b.At).Seconds(), b.What, b.Request, b.Server, b.Node)
}

// Rules are what a run is checked by.
type Rules struct {
	Classes        []policy.ServiceClass
	HedgingAllowed bool
	Grace          time.Duration // after a change of the endpoint list is told
	Slack          time.Duration // that what crosses may take
	AnswerSlack    time.Duration // after its deadline in which a final answer may come; 0 for Slack
}

// Tally counts what the clients of one class were answered.
type Tally struct {
	Asked, Satisfied, InTime, Rejected, Failed, Cut uint64
	First, FirstInTime                              uint64 // first tries, and those that a try satisfied in time
}

// Checker checks one run. It is used by one goroutine.
type Checker struct {
	Counts                  [5]uint64 // breaches by rule, from 1
	AttemptsAfterClientGone uint64    // attempts that began after their clients had gone, beyond what crosses
	Breaches                []Breach
	Classes                 []Tally
	Latencies               [][]time.Duration // by class, of those satisfied

	rules      Rules
	requests   map[string]*request
	deadlines  timerqueue.Queue[string] // ids of requests
	expiries   timerqueue.Queue[string] // when a request is no longer watched
	effects    map[string]int           // by idempotency key, or request
	notifiedAt map[notification]policy.Instant
}

// New starts a check.
func New(rules Rules) *Checker {
	return &Checker{
		rules:      rules,
		requests:   map[string]*request{},
		effects:    map[string]int{},
		notifiedAt: map[notification]policy.Instant{},
		Classes:    make([]Tally, len(rules.Classes)),
		Latencies:  make([][]time.Duration, len(rules.Classes)),
	}
}

func (c *Checker) breach(rule int, at policy.Instant, id string, node int, server policy.EndpointID, what string) {
	c.Counts[rule]++
	if len(c.Breaches) < maxBreaches {
		c.Breaches = append(c.Breaches, Breach{Rule: rule, At: at, What: what, Request: id, Server: server, Node: node})
	}
}

func (c *Checker) answerSlack() time.Duration { return cmp.Or(c.rules.AnswerSlack, c.rules.Slack) }

// Breached counts all breaches.
func (c *Checker) Breached() uint64 {
	var sum uint64
	for _, n := range c.Counts {
		sum += n
	}
	return sum
}
