package degradation

import (
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/policy"
)

const (
	// evaluationInterval is the least time between two evaluations.
	evaluationInterval = listeners.LevelInterval

	// minRequests is how many admitted requests an evaluation needs. With 60 of them, a share of a tenth is off by a
	// third at most in two of three evaluations.
	minRequests = 60

	// maxEvaluationInterval is the time after which an evaluation is made of whatever requests there are.
	maxEvaluationInterval = 20 * evaluationInterval

	// startUpGrace is the time after the start in which nothing is evaluated: the policy sheds load while it knows no
	// cache yet.
	startUpGrace = 10 * time.Second

	// enterAfter is how many evaluations in a row enter a level: a single one may be a pause of this machine.
	enterAfter = 2

	// readmitStep is the part of what is shed that is readmitted at once, and shedStep the part that is shed again when
	// that was too much.
	readmitStep = 1.0 / 8
	shedStep    = 2 * readmitStep

	// stepsPerStay is the number of steps in a least stay: traffic swells and ebbs, and a step is to see both.
	stepsPerStay = 2
)

// Controller holds a node's degradation level. It is used by one goroutine.
type Controller struct {
	levels      []listeners.Level
	level       int            // 0 is normal operation, else levels[level-1] holds
	shedShare   float64        // share of the requests of the level's classes that is shed, from 0 to 1
	changedAt   policy.Instant // when shedShare was last set; on entry in the future, so that all is shed for longer
	window      window         // what happened since evaluatedAt
	evaluatedAt policy.Instant
	graceEnds   policy.Instant // no level is entered before
	reachedFor  []int          // by level: evaluations in a row that reached the bounds at which it is entered
}

// NewController returns a Controller in normal operation for levels from the mildest to the hardest.
func NewController(now policy.Instant, levels []listeners.Level) *Controller {
	return &Controller{
		levels:      levels,
		evaluatedAt: now,
		graceEnds:   now.Add(startUpGrace),
		reachedFor:  make([]int, len(levels)),
	}
}

// Current returns the number of the level, 0 for normal operation, and the share of what it sheds that is shed now.
func (c *Controller) Current() (level int, share float64) { return c.level, c.shedShare }

// name returns the operator's name of the current level.
func (c *Controller) name() string {
	if c.level == 0 {
		return "normal"
	}
	return c.levels[c.level-1].Name
}

// RecordAttempt counts the end of an attempt, with the latency objective of its request's service class.
func (c *Controller) RecordAttempt(result policy.Result, latency, objective time.Duration, atOrigin bool) {
	c.window.recordAttempt(result, latency, objective, atOrigin)
}

// RecordAdmitted counts a request that the level lets through.
func (c *Controller) RecordAdmitted() { c.window.admitted++ }

// RecordRejected counts an admitted request that the policy rejected.
func (c *Controller) RecordRejected() { c.window.policyRejected++ }

// Evaluate evaluates what was recorded, if it is time to, and tells whether the level has changed. With few requests
// it waits for more, up to maxEvaluationInterval: a node with little traffic would otherwise change its level by
// single late answers.
func (c *Controller) Evaluate(now policy.Instant) (changed bool) {
	elapsed := now.Since(c.evaluatedAt)
	isThin := c.window.admitted < minRequests
	if elapsed < evaluationInterval || isThin && elapsed < maxEvaluationInterval {
		return false
	}
	seen := c.window.shares()
	if isThin { // too few requests to say that there is a fault
		seen = listeners.Shares{}
	}
	c.window = window{}
	c.evaluatedAt = now
	if now < c.graceEnds {
		return false
	}
	before := c.level
	c.move(now, seen)
	return c.level != before
}

// move enters a harder level or, within the level, adapts what is shed, down to leaving the level.
func (c *Controller) move(now policy.Instant, seen listeners.Shares) {
	target := c.hardestReached(seen)
	if target > c.level {
		c.enter(now, target)
		return
	}
	if c.level == 0 {
		return
	}
	level := &c.levels[c.level-1]
	stayed := now.Since(c.changedAt)
	switch {
	case anyReached(level.Enter, seen): // too much was readmitted
		c.setShedShare(now, min(1, c.shedShare+shedStep))
	case anyReached(level.Leave, seen): // neither too much nor too little is shed
	case c.shedShare > 0 && stayed >= level.MinStay()/stepsPerStay:
		c.setShedShare(now, max(0, c.shedShare-readmitStep))
	case c.shedShare == 0 && stayed >= level.MinStay():
		c.leave(now)
	}
}

// hardestReached updates reachedFor, and returns the hardest level that is to be entered, or 0.
func (c *Controller) hardestReached(seen listeners.Shares) int {
	hardest := 0
	for i := range c.levels {
		if !anyReached(c.levels[i].Enter, seen) {
			c.reachedFor[i] = 0
			continue
		}
		c.reachedFor[i]++
		if c.reachedFor[i] >= enterAfter {
			hardest = i + 1
		}
	}
	return hardest
}

func (c *Controller) setShedShare(now policy.Instant, share float64) {
	c.shedShare = share
	c.changedAt = now
}

// enter starts a level in which all requests of its classes are shed for its least stay.
func (c *Controller) enter(now policy.Instant, level int) {
	stay := c.levels[level-1].MinStay()
	c.level = level
	c.setShedShare(now.Add(stay-stay/stepsPerStay), 1)
}

// leave goes to the next milder level, which at first sheds all requests of its classes as well.
func (c *Controller) leave(now policy.Instant) {
	c.level--
	if c.level > 0 {
		c.enter(now, c.level)
	}
}
