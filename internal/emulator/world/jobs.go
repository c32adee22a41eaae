package world

import (
	"math"
	"strconv"
	"time"

	"dahliapin/policy"
)

const (
	// missRetention is how long a miss is remembered, so that the origin's value can fill the cache that missed. It is
	// longer than any deadline.
	missRetention = 20 * time.Second
	// repeatWork is the work of a write that the origin recognizes as a repeat, as a share of the work of the write.
	repeatWork = 0.25
	// missWork is the work of a cache miss, as a share of the work of a hit.
	missWork = 0.5
	// fixedWork is the constant share of a job's mean work; the rest is exponentially distributed.
	fixedWork = 0.6
)

// Reply is the kind of a server's reply.
type Reply int

// The replies of servers.
const (
	Value Reply = iota
	Receipt
	Miss
	Busy   // rejected: the job never ran
	Failed // the job may have run
)

// Job is an attempt as a server receives it.
type Job struct {
	Request string
	Node    int
	Key     string
	Label   string // the idempotency key of a write; "" for none
	Class   int
	Until   policy.Instant // no node waits for the reply after this instant
	Tag     uint64         // identifies the attempt; assigned by the rig

	// KnewOfStart is whether the node knew of the server's last start when it sent the attempt. A rig that cannot tell
	// sets it.
	KnewOfStart bool

	server          int
	arrivedDraining bool // the server was not ready when the job arrived
}

// Done is the result of a job.
type Done struct {
	Job    Job
	Server int
	Reply  Reply
	Text   string  // the value or receipt
	Load   float64 // number of jobs at the server as of its last load report
}

// Offer submits a job to a server. If the server rejects it, Offer returns the reply and false.
func (w *World) Offer(now policy.Instant, server int, j Job) (Done, bool) {
	w.now = now
	s := w.Servers[server]
	j.server = server
	j.arrivedDraining = s.State != policy.Ready
	work := w.workOf(s, &j)
	w.checkOverload(now, s, work, j.KnewOfStart)
	rejected := Done{Job: j, Server: server, Reply: Busy, Load: s.load}
	if s.Liveness != Up || now >= j.Until {
		return rejected, false
	}
	accepted := false
	offer := func() { accepted = s.queue.offer(now, j, work) }
	if s.origin != nil {
		s.queue.change(now, offer) // a longer queue may make the origin slower, also for running jobs
	} else {
		offer()
	}
	if !accepted {
		return rejected, false
	}
	w.scheduleWake(server)
	return Done{}, true
}

// workOf draws the amount of work of a job at a server.
func (w *World) workOf(s *Server, j *Job) time.Duration {
	class := &w.plan.Classes[j.Class]
	work := class.Work
	switch {
	case s.origin != nil:
		work = s.origin.Work
		if j.Label == "" {
			break
		}
		if _, isRepeat := w.keysFor(s, class).lookup(w.now, w.now, j.Label); isRepeat {
			work = time.Duration(float64(work) * repeatWork)
		}
	case !class.Write && w.plan.Mode == Aside && !s.store.contains(j.Key):
		work = time.Duration(float64(work) * missWork)
	}
	return time.Duration(float64(work) * (fixedWork + (1-fixedWork)*w.exponential()))
}

func (w *World) exponential() float64 { return -math.Log(1 - w.random.Float64()) }

// Withdraw removes a job that no node waits for from a server's queue, unless it has started.
func (w *World) Withdraw(now policy.Instant, server int, tag uint64) {
	w.now = now
	w.Servers[server].queue.withdraw(func(j Job) bool { return j.Tag == tag })
}

// finish applies the effect of a completed job, which has begun at an earlier instant, and returns its result.
func (w *World) finish(now, begunAt policy.Instant, s *Server, j Job) Done {
	done := Done{Job: j, Server: j.server, Load: s.reportedLoad(now)}
	if s.ErrorRate > 0 && w.random.Float64() < s.ErrorRate {
		done.Reply = Failed
		return done
	}
	class := &w.plan.Classes[j.Class]
	switch {
	case class.Write:
		done.Reply = Receipt
		done.Text = w.write(now, begunAt, s, class, j)
	case s.origin != nil || w.plan.Mode == Through:
		w.fillMisses(j)
		done.Reply = Value
		done.Text = ValueOf(j.Key)
	case s.store.use(j.Key):
		s.Hits++
		done.Reply = Value
		done.Text = ValueOf(j.Key)
	default:
		s.Misses++
		done.Reply = Miss
		w.rememberMiss(now, j)
	}
	return done
}

// ValueOf returns the value of a key, which is the same at all servers.
func ValueOf(key string) string { return "v:" + key }

func (w *World) rememberMiss(now policy.Instant, j Job) {
	if w.missedBy[j.Request] == nil {
		w.missExpiries.Push(now.Add(missRetention), j.Request)
	}
	w.missedBy[j.Request] = append(w.missedBy[j.Request], j.server)
}

// fillMisses stores the origin's value at the caches that missed for this request.
func (w *World) fillMisses(j Job) {
	for _, cache := range w.missedBy[j.Request] {
		if w.Servers[cache].Liveness == Up {
			w.Servers[cache].store.put(j.Key)
		}
	}
}

// write applies a write that has begun at an earlier instant, unless it repeats one within its deduplication window,
// and returns the receipt.
func (w *World) write(now, begunAt policy.Instant, s *Server, class *Class, j Job) string {
	if j.Label != "" {
		if receipt, isRepeat := w.keysFor(s, class).lookup(now, begunAt, j.Label); isRepeat {
			return receipt
		}
	}
	w.lastVersion++
	receipt := strconv.FormatUint(w.lastVersion, 36)
	if j.Label != "" {
		w.keysFor(s, class).add(now, class.DedupWindow, j.Label, receipt)
	}
	w.plan.Observer.Effect(now, j.Request, j.Label, j.Class, s.ID)
	if s.origin == nil {
		return receipt
	}
	for _, cache := range w.Servers {
		if cache.origin == nil {
			cache.store.remove(j.Key)
		}
	}
	return receipt
}

// keysFor returns the idempotency keys that a server checks: the origin has its own, caches share those of their
// deduplication scope.
func (w *World) keysFor(s *Server, class *Class) *idempotencyKeys {
	if s.origin != nil {
		return s.idempotencyKeys
	}
	scope := ""
	switch class.DedupScope {
	case policy.SameZone:
		scope = "zone " + string(s.Zone)
	case policy.SameGroup:
		scope = "group " + strconv.FormatInt(int64(s.Group), 10)
	}
	if w.sharedKeys[scope] == nil {
		w.sharedKeys[scope] = &idempotencyKeys{}
	}
	return w.sharedKeys[scope]
}
