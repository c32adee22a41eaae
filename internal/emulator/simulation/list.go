package simulation

import (
	"dahliapin/internal/discovery"
	"dahliapin/internal/emulator/runner"
	"dahliapin/policy"
)

// Where discovery has a bound, nodes call for the list as they do in service, and by the same decisions.

// watch is a call that waits for news.
type watch struct {
	n      *node
	life   int
	called uint64
	began  policy.Instant
	since  int
	until  policy.Instant
}

// current tells whether its node still waits for it.
func (w watch) current() bool { return w.n.life == w.life && w.n.called == w.called && w.n.host != nil }

// call makes a node's next call for the list.
func (n *node) call() {
	r, c := n.r, n.lists.NextPoll()
	n.called++
	w := watch{n: n, life: n.life, called: n.called, began: r.now, since: c.SinceVersion}
	r.after(r.clientWay(), func() {
		r.log.Now(r.now).Calls++
		if !r.upList {
			return // silent
		}
		at, taken := r.registry.Call(r.now, c.Complete)
		if !taken {
			r.after(r.clientWay(), func() { w.lost(discovery.Refused) })
			return
		}
		r.At(at, func() {
			switch w.until = r.now.Add(c.LongPoll); {
			case !r.upList: // it has gone silent meanwhile
			case c.Complete:
				entries, version := runner.Endpoints(r.world), len(r.changes)
				r.after(r.clientWay(), func() { w.heard(version, entries) })
			case w.since < len(r.changes):
				r.tell(w)
			default:
				r.watches = append(r.watches, w)
				r.At(w.until, func() { r.expire(w) })
			}
		})
	})
	r.after(c.Timeout, func() { w.lost(discovery.ConnectionLost) })
}

// lost ends a call without an answer; whoever waits for another by now is not concerned.
func (w watch) lost(how discovery.Failure) {
	if !w.current() {
		return
	}
	n := w.n
	n.called++
	rest, _ := n.lists.OnFailure(how, n.r.now.Since(w.began), n.r.chance.Float64())
	n.r.after(rest, func() {
		if w.n.life == w.life && n.host != nil {
			n.call()
		}
	})
}

func (w watch) heard(version int, entries []policy.Endpoint) {
	if !w.current() {
		return
	}
	form, _ := w.n.lists.OnUpdate(version, false)
	if w.n.held = version; len(entries) > 0 || form != policy.DeltaUpdate {
		w.n.hear(form, entries)
	}
	w.n.call()
}

// tell answers a watch with what is new.
func (r *Simulation) tell(w watch) {
	version, news := len(r.changes), r.changes[w.since:]
	r.after(r.clientWay(), func() { w.heard(version, news) })
}

// expire ends a watch without news.
func (r *Simulation) expire(w watch) {
	for i, o := range r.watches {
		if o == w {
			if r.watches = append(r.watches[:i], r.watches[i+1:]...); r.upList {
				r.tell(w)
			}
			return
		}
	}
}

// publish takes a change in, and tells it to all who watch: their calls have had their work.
func (r *Simulation) publish(e policy.Endpoint) {
	r.changes = append(r.changes, e)
	r.fleet.EndpointsUpdated(r.now, policy.DeltaUpdate, []policy.Endpoint{e})
	waiting := r.watches
	r.watches = nil
	for _, w := range waiting {
		if w.current() {
			r.tell(w)
		}
	}
}
