package world

import (
	"time"

	"dahliapin/policy"
)

// OriginID is the origin's endpoint id.
const OriginID policy.EndpointID = "origin"

// Mode determines what happens on a cache miss.
type Mode int

// The modes of a world's caches.
const (
	Aside   Mode = iota // caches only store; nodes query the origin on a miss
	Through             // caches are the data store; there is no origin
)

// Plan describes a world to be created.
type Plan struct {
	Mode     Mode
	Caches   []CacheTraits
	Origin   OriginTraits
	Classes  []Class
	Seed     uint32
	Observer Observer
}

// CacheTraits describe one cache server.
type CacheTraits struct {
	ID           policy.EndpointID
	Zone         policy.ZoneID
	Group        policy.GroupID
	Cores        int
	Queue        int     // jobs that may wait
	Speed        float64 // work done by each core in a unit of time
	Weight       float64 // in the endpoint list
	Keys         int     // number of values that it can hold
	ColdFrom     float64 // share of its speed right after a start
	ColdFor      time.Duration
	FallMultiple float64 // times its current capacity: a cold cache fails under more load; 0 for never
	FallFor      time.Duration
	Connections  int           // open at the same time, at most
	Handshake    time.Duration // work of each new connection
	ErrorRate    float64       // share of jobs that fail
}

// OriginTraits describe the origin.
type OriginTraits struct {
	Cores        int
	Queue        int // jobs that may wait
	Work         time.Duration
	StallAt      int     // jobs, running or waiting, from which it works slower
	Stall        float64 // factor by which it is slower then
	FallMultiple float64 // times its capacity: it counts as overloaded after more work than that for FallFor
	FallFor      time.Duration
}

// Class is a service class as the world and its clients know it.
type Class struct {
	policy.ServiceClass
	Name     string
	Write    bool
	Deadline time.Duration
	Work     time.Duration // at a cache of speed 1; in Aside mode, the origin does the work of writes
	Share    float64       // of first tries
	Tries    int           // maximum tries of a client, including the first
}

// Observer receives what actually happens, independently of what nodes believe.
type Observer interface {
	// Effect reports that a write took effect at a server.
	Effect(now policy.Instant, request, label string, class int, server policy.EndpointID)
	// ServerOverloaded reports that a server was overloaded, and why. A cache fails then, the origin continues to run.
	ServerOverloaded(now policy.Instant, server policy.EndpointID, why string)
	// ServerRecovered reports that a cache that failed from overload has restarted.
	ServerRecovered(now policy.Instant, server policy.EndpointID)
}

// meanWork returns the mean work of a request at a cache of speed 1, weighted by the shares of classes; if all shares
// are zero, all classes have the same weight.
func (p *Plan) meanWork() time.Duration {
	work := 0.0
	share := 0.0
	for _, c := range p.Classes {
		if !c.Write || p.Mode == Through {
			work += c.Share * float64(c.Work)
			share += c.Share
		}
	}
	if share <= 0 {
		for _, c := range p.Classes {
			work += float64(c.Work)
			share++
		}
	}
	return time.Duration(max(1, work/share))
}
