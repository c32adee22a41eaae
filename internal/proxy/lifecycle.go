package proxy

import (
	"time"

	"dahliapin/policy"
)

// lastKnownListDelay is how long a starting node waits for a list before it serves by the last known one.
const lastKnownListDelay = 250 * time.Millisecond

// Phase is a phase in the lifecycle of a node.
type Phase int32

// The phases.
const (
	Starting Phase = iota // no endpoint list yet: requests are rejected
	Serving
	Standby  // taken out of service by an operator's command, but not about to stop
	Draining // about to stop, once the clients have been served
	Stopped
)

var phaseNames = [...]string{"starting", "serving", "standby", "draining", "stopped"}

// String returns the phase's name, as readiness answers state it.
func (p Phase) String() string { return phaseNames[p] }

// lifecycle is the node's phase, and the state of drain and standby. drain.go and standby.go write it.
type lifecycle struct {
	phase            Phase
	drainStartedAt   policy.Instant
	standbyStartedAt policy.Instant
	lastIdleCheckAt  policy.Instant // of a draining node
	onTimeIdleChecks int            // consecutive idle checks that were on time and saw no new connection
	// idleCheckScheduled is whether the timer for the next idle check is set. It may be left over from a standby that
	// has ended.
	idleCheckScheduled bool
	delivery           delivery // of a draining node
}

func (p *Proxy) enterPhase(phase Phase) {
	p.lifecycle.phase = phase
	p.publishMetrics()
	if p.config.OnPhaseChange != nil {
		p.config.OnPhaseChange(phase)
	}
}

// idleClientCheck runs the idle check of the current phase.
func (p *Proxy) idleClientCheck() {
	p.lifecycle.idleCheckScheduled = false
	switch p.lifecycle.phase {
	case Draining:
		p.drainStep()
	case Standby:
		p.standbyStep()
	}
}

// scheduleIdleClientCheck sets the timer for the next idle check, unless it is set already. Otherwise a node in standby
// that begins to drain would run a second series of checks, and reach minOnTimeIdleChecks in half the time.
func (p *Proxy) scheduleIdleClientCheck() {
	if p.lifecycle.idleCheckScheduled {
		return
	}
	p.lifecycle.idleCheckScheduled = true
	p.schedule(p.now().Add(drainCheckInterval), timerEvent{kind: timerIdleCheck})
}

// serveAfterDelay starts serving by the last known list, if lastKnownListDelay has passed without a newer one.
func (p *Proxy) serveAfterDelay() {
	if !p.takeover.awaitsEndpoints && p.now().Since(clockEpoch) >= lastKnownListDelay {
		p.serveIfReady()
	}
}

// serveIfReady starts serving once any endpoint is known.
func (p *Proxy) serveIfReady() {
	if p.lifecycle.phase != Starting || len(p.endpoints.byID) == 0 {
		return
	}
	p.config.Log.WithField("caches", len(p.endpoints.byID)).Info("serving")
	p.startAccepting()
	p.enterPhase(Serving)
}
