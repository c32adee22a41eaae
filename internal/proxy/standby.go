package proxy

import (
	"context"
	"time"

	"dahliapin/internal/proxy/admin"
)

const (
	// standbyAcceptTime is how long the front still sends new clients after the call to stand by: 0.2 s after its next
	// readiness check.
	standbyAcceptTime = 350 * time.Millisecond
	// standbyServeTime is how long after that a busy connection is served. Then its requests are rejected, so that it
	// falls idle and can be closed.
	standbyServeTime = 2 * time.Second
)

// Standby drains the node without ending it; Active ends that. Both may be called from any goroutine, and more than
// once. They return admin.ErrEnding if the node drains or has stopped, and ctx's error if that ends first: the order
// may be carried out all the same then.
func (p *Proxy) Standby(ctx context.Context) error { return p.runCommand(ctx, p.enterStandby) }

// Active takes the node back into service after Standby.
func (p *Proxy) Active(ctx context.Context) error { return p.runCommand(ctx, p.leaveStandby) }

// runCommand runs an operator's command in the event loop, and waits for its result no longer than ctx allows.
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
	p.config.Log.WithField("in_hand", p.inflight.requests.Len()).Info("standing by")
	p.enterPhase(Standby)
	p.scheduleIdleClientCheck()
	return nil
}

func (p *Proxy) leaveStandby() error {
	switch p.lifecycle.phase {
	case Draining, Stopped:
		return admin.ErrShuttingDown
	case Standby:
		p.enterPhase(Starting) // it serves at once if there is a list, else with the first
		p.serveIfReady()
	}
	return nil
}

// standbyStep is one idle check of a node that stands by: it closes clients as they fall idle, also those that still
// connect.
func (p *Proxy) standbyStep() {
	if p.now().Since(p.lifecycle.standbyStartedAt) >= standbyAcceptTime {
		p.closeIdleClients()
	}
	p.scheduleIdleClientCheck()
}

// rejectsInStandby reports whether the node stands by for so long that what still comes on kept connections is
// rejected.
func (p *Proxy) rejectsInStandby() bool {
	return p.lifecycle.phase == Standby &&
		p.now().Since(p.lifecycle.standbyStartedAt) >= standbyAcceptTime+standbyServeTime
}
