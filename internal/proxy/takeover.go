package proxy

import "dahliapin/internal/proxy/handover"

// While two processes are one node, each has this part of what the node may use.
const sharedLimitDivisor = 2

// joinPredecessor begins as the successor of another process: with its listeners, and with a part of the limits until that has gone.
func (p *Proxy) joinPredecessor() {
	for _, l := range p.Inherited.Listeners { // this one's file states them no more
		_ = l.Close()
	}
	p.setSharedLimits(true)
	go func() {
		p.Inherited.Wait()
		p.runInLoop(func() {
			if p.replaced { // it was given back to
				return
			}
			p.Log.Info("the process before this one has gone")
			p.predecessorGone = true
			p.setSharedLimits(false)
			p.offerHandover()
		})
	}()
}

// setSharedLimits takes and gives back the other process's part of the limits.
func (p *Proxy) setSharedLimits(shared bool) {
	descriptors, memory := p.Descriptors, p.totalMemory
	if shared {
		descriptors, memory = (descriptors+p.OtherDescriptors)/sharedLimitDivisor-p.OtherDescriptors, memory/sharedLimitDivisor
	}
	p.Memory = memory
	p.engine.SetDescriptorLimit(descriptors)
	for p.engine.OverLimit() && p.freeDescriptor() {
		p.runDeferred()
	}
	if p.OnSharedLimits != nil {
		p.OnSharedLimits(shared)
	}
}

// offerHandover lets another process take this one's place. Without it the node runs as ever; it just can't be replaced without a gap.
func (p *Proxy) offerHandover() {
	if p.HandoverPath == "" || p.phase == Stopped {
		return
	}
	var err error
	p.offer, err = handover.Open(p.HandoverPath, p.engine.Listeners(), func(stage handover.Stage) { p.runInLoop(func() { p.onSuccessorStage(stage) }) })
	if err != nil {
		p.Log.WithError(err).Warn("this process can't be replaced without a gap")
	}
}

// onSuccessorStage hears how far the process that replaces this one has come. Guards against one that dies or hangs before it serves: until it
// does, and once it has gone, this one lets people in.
func (p *Proxy) onSuccessorStage(stage handover.Stage) {
	switch stage {
	case handover.SocketsSent:
		p.Log.Info("another process comes in this one's place")
		p.setSharedLimits(true)
	case handover.SuccessorServing:
		p.Log.Info("the other process lets people in")
		p.replaced = true
		p.engine.Accept(false)
	case handover.SuccessorGone:
		p.Log.Warn("the process in this one's place has gone")
		p.replaced = false
		p.setSharedLimits(false)
		p.engine.Accept(true)
	}
}

// BlockLoop has the loop do nothing until a channel is closed. It is for rehearsals.
func (p *Proxy) BlockLoop(until <-chan struct{}) { p.runInLoop(func() { <-until }) }

// Replaced tells whether another process lets people in. It is for the loop, as Moved is called within it.
func (p *Proxy) Replaced() bool { return p.replaced }

// returnToPredecessor leaves clients to the process that this one was to replace, if that is still there: going back needs no more than to end
// the newcomer.
func (p *Proxy) returnToPredecessor() {
	if p.Inherited == nil || p.predecessorGone {
		return
	}
	p.replaced = true
	p.engine.Accept(false)
	p.Inherited.Close()
}

// startAccepting begins to take clients; a predecessor then leaves them to this process.
func (p *Proxy) startAccepting() {
	if p.Inherited == nil || p.predecessorNotified {
		return
	}
	p.predecessorNotified = true
	p.engine.Accept(true)
	if err := p.Inherited.Serving(); err != nil {
		p.Log.WithError(err).Info("the process before this one has gone already")
	}
}
