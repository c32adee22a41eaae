package proxy

import (
	"time"

	"dahliapin/policy"
)

// lastKnownListDelay is how long a node that starts waits for a list before it serves by the last known one.
const lastKnownListDelay = 250 * time.Millisecond

// Phase is a node's phase of life.
type Phase int32

const (
	Starting Phase = iota // no endpoint list yet: requests are rejected
	Serving
	Standby  // operators have taken the node out of service; it does not end
	Draining // the node ends once its clients are served
	Stopped
)

var phaseNames = [...]string{"starting", "serving", "standby", "draining", "stopped"}

// String returns the phase's name, as readiness answers state it.
func (p Phase) String() string { return phaseNames[p] }

// lifecycle is the node's phase and what the steps of drain and standby have seen. drain.go and standby.go write it.
type lifecycle struct {
	phase              Phase
	drainStartedAt     policy.Instant
	standbyStartedAt   policy.Instant
	lastIdleCheckAt    policy.Instant // of a node that drains
	punctualIdleChecks int            // idle checks in a row that were on time and saw no new connection
	// idleCheckScheduled is whether a timer for the next idle check is set. It may be one of a standby that has ended
	// since.
	idleCheckScheduled bool
}

func (p *Proxy) enterPhase(phase Phase) {
	p.lifecycle.phase = phase
	p.publishMetrics()
	if p.config.OnPhaseChange != nil {
		p.config.OnPhaseChange(phase)
	}
}

// idleClientCheck looks for idle clients, as the phase asks for it.
func (p *Proxy) idleClientCheck() {
	p.lifecycle.idleCheckScheduled = false
	switch p.lifecycle.phase {
	case Draining:
		p.drainStep()
	case Standby:
		p.standbyStep()
	}
}

// scheduleIdleClientCheck sets the timer for the next idle check, unless one is set. Guards against a second series of
// checks where a node that stands by begins to drain: minPunctualIdleChecks would pass in half their time.
func (p *Proxy) scheduleIdleClientCheck() {
	if p.lifecycle.idleCheckScheduled {
		return
	}
	p.lifecycle.idleCheckScheduled = true
	p.schedule(p.now().Add(drainCheckInterval), timerEvent{kind: timerIdleCheck})
}

// serveIfReady begins to serve once any endpoint is known.
func (p *Proxy) serveIfReady() {
	if p.lifecycle.phase != Starting || len(p.endpoints.byID) == 0 {
		return
	}
	p.config.Log.WithField("caches", len(p.endpoints.byID)).Info("serving")
	p.startAccepting()
	p.enterPhase(Serving)
}
