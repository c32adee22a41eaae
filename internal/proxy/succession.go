package proxy

import "dahliapin/internal/proxy/handover"

// While two processes are one node, each has this part of what the node may use.
const shareTogether = 2

// succeed begins as the successor of another process: with its listeners, and with a part of the limits until that has gone.
func (r *Proxy) succeed() {
	for _, l := range r.Inherited.Listeners { // this one's file states them no more
		_ = l.Close()
	}
	r.together(true)
	go func() {
		r.Inherited.Wait()
		r.ask(func() {
			if r.replaced { // it was given back to
				return
			}
			r.Log.Info("the process before this one has gone")
			r.alone = true
			r.together(false)
			r.offer()
		})
	}()
}

// together takes and gives back the other process's part of the limits.
func (r *Proxy) together(two bool) {
	descriptors, memory := r.Descriptors, r.allMemory
	if two {
		descriptors, memory = (descriptors+r.OtherDescriptors)/shareTogether-r.OtherDescriptors, memory/shareTogether
	}
	r.Memory = memory
	r.eng.Limit(descriptors)
	for r.eng.Over() && r.makeRoom() {
		r.settle()
	}
	if r.OnSharedLimits != nil {
		r.OnSharedLimits(two)
	}
}

// offer lets another process take this one's place. Without it the node runs as ever; it just can't be replaced without a gap.
func (r *Proxy) offer() {
	if r.HandoverPath == "" || r.phase == Stopped {
		return
	}
	var err error
	r.offered, err = handover.Open(r.HandoverPath, r.eng.Listeners(), func(s handover.Stage) { r.ask(func() { r.heir(s) }) })
	if err != nil {
		r.Log.WithError(err).Warn("this process can't be replaced without a gap")
	}
}

// heir hears how far the process that replaces this one has come. Guards against one that dies or hangs before it serves: until it
// does, and once it has gone, this one lets people in.
func (r *Proxy) heir(s handover.Stage) {
	switch s {
	case handover.SocketsSent:
		r.Log.Info("another process comes in this one's place")
		r.together(true)
	case handover.SuccessorServing:
		r.Log.Info("the other process lets people in")
		r.replaced = true
		r.eng.Accept(false)
	case handover.SuccessorGone:
		r.Log.Warn("the process in this one's place has gone")
		r.replaced = false
		r.together(false)
		r.eng.Accept(true)
	}
}

// BlockLoop has the loop do nothing until a channel is closed. It is for rehearsals.
func (r *Proxy) BlockLoop(until <-chan struct{}) { r.ask(func() { <-until }) }

// Replaced tells whether another process lets people in. It is for the loop, as Moved is called within it.
func (r *Proxy) Replaced() bool { return r.replaced }

// giveBack leaves clients to the process that this one was to replace, if that is still there: going back needs no more than to end
// the newcomer.
func (r *Proxy) giveBack() {
	if r.Inherited == nil || r.alone {
		return
	}
	r.replaced = true
	r.eng.Accept(false)
	r.Inherited.Close()
}

// letIn begins to take clients; a predecessor then leaves them to this process.
func (r *Proxy) letIn() {
	if r.Inherited == nil || r.told {
		return
	}
	r.told = true
	r.eng.Accept(true)
	if err := r.Inherited.Serving(); err != nil {
		r.Log.WithError(err).Info("the process before this one has gone already")
	}
}
