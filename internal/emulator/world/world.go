package world

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/internal/timerqueue"
	"dahliapin/policy"
)

const (
	demandOver  = 500 * time.Millisecond // over which the work that arrives is averaged
	fallenFor   = 3 * time.Second        // that a server which was pushed over is gone
	missesKept  = 20 * time.Second       // that a miss is remembered for the value that the origin may bring: over any deadline
	reportEvery = 500 * time.Millisecond // between load reports: what stands on an answer is as old as that
	originFast  = 0.25                   // of the usual work that a write refused as a repeat costs
	missWork    = 0.5                    // of the work of a hit that finding nothing costs
)

// Said is what a server answers.
type Said int

const (
	Value Said = iota
	Receipt
	Miss
	Busy   // it never ran
	Failed // it may have run
)

// Traits are what one cache server is.
type Traits struct {
	ID           policy.EndpointID
	Zone         policy.ZoneID
	Group        policy.GroupID
	Cores, Queue int
	Speed        float64 // work done by each core in a unit of time
	Weight       float64 // what the list says it is worth
	Keys         int     // values that it holds
	ColdFrom     float64 // share of its speed right after a start
	ColdFor      time.Duration
	FallMultiple float64 // of its present capacity: asked for more while cold, over FallFor and beyond chance, it falls over
	FallFor      time.Duration
	Connections  int           // that it holds at once
	Handshake    time.Duration // work of each new one
	ErrorRate    float64
}

// Class is what the world must know of a service grade.
type Class struct {
	policy.ServiceClass
	Name     string
	Write    bool
	Deadline time.Duration
	Work     time.Duration // at a cache of speed 1; a write's is done at the origin where caches only store
	Share    float64       // of first tries
	Tries    int           // that a client makes in all
}

// OriginTraits are what the origin is.
type OriginTraits struct {
	Cores, Queue int
	Work         time.Duration
	StallAt      int     // in hand, from which it works slower
	Stall        float64 // times slower then
	FallMultiple float64 // of what it can do: asked for more, for FallFor, it counts as pushed over
	FallFor      time.Duration
}

// OriginID is the origin's name.
const OriginID policy.EndpointID = "origin"

// Job is a leg as a server sees it.
type Job struct {
	Request string
	Node    int
	Key     string
	Label   string // of a labelled write
	Class   int
	Until   policy.Instant // when nobody waits any more
	Tag     uint64         // the shell's own
	server  int
	drains  bool // was told to stop when it came
}

// Done is a job's end.
type Done struct {
	Job    Job
	Server int
	Said   Said
	Text   string  // the value or receipt
	Load   float64 // reported: requests in hand, as of the last report
}

// Mode says whether caches only store, the origin being asked on a miss, or are the store themselves.
type Mode int

const (
	Aside Mode = iota
	Through
)

// Observer hears what really happened, whatever a router says of it.
type Observer interface {
	Effect(now policy.Instant, request, label string, grade int, server policy.EndpointID)
	Fell(now policy.Instant, server policy.EndpointID, why string)
	Rose(now policy.Instant, server policy.EndpointID) // a server that had fallen starts anew
}

// Plan is a world to make.
type Plan struct {
	Mode    Mode
	Caches  []Traits
	Origin  OriginTraits
	Classes []Class
	Seed    uint32
	Hearer  Observer
}

// Liveness is how a server lives.
type Liveness int

const (
	Up     Liveness = iota
	Down            // connections are refused, those open are broken
	Silent          // nothing is answered, nothing refused
)

// Server is one cache or the origin.
type Server struct {
	Traits
	Life   Liveness
	State  policy.Lifecycle // as the list has it
	Born   policy.Instant
	Held   int // connections that are open to it, the shell's to count
	origin *OriginTraits

	slow     float64 // times slower than its traits
	others   float64 // share of its cores that other programs take
	demand   float64 // work a second that arrives at the origin, averaged
	demandAt policy.Instant
	overAt   policy.Instant // since when it is asked for too much; 0 for not
	arrivals []arrival      // at a cold cache within FallFor
	fellTill policy.Instant
	store    *store
	labels   *labels
	station  station[Job]
	gen      uint64
	load     float64 // as reported last
	loadAt   policy.Instant

	Hits, Misses uint64
}

// World is all of it.
type World struct {
	plan     Plan
	Servers  []*Server // the origin last, where there is one
	byID     map[policy.EndpointID]int
	chance   keyhash.Source
	due      timerqueue.Queue[wake]
	meanWork time.Duration    // of a request at a cache of speed 1
	missed   map[string][]int // by request: the caches that lacked its key
	forget   timerqueue.Queue[string]
	written  uint64 // version of values
	now      policy.Instant
	Ramped   float64            // the most that came to a cold cache, as a share of what makes it fall over
	shared   map[string]*labels // what caches that drop the same repeats remember between them
}

// arrival is a request as it came to a cold cache.
type arrival struct {
	at   policy.Instant
	work time.Duration
}

type wake struct {
	server int
	gen    uint64
}

// New makes a world. All caches are warm and empty.
func New(p Plan) *World {
	w := &World{plan: p, byID: map[policy.EndpointID]int{}, missed: map[string][]int{}, shared: map[string]*labels{}}
	w.chance.Seed, w.meanWork = p.Seed, p.meanWork()
	for _, t := range p.Caches {
		w.AddCache(t, 0)
	}
	if p.Mode == Aside {
		o := p.Origin
		s := &Server{Traits: Traits{ID: OriginID, Speed: 1, Cores: o.Cores, Queue: o.Queue, Connections: math.MaxInt,
			FallMultiple: o.FallMultiple, FallFor: o.FallFor}, origin: &o}
		w.add(s)
	}
	return w
}

// AddCache adds a cache server that starts at an instant; 0 for long ago.
func (w *World) AddCache(t Traits, born policy.Instant) int {
	return w.add(&Server{Traits: t, Born: born})
}

func (w *World) add(s *Server) int {
	s.slow, s.store, s.labels = 1, newStore(s.Keys), &labels{}
	s.station = station[Job]{cores: s.Cores, queue: s.Queue, rate: func() float64 { return w.rate(s) }}
	w.byID[s.ID] = len(w.Servers)
	w.Servers = append(w.Servers, s)
	return len(w.Servers) - 1
}

// Find returns a server's number.
func (w *World) Find(id policy.EndpointID) (int, bool) {
	i, ok := w.byID[id]
	return i, ok
}

// IsOrigin tells whether a server is the origin.
func (w *World) IsOrigin(server int) bool { return w.Servers[server].origin != nil }

// Warmth is the share of its speed that a server has by now.
func (s *Server) Warmth(now policy.Instant) float64 {
	if s.Born == 0 || s.ColdFor <= 0 {
		return 1
	}
	return min(1, s.ColdFrom+(1-s.ColdFrom)*max(0, float64(now.Since(s.Born)))/float64(s.ColdFor))
}

func (w *World) rate(s *Server) float64 {
	r := s.Speed / s.slow * (1 - s.others)
	if s.origin != nil {
		if s.station.inHand() >= s.origin.StallAt && s.origin.Stall > 1 {
			r /= s.origin.Stall
		}
		return r
	}
	return r * s.Warmth(w.now)
}

// memory is what a server knows of labelled writes: the origin its own, caches what their grade's scope shares.
func (w *World) memory(s *Server, g *Class) *labels {
	if s.origin != nil {
		return s.labels
	}
	name := ""
	switch g.DedupScope {
	case policy.SameZone:
		name = "zone " + string(s.Zone)
	case policy.SameGroup:
		name = "group " + strconv.FormatInt(int64(s.Group), 10)
	}
	if w.shared[name] == nil {
		w.shared[name] = &labels{}
	}
	return w.shared[name]
}

// Connect tells whether a connection may come up, and pays for it. The shell counts it in Held.
func (w *World) Connect(now policy.Instant, server int) bool {
	w.now = now
	s := w.Servers[server]
	if s.Life != Up || s.Held >= s.Connections {
		return false
	}
	if s.Handshake > 0 && s.origin == nil { // the cores pay at once: what runs takes that much longer
		s.station.freeze(now, max(now, s.station.frozen).Add(s.Handshake/time.Duration(max(1, s.Cores))))
		w.arm(server)
	}
	return true
}

// Offer hands a job to a server that is up; ok is false where it was answered at once, as done says.
func (w *World) Offer(now policy.Instant, server int, j Job) (done Done, ok bool) {
	w.now = now
	s := w.Servers[server]
	j.server, j.drains = server, s.State != policy.Ready
	work := w.workOf(s, &j)
	w.demanded(now, s, work)
	refused := Done{Job: j, Server: server, Said: Busy, Load: s.load}
	if s.Life != Up || now >= j.Until {
		return refused, false
	}
	if s.origin != nil { // a longer queue slows it down: what runs now feels that too
		taken := false
		s.station.change(now, func() { taken = s.station.offer(now, j, work) })
		if !taken {
			return refused, false
		}
	} else if !s.station.offer(now, j, work) {
		return refused, false
	}
	w.arm(server)
	return Done{}, true
}

func (w *World) workOf(s *Server, j *Job) time.Duration {
	g := &w.plan.Classes[j.Class]
	work := g.Work
	switch {
	case s.origin != nil:
		if work = s.origin.Work; j.Label != "" {
			if _, again := w.memory(s, g).repeat(int64(w.now), j.Label); again {
				work = time.Duration(float64(work) * originFast)
			}
		}
	case !g.Write && w.plan.Mode == Aside && s.store.at[j.Key] == nil:
		work = time.Duration(float64(work) * missWork)
	}
	return time.Duration(float64(work) * (0.6 + 0.4*w.exponential()))
}

func (w *World) exponential() float64 { return -math.Log(1 - w.chance.Float64()) }

// demanded looks whether a server is asked for far too much: a cold cache falls over at once, the origin once it has been so for a
// time. The origin, whose reads are misses of caches, is told to have been pushed over, and goes on as slowly as it then is.
func (w *World) demanded(now policy.Instant, s *Server, work time.Duration) {
	switch {
	case s.FallMultiple <= 0 || s.Life != Up:
	case s.origin == nil:
		w.ramped(now, s, work)
	default:
		w.loaded(now, s, work)
	}
}

// ramped counts what came to a cold cache within FallFor, from all nodes together, in requests of mean work. Beyond what it may be
// asked for, N, only twice the root of N and two more are chance.
func (w *World) ramped(now policy.Instant, s *Server, work time.Duration) {
	if s.Warmth(now) >= 1 {
		s.arrivals = nil
		return
	}
	s.arrivals = append(s.arrivals, arrival{now, work})
	s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return now.Since(a.at) >= s.FallFor })
	asked := 0.0
	for _, a := range s.arrivals {
		asked += float64(a.work) / float64(w.meanWork)
	}
	most := s.FallMultiple * w.rate(s) * float64(s.Cores) * float64(s.FallFor) / float64(w.meanWork)
	most += 2*math.Sqrt(most) + 2
	if w.Ramped = max(w.Ramped, asked/most); asked <= most {
		return
	}
	s.arrivals = nil
	w.plan.Hearer.Fell(now, s.ID, fmt.Sprintf("%.1f requests of mean work within %v, where %.1f is the most", asked, s.FallFor, most))
	w.Kill(now, w.byID[s.ID])
	s.fellTill = now.Add(fallenFor)
	w.due.Push(s.fellTill, wake{w.byID[s.ID], 0})
}

// loaded averages the work that comes to the origin.
func (w *World) loaded(now policy.Instant, s *Server, work time.Duration) {
	s.demand *= math.Exp(-float64(now.Since(s.demandAt)) / float64(demandOver))
	s.demandAt = now
	s.demand += float64(work) / float64(demandOver)
	able := s.Speed * float64(s.Cores)
	if s.demand <= s.FallMultiple*able {
		s.overAt = 0
		return
	}
	if s.overAt == 0 {
		s.overAt = now
	}
	if now.Since(s.overAt) < s.FallFor {
		return
	}
	s.overAt = 0
	w.plan.Hearer.Fell(now, s.ID, fmt.Sprintf("asked for %.1f times what it can do, for %v", s.demand/able, s.FallFor))
}

// meanWork is that of a request at a cache, by the shares of grades.
func (p *Plan) meanWork() time.Duration {
	work, share := 0.0, 0.0
	for _, g := range p.Classes {
		if !g.Write || p.Mode == Through {
			work, share = work+g.Share*float64(g.Work), share+g.Share
		}
	}
	if share <= 0 { // a plan that states none: all alike
		for _, g := range p.Classes {
			work, share = work+float64(g.Work), share+1
		}
	}
	return time.Duration(max(1, work/share))
}

func (w *World) arm(server int) {
	s := w.Servers[server]
	s.gen++
	if at, any := s.station.next(); any {
		w.due.Push(at, wake{server, s.gen})
	}
}

// Next tells when there is something to advance to.
func (w *World) Next() (policy.Instant, bool) { return w.due.Next() }

// Advance ends what is due by now and tells each end.
func (w *World) Advance(now policy.Instant, tell func(Done)) {
	for {
		at, any := w.due.Next()
		if !any || at > now {
			break
		}
		it, _ := w.due.PopDue(now)
		w.now = at
		s := w.Servers[it.server]
		if it.gen == 0 {
			if s.Life == Down && s.fellTill != 0 && at >= s.fellTill {
				s.fellTill = 0
				w.Start(at, it.server)
				w.plan.Hearer.Rose(at, s.ID)
			}
			continue
		}
		if it.gen != s.gen || s.Life != Up {
			continue
		}
		for {
			var j Job
			var ok bool
			if s.origin != nil {
				s.station.change(at, func() { j, ok = s.station.finish(at) })
			} else {
				j, ok = s.station.finish(at)
			}
			if !ok {
				break
			}
			tell(w.finish(at, s, j))
		}
		w.arm(it.server)
	}
	for {
		id, ok := w.forget.PopDue(now)
		if !ok {
			break
		}
		delete(w.missed, id)
	}
	w.now = now
}

// finish is what a server does at a job's end.
func (w *World) finish(now policy.Instant, s *Server, j Job) Done {
	if now.Since(s.loadAt) >= reportEvery {
		s.load, s.loadAt = float64(s.station.inHand()), now
	}
	d := Done{Job: j, Server: j.server, Load: s.load}
	if s.ErrorRate > 0 && w.chance.Float64() < s.ErrorRate {
		d.Said = Failed
		return d
	}
	if g := &w.plan.Classes[j.Class]; g.Write {
		return w.write(now, s, g, j, d)
	}
	if s.origin != nil || w.plan.Mode == Through {
		for _, c := range w.missed[j.Request] { // those that missed for this request keep the value now
			if w.Servers[c].Life == Up {
				w.Servers[c].store.put(j.Key)
			}
		}
		d.Said, d.Text = Value, ValueOf(j.Key)
		return d
	}
	if s.store.has(j.Key) {
		s.Hits++
		d.Said, d.Text = Value, ValueOf(j.Key)
		return d
	}
	s.Misses++
	d.Said = Miss
	if w.missed[j.Request] == nil {
		w.forget.Push(now.Add(missesKept), j.Request)
	}
	w.missed[j.Request] = append(w.missed[j.Request], j.server)
	return d
}

// ValueOf is the value of a key, wherever it is kept.
func ValueOf(key string) string { return "v:" + key }

// write has its effect unless it is a repeat within its window.
func (w *World) write(now policy.Instant, s *Server, g *Class, j Job, d Done) Done {
	d.Said = Receipt
	if j.Label != "" {
		if receipt, again := w.memory(s, g).repeat(int64(now), j.Label); again {
			d.Text = receipt
			return d
		}
	}
	w.written++
	d.Text = strconv.FormatUint(w.written, 36)
	if j.Label != "" {
		w.memory(s, g).keep(j.Label, d.Text, int64(now.Add(g.DedupWindow)))
	}
	w.plan.Hearer.Effect(now, j.Request, j.Label, j.Class, s.ID)
	if s.origin != nil {
		for _, c := range w.Servers {
			if c.origin == nil {
				c.store.drop(j.Key)
			}
		}
	}
	return d
}

// Withdraw takes a job out that nobody waits for any more, if it has not begun.
func (w *World) Withdraw(now policy.Instant, server int, tag uint64) {
	w.now = now
	w.Servers[server].station.withdraw(func(j Job) bool { return j.Tag == tag })
}

// Slow makes a server so many times slower than its traits; 1 ends that.
func (w *World) Slow(now policy.Instant, server int, times float64) {
	w.change(now, server, func(s *Server) { s.slow = max(times, 1e-3) })
}

// Crowd lets other programs on the machine take a share of its cores; 0 ends that.
func (w *World) Crowd(now policy.Instant, server int, share float64) {
	w.change(now, server, func(s *Server) { s.others = min(max(share, 0), 0.99) })
}

func (w *World) change(now policy.Instant, server int, do func(*Server)) {
	w.now = now
	s := w.Servers[server]
	s.station.change(now, func() { do(s) })
	w.arm(server)
}

// Pause lets a server do nothing for a time; connections stay.
func (w *World) Pause(now policy.Instant, server int, long time.Duration) {
	w.now = now
	w.Servers[server].station.freeze(now, now.Add(long))
	w.arm(server)
}

// Kill ends a server's process: what it had in hand and held is gone.
func (w *World) Kill(now policy.Instant, server int) {
	w.now = now
	s := w.Servers[server]
	s.Life = Down
	s.station.clear()
	s.gen++
	s.store = newStore(s.Keys)
}

// Drop deletes a key at a cache, by a purge, and tells whether it was there; Empty deletes all.
func (w *World) Drop(server int, key string) (was bool) {
	s := w.Servers[server].store
	was = s.at[key] != nil
	s.drop(key)
	return was
}

// Empty has all of a cache go, while its process lives.
func (w *World) Empty(server int) { w.Servers[server].store = newStore(w.Servers[server].Keys) }

// Mute lets a server vanish without a word: what it has in hand is gone, what comes is swallowed.
func (w *World) Mute(now policy.Instant, server int) {
	w.Kill(now, server)
	w.Servers[server].Life = Silent
}

// Start starts a server that was down or silent, cold and empty.
func (w *World) Start(now policy.Instant, server int) {
	w.now = now
	s := w.Servers[server]
	s.Life, s.Born, s.overAt, s.demand, s.fellTill = Up, now, 0, 0, 0
	s.station.frozen = 0
}

// Frozen tells whether a server does nothing just now.
func (s *Server) Frozen(now policy.Instant) bool { return now < s.station.frozen }

// Break makes a server answer so large a share of its legs with a failure.
func (w *World) Break(server int, share float64) { w.Servers[server].ErrorRate = share }

// WarmBy fills the caches with the keys of traffic, the most popular last, as a fleet that has served for long would hold
// them. where is a decider's, which is not used again: each of three calls goes to the least loaded, so they tell the holders.
func WarmBy(w *World, where func(policy.Instant, *policy.Request) policy.Decision, now policy.Instant, t *Traffic, most int) {
	grade := slices.IndexFunc(t.Classes, func(g Class) bool { return !g.Write })
	if grade < 0 {
		return
	}
	for rank := min(t.Keys, most) - 1; rank >= 0; rank-- {
		key := KeyOf(rank)
		for range 3 {
			m := where(now, &policy.Request{ID: "w", Key: key, Class: policy.ClassID(grade), Tenant: -1, ArrivedAt: now,
				Deadline: now.Add(time.Hour)})
			for _, id := range m.SendTo {
				if i, ok := w.byID[id]; ok && w.Servers[i].origin == nil {
					w.Servers[i].store.put(key)
				}
			}
		}
	}
}
