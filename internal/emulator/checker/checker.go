package checker

import (
	"cmp"
	"fmt"
	"time"

	"dahliapin/internal/timerqueue"
	"dahliapin/policy"
)

const (
	maxBreaches     = 200                    // maximum number of breaches with details; all are counted
	clientGoneSlack = 100 * time.Millisecond // time after a client has left in which attempts may still be sent
	maxLateAttempts = 2                      // tolerated attempts after that: they may cross the departure in transit
	watchTime       = 5 * time.Second        // time after its deadline for which a request is remembered
)

// Final is the kind of a final answer, as seen by the client.
type Final int

const (
	Satisfied Final = iota
	Rejected
	Failed
	Cut // the connection ended without an answer
)

func (f Final) String() string { return [...]string{"satisfied", "rejected", "failed", "cut"}[f] }

// Breach is a violation of a rule.
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

// Rules are the parameters of a check.
type Rules struct {
	Classes        []policy.ServiceClass
	HedgingAllowed bool
	Grace          time.Duration // time after a node is notified that a server accepts no attempts, for rule 3
	Slack          time.Duration // tolerance for messages that cross in transit
	AnswerSlack    time.Duration // time after the deadline in which a final answer may arrive; 0 for Slack
}

// Tally counts the requests of one class by their answers.
type Tally struct {
	Asked, Satisfied, InTime, Rejected, Failed, Cut uint64
	First, FirstInTime                              uint64 // first tries, and those satisfied in time by any try
}

// Checker checks one run. It is not safe for concurrent use.
type Checker struct {
	Counts                  [5]uint64 // breaches by rule, from 1
	AttemptsAfterClientGone uint64    // attempts that began later than clientGoneSlack after their clients had gone
	Breaches                []Breach
	Classes                 []Tally
	Latencies               [][]time.Duration // of satisfied requests, by class

	rules      Rules
	requests   map[string]*request
	deadlines  timerqueue.Queue[string] // ids of requests
	expiries   timerqueue.Queue[string] // ids of requests to forget
	effects    map[string]int           // count by idempotency key, or by request id without one
	notifiedAt map[notification]policy.Instant
}

// New returns a checker for a run that has not started yet.
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

// Breached returns the number of breaches of all rules.
func (c *Checker) Breached() uint64 {
	var sum uint64
	for _, n := range c.Counts {
		sum += n
	}
	return sum
}
