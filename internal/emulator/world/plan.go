package world

import (
	"time"

	"dahliapin/policy"
)

// OriginID is the origin's endpoint id.
const OriginID policy.EndpointID = "origin"

// Mode is how the caches relate to the origin.
type Mode int

// The modes of a world's caches.
const (
	Aside   Mode = iota // the origin stores the data; nodes query it after a cache miss
	Through             // the caches store the data; there is no origin
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

// CacheTraits describes one cache server.
type CacheTraits struct {
	ID           policy.EndpointID
	Zone         policy.ZoneID
	Group        policy.GroupID
	Cores        int
	Queue        int     // jobs that may wait
	Speed        float64 // work done by each core in a unit of time
	Weight       float64 // in the endpoint list
	Keys         int     // number of values that it can hold
	ColdFrom     float64 // share of its speed right after a start; it rises to 1 within ColdFor
	ColdFor      time.Duration
	FallMultiple float64       // multiple of its current capacity above which a cold cache fails; 0 for never
	FallFor      time.Duration // window in which the load of a cold cache is measured
	Connections  int           // maximum number of open connections
	Handshake    time.Duration // work of each new connection
	ErrorRate    float64       // share of jobs that fail
}

// OriginTraits describes the origin.
type OriginTraits struct {
	Cores        int
	Queue        int // jobs that may wait
	Work         time.Duration
	StallAt      int     // number of running and waiting jobs from which it is slower
	Stall        float64 // factor by which it is slower from then on
	FallMultiple float64 // multiple of its capacity: it is overloaded after more load than that for FallFor
	FallFor      time.Duration
}

// Class is a service class with its work at servers and the behavior of its clients.
type Class struct {
	policy.ServiceClass
	Name     string
	Write    bool
	Deadline time.Duration
	Work     time.Duration // mean, at a cache of speed 1; in Aside mode, writes go to the origin
	Share    float64       // of all first tries
	Tries    int           // maximum tries of a client, including the first
}

// Observer is notified of what happens in the world, whether or not nodes notice it.
type Observer interface {
	// Effect reports that a write has taken effect at a server.
	Effect(now policy.Instant, request, label string, class int, server policy.EndpointID)
	// ServerOverloaded reports that a server was overloaded, and by how much. A cache then fails; the origin continues
	// to run.
	ServerOverloaded(now policy.Instant, server policy.EndpointID, overload Overload)
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
