package world

import (
	"math"
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/internal/timerqueue"
	"dahliapin/policy"
)

// World holds the servers of a run.
type World struct {
	Servers     []*Server // the caches, the origin if there is one, and caches that were added later
	MaxColdLoad float64   // the highest load of a cold cache, as a share of the load at which it fails

	plan     Plan
	byID     map[policy.EndpointID]int
	meanWork time.Duration // of a request at a cache of speed 1
	random   keyhash.Source
	now      policy.Instant
	wakes    timerqueue.Queue[wake]

	missedBy     map[string][]int // by request: the caches that missed its key
	missExpiries timerqueue.Queue[string]
	lastVersion  uint64                      // of a written value
	sharedKeys   map[string]*idempotencyKeys // of caches, by deduplication scope
}

// wake is due when a job ends at a server or, with generation 0, when a cache that failed from overload restarts.
type wake struct {
	server     int
	generation uint64
}

// New returns a world whose caches are empty and at full speed.
func New(p Plan) *World {
	w := &World{
		plan:       p,
		byID:       map[policy.EndpointID]int{},
		meanWork:   p.meanWork(),
		missedBy:   map[string][]int{},
		sharedKeys: map[string]*idempotencyKeys{},
	}
	w.random.Seed = p.Seed
	for _, t := range p.Caches {
		w.AddCache(t, 0)
	}
	if p.Mode == Aside {
		w.addOrigin(p.Origin)
	}
	return w
}

// AddCache adds a cache that starts at an instant (0 for long ago, so that it is warm) and returns its number.
func (w *World) AddCache(t CacheTraits, startedAt policy.Instant) int {
	return w.add(&Server{CacheTraits: t, StartedAt: startedAt})
}

func (w *World) addOrigin(o OriginTraits) {
	w.add(&Server{
		CacheTraits: CacheTraits{
			ID:           OriginID,
			Speed:        1,
			Cores:        o.Cores,
			Queue:        o.Queue,
			Connections:  math.MaxInt,
			FallMultiple: o.FallMultiple,
			FallFor:      o.FallFor,
		},
		origin: &o,
	})
}

func (w *World) add(s *Server) int {
	s.slow = 1
	s.store = newStore(s.Keys)
	s.idempotencyKeys = &idempotencyKeys{}
	s.queue = serverQueue[Job]{
		cores:  s.Cores,
		queue:  s.Queue,
		speed:  func() float64 { return w.speed(s) },
		isOver: func(j Job, at policy.Instant) bool { return at >= j.Until },
	}
	number := len(w.Servers)
	w.byID[s.ID] = number
	w.Servers = append(w.Servers, s)
	return number
}

// Find returns a server's number.
func (w *World) Find(id policy.EndpointID) (int, bool) {
	i, ok := w.byID[id]
	return i, ok
}

// IsOrigin reports whether a server is the origin.
func (w *World) IsOrigin(server int) bool { return w.Servers[server].origin != nil }

// Connect reports whether a server accepts a connection, and adds the work of the handshake. The rig counts the
// connection in OpenConnections.
func (w *World) Connect(now policy.Instant, server int) bool {
	w.now = now
	s := w.Servers[server]
	if s.Liveness != Up || s.OpenConnections >= s.Connections {
		return false
	}
	if s.Handshake > 0 && s.origin == nil {
		// All cores share the work of the handshake, which delays running jobs.
		handshake := s.Handshake / time.Duration(max(1, s.Cores))
		s.queue.freeze(now, max(now, s.queue.frozenUntil).Add(handshake))
		w.scheduleWake(server)
	}
	return true
}

// scheduleWake schedules the end of a server's next job and invalidates earlier wakes of the server.
func (w *World) scheduleWake(server int) {
	s := w.Servers[server]
	s.wakeGeneration++
	if at, ok := s.queue.next(); ok {
		w.wakes.Push(at, wake{server: server, generation: s.wakeGeneration})
	}
}

// Next returns when Advance has to be called next.
func (w *World) Next() (policy.Instant, bool) { return w.wakes.Next() }

// Advance ends the jobs that are due by an instant and calls onDone for each, in the order in which they end.
func (w *World) Advance(now policy.Instant, onDone func(Done)) {
	for {
		at, ok := w.wakes.Next()
		if !ok || at > now {
			break
		}
		due, _ := w.wakes.PopDue(now)
		w.now = at
		s := w.Servers[due.server]
		switch {
		case due.generation == 0:
			w.restart(at, due.server)
		case due.generation == s.wakeGeneration && s.Liveness == Up:
			w.finishJobs(at, s, onDone)
			w.scheduleWake(due.server)
		}
	}
	w.expireMisses(now)
	w.now = now
}

// restart starts a cache that failed from overload, unless it has been started or silenced since.
func (w *World) restart(at policy.Instant, server int) {
	s := w.Servers[server]
	if s.Liveness == Down && s.restartsAt != 0 && at >= s.restartsAt {
		s.restartsAt = 0
		w.Start(at, server)
		w.plan.Observer.ServerRecovered(at, s.ID)
	}
}

func (w *World) finishJobs(at policy.Instant, s *Server, onDone func(Done)) {
	for {
		var ended runningJob[Job]
		var ok bool
		finish := func() { ended, ok = s.queue.finish(at) }
		if s.origin != nil {
			s.queue.change(at, finish) // a shorter queue may make the origin faster
		} else {
			finish()
		}
		if !ok {
			return
		}
		if s.queue.isOver(ended.job, ended.beginsAt) {
			onDone(Done{Job: ended.job, Server: ended.job.server, Reply: Busy, Load: s.reportedLoad(at)})
			continue
		}
		onDone(w.finish(at, ended.beginsAt, s, ended.job))
	}
}

func (w *World) expireMisses(now policy.Instant) {
	for {
		request, ok := w.missExpiries.PopDue(now)
		if !ok {
			return
		}
		delete(w.missedBy, request)
	}
}
