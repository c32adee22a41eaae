package degradation

import (
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/policy"
)

const (
	// evaluationInterval is the minimum time between two evaluations.
	evaluationInterval = listeners.LevelInterval

	// minRequests is the number of admitted requests that an evaluation needs to detect a fault. With 60 requests, the
	// measured value of a 10 % share is within a third of the true one in two of three evaluations.
	minRequests = 60

	// maxEvaluationInterval is the time after which an evaluation is made even with fewer than minRequests. It then
	// counts as one without faults.
	maxEvaluationInterval = 20 * evaluationInterval

	// startUpGrace is the time after the start during which no level is entered: the policy rejects requests until it
	// knows the caches.
	startUpGrace = 10 * time.Second

	// evaluationsToEnter is the number of consecutive evaluations needed to enter a level: a pause of the node's
	// machine can distort a single one.
	evaluationsToEnter = 2

	// readmitStep is the share of a level's requests that is readmitted in one step, and shedStep the share that is
	// shed again if a step has readmitted too much.
	readmitStep = 1.0 / 8
	shedStep    = 2 * readmitStep

	// stepsPerStay is the number of readmission steps in a level's minimum stay. Traffic fluctuates, and each step has
	// to last long enough to cover both its peaks and its troughs.
	stepsPerStay = 2
)

// Controller determines a node's degradation level. It is not safe for concurrent use.
type Controller struct {
	levels         []listeners.Level
	level          int            // 0 is normal operation; otherwise the level is levels[level-1]
	shedShare      float64        // share of the requests of the level's classes that is shed, from 0 to 1
	stepStartedAt  policy.Instant // when shedShare was set; on entry a time in the future, for a longer first step
	window         window         // counts since evaluatedAt
	evaluatedAt    policy.Instant
	graceEnds      policy.Instant // no level is entered before this time
	reachedStreaks []int          // by level: consecutive evaluations that reached its bounds for entering
}

// NewController returns a Controller in normal operation. levels are ordered from the mildest to the most severe.
func NewController(now policy.Instant, levels []listeners.Level) *Controller {
	return &Controller{
		levels:         levels,
		evaluatedAt:    now,
		graceEnds:      now.Add(startUpGrace),
		reachedStreaks: make([]int, len(levels)),
	}
}

// Current returns the number of the level, 0 for normal operation, and the share of the requests of its classes that is
// currently shed.
func (c *Controller) Current() (level int, share float64) { return c.level, c.shedShare }

// name returns the configured name of the current level.
func (c *Controller) name() string {
	if c.level == 0 {
		return "normal"
	}
	return c.levels[c.level-1].Name
}

// RecordAttempt counts an attempt that has ended. objective is the latency objective of its request's service class.
func (c *Controller) RecordAttempt(result policy.Result, latency, objective time.Duration, atOrigin bool) {
	c.window.recordAttempt(result, latency, objective, atOrigin)
}

// RecordAdmitted counts a request that the level admits.
func (c *Controller) RecordAdmitted() { c.window.admitted++ }

// RecordRejected counts an admitted request that the policy rejected.
func (c *Controller) RecordRejected() { c.window.policyRejected++ }

// Evaluate makes an evaluation if one is due, and reports whether the level has changed. With fewer than minRequests it
// waits for more, up to maxEvaluationInterval, and then counts the evaluation as one without faults: otherwise a single
// late answer could change the level of a node with little traffic.
func (c *Controller) Evaluate(now policy.Instant) (changed bool) {
	elapsed := now.Since(c.evaluatedAt)
	tooFewRequests := c.window.admitted < minRequests
	if elapsed < evaluationInterval || tooFewRequests && elapsed < maxEvaluationInterval {
		return false
	}
	observed := c.window.shares()
	if tooFewRequests { // too few requests to detect a fault
		observed = listeners.Shares{}
	}
	c.window = window{}
	c.evaluatedAt = now
	if now < c.graceEnds {
		return false
	}
	before := c.level
	c.transition(now, observed)
	return c.level != before
}

// transition enters a more severe level if its bounds are reached. Otherwise it adjusts the shed share of the current
// level, and leaves the level once nothing has been shed for its minimum stay.
func (c *Controller) transition(now policy.Instant, observed listeners.Shares) {
	target := c.updateStreaks(observed)
	if target > c.level {
		c.enter(now, target)
		return
	}
	if c.level == 0 {
		return
	}
	level := &c.levels[c.level-1]
	stayed := now.Since(c.stepStartedAt)
	switch {
	case anyReached(level.Enter, observed): // too many requests were readmitted
		c.setShedShare(now, min(1, c.shedShare+shedStep))
	case anyReached(level.Leave, observed): // no change: a level is left only while all shares are below its Leave
	case c.shedShare > 0 && stayed >= level.MinStay()/stepsPerStay:
		c.setShedShare(now, max(0, c.shedShare-readmitStep))
	case c.shedShare == 0 && stayed >= level.MinStay():
		c.leave(now)
	}
}

// updateStreaks updates reachedStreaks, and returns the most severe level that is to be entered, or 0.
func (c *Controller) updateStreaks(observed listeners.Shares) int {
	target := 0
	for i := range c.levels {
		if !anyReached(c.levels[i].Enter, observed) {
			c.reachedStreaks[i] = 0
			continue
		}
		c.reachedStreaks[i]++
		if c.reachedStreaks[i] >= evaluationsToEnter {
			target = i + 1
		}
	}
	return target
}

func (c *Controller) setShedShare(now policy.Instant, share float64) {
	c.shedShare = share
	c.stepStartedAt = now
}

// enter starts a level by shedding all requests of its classes for its minimum stay.
func (c *Controller) enter(now policy.Instant, level int) {
	stay := c.levels[level-1].MinStay()
	c.level = level
	c.setShedShare(now.Add(stay-stay/stepsPerStay), 1)
}

// leave goes to the next milder level, which also starts by shedding all requests of its classes.
func (c *Controller) leave(now policy.Instant) {
	c.level--
	if c.level > 0 {
		c.enter(now, c.level)
	}
}
