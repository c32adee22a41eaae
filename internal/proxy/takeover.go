package proxy

import "dahliapin/internal/proxy/handover"

// sharedLimitDivisor divides the node's limits while two of its processes share them: until the other process has ended
// or, in the predecessor, the successor has returned the sockets.
const sharedLimitDivisor = 2

// takeover is the state of a process that replaces another one, or is replaced. Only the event loop writes it.
type takeover struct {
	totalMemory         int64           // memory limit in bytes of all processes of the node
	offer               *handover.Offer // by which a successor may take over; nil if none
	otherProcessAccepts bool            // another process accepts connections: the successor, or the predecessor again
	predecessorExited   bool            // the predecessor has exited
	predecessorNotified bool            // NotifyServing has been called
	// awaitsEndpoints is whether a running predecessor serves by a list that this process has not received yet.
	awaitsEndpoints bool
	// successorHasState is whether a successor has requested the state of this process.
	successorHasState bool
	requests          requestExchange
}

// startAsSuccessor starts a process that has inherited its listeners. Until the predecessor has exited, this process
// uses only its part of the limits; a goroutine waits for that exit and then ends.
func (p *Proxy) startAsSuccessor() {
	for _, listener := range p.config.Inherited.Listeners { // New did not use these: they are no longer configured
		_ = listener.Close()
	}
	p.setSharedLimits(true)
	p.takeover.awaitsEndpoints = true
	p.schedule(p.now().Add(inheritedStateTimeout), timerEvent{kind: timerInheritedState})
	if !p.config.Inherited.SendsState {
		p.config.Log.Warn("predecessor process is of an earlier version; it passes on no endpoint list")
	}
	go func() {
		p.config.Inherited.Wait(func(state []byte) {
			p.runInLoop(func() { p.applyInheritedEndpoints(state) })
		})
		p.runInLoop(p.onPredecessorExit)
	}()
}

func (p *Proxy) onPredecessorExit() {
	if p.takeover.otherProcessAccepts { // the predecessor took over again
		return
	}
	if channel := p.config.Inherited.TakeChannel(); channel != nil { // it exited before this process served
		_ = channel.Close()
	}
	p.stopAwaitingEndpoints()
	p.endExchange()
	p.config.Log.Info("predecessor process has exited; using the full limits")
	p.takeover.predecessorExited = true
	p.setSharedLimits(false)
	p.offerHandover()
}

// setSharedLimits limits this process to its part of the node's descriptors and memory, or gives it all of them.
func (p *Proxy) setSharedLimits(shared bool) {
	descriptors := p.config.DescriptorLimit
	memory := p.takeover.totalMemory
	if shared {
		ofProcess := (descriptors + p.config.ReservedDescriptors) / sharedLimitDivisor
		descriptors = ofProcess - p.config.ReservedDescriptors
		memory /= sharedLimitDivisor
	}
	p.config.MemoryLimit = memory
	p.engine.SetDescriptorLimit(descriptors)
	for p.engine.OverClientLimit() && p.freeDescriptor() {
		p.runDeferred()
	}
	if p.config.OnSharedLimits != nil {
		p.config.OnSharedLimits(shared)
	}
}

// offerHandover lets another process take over. If that fails, the node keeps running, but it cannot be replaced
// without an interruption.
func (p *Proxy) offerHandover() {
	if p.config.HandoverPath == "" || p.lifecycle.phase == Stopped {
		return
	}
	onStage := func(stage handover.Stage) {
		p.runInLoop(func() { p.onSuccessorStage(stage) })
	}
	var err error
	p.takeover.offer, err = handover.Open(p.config.HandoverPath, p.engine.Listeners(), onStage)
	if err != nil {
		p.config.Log.WithError(err).Warn("handover socket failed to open; a restart will interrupt service")
	}
}

// onSuccessorStage follows the progress of a successor. Until the successor serves, and again once it has exited or
// returned the sockets, this process accepts the connections. That guards against a successor that exits or hangs
// before it serves.
func (p *Proxy) onSuccessorStage(stage handover.Stage) {
	switch stage {
	case handover.SocketsSent:
		p.config.Log.Info("successor process received the listeners; sharing the limits with it")
		p.setSharedLimits(true)
	case handover.StateRequested:
		p.takeover.successorHasState = true
		p.startExchange(p.takeover.offer.TakeChannel())
		p.sendEndpointsToSuccessor()
	case handover.SuccessorServing:
		p.config.Log.Info("successor process is serving; no longer accepting connections")
		p.takeover.otherProcessAccepts = true
		p.engine.SetAccepting(false)
	case handover.SuccessorGone:
		p.config.Log.Warn("successor process has exited; accepting connections again")
		p.takeover.otherProcessAccepts = false
		p.takeover.successorHasState = false
		p.endExchangeIfOver()
		p.setSharedLimits(false)
		p.engine.SetAccepting(true)
	}
}

// returnToPredecessor leaves new connections to the predecessor if that is still running: operators revert an upgrade
// by stopping the successor.
func (p *Proxy) returnToPredecessor() {
	if p.config.Inherited == nil || p.takeover.predecessorExited {
		return
	}
	p.takeover.otherProcessAccepts = true
	p.engine.SetAccepting(false)
	p.config.Inherited.Close()
}

// startAccepting accepts connections from now on, and notifies the predecessor, which then stops accepting them. It
// does nothing in a process without a predecessor.
func (p *Proxy) startAccepting() {
	if p.config.Inherited == nil || p.takeover.predecessorNotified {
		return
	}
	p.takeover.predecessorNotified = true
	if !p.takeover.predecessorExited {
		p.startExchangeAsSuccessor()
	}
	p.engine.SetAccepting(true)
	if err := p.config.Inherited.NotifyServing(); err != nil {
		p.config.Log.WithError(err).Info("predecessor process has exited before the handover completed; continuing")
	}
}
