package proxy

import (
	"context"
	"time"

	"dahliapin/internal/proxy/admin"
)

const (
	// standbyAcceptTime is how long after the command to stand by standbyStep begins to close idle clients. The load
	// balancer in front of the nodes sends new clients until 0.2 s after its next readiness check, so this leaves 150
	// ms until that check. Later clients are still accepted, and closed when idle.
	standbyAcceptTime = 350 * time.Millisecond
	// standbyServeTime is how long after standbyAcceptTime requests on busy connections are served. Later ones are
	// rejected, so that the connections become idle and can be closed.
	standbyServeTime = 2 * time.Second
)

// Standby takes the node out of service: it drains without stopping. Activate ends that. Both may be called from any
// goroutine, and more than once. They return admin.ErrShuttingDown if the node is draining or has stopped, and the
// error of ctx if ctx ends first; the command may still be executed then.
func (p *Proxy) Standby(ctx context.Context) error { return p.runCommand(ctx, p.enterStandby) }

// Activate returns the node to service after Standby.
func (p *Proxy) Activate(ctx context.Context) error { return p.runCommand(ctx, p.leaveStandby) }

// runCommand runs an operator's command in the event loop, and waits for its result until ctx ends.
func (p *Proxy) runCommand(ctx context.Context, command func() error) error {
	answer := make(chan error, 1)
	run := func() {
		answer <- command()
		p.publishMetrics()
	}
	select {
	case p.tasks.commands <- run:
	case <-p.tasks.done:
		return admin.ErrShuttingDown
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-answer:
		return err
	case <-p.tasks.done:
		return admin.ErrShuttingDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Proxy) enterStandby() error {
	switch p.lifecycle.phase {
	case Draining, Stopped:
		return admin.ErrShuttingDown
	case Standby:
		return nil
	}
	p.lifecycle.standbyStartedAt = p.now()
	p.config.Log.WithField("in_hand", p.inflight.requests.Len()).Info("entering standby; closing idle clients")
	p.enterPhase(Standby)
	p.scheduleIdleClientCheck()
	return nil
}

func (p *Proxy) leaveStandby() error {
	switch p.lifecycle.phase {
	case Draining, Stopped:
		return admin.ErrShuttingDown
	case Standby:
		p.enterPhase(Starting) // it serves at once if there is a list, otherwise with the first one
		p.serveIfReady()
	}
	return nil
}

// standbyStep is one idle check of a node in standby: it closes clients as they become idle, including those that still
// connect.
func (p *Proxy) standbyStep() {
	if p.now().Since(p.lifecycle.standbyStartedAt) >= standbyAcceptTime {
		p.closeIdleClients()
	}
	p.scheduleIdleClientCheck()
}

// rejectsInStandby reports whether the node has been in standby for so long that requests on the remaining connections
// are rejected.
func (p *Proxy) rejectsInStandby() bool {
	return p.lifecycle.phase == Standby &&
		p.now().Since(p.lifecycle.standbyStartedAt) >= standbyAcceptTime+standbyServeTime
}
