package scenario

import (
	"fmt"
	"hash/crc32"
	"math"
	"strings"
	"time"

	"dahliapin/internal/emulator/world"
	"dahliapin/internal/keyhash"
	"dahliapin/policy"
)

// The names of constants of package policy in scenario files.
var (
	effects = map[string]policy.Idempotency{
		"idempotent":   policy.Idempotent,
		"labelled":     policy.IdempotentByKey,
		"irreversible": policy.NotIdempotent,
	}
	scopes = map[string]policy.DedupScope{
		"all":   policy.AllCaches,
		"zone":  policy.SameZone,
		"group": policy.SameGroup,
	}
)

// SecondsToDuration converts seconds to a duration, rounded to nanoseconds.
func SecondsToDuration(seconds float64) time.Duration {
	return time.Duration(math.Round(seconds * 1e9))
}

func ms(x float64) time.Duration { return SecondsToDuration(x / 1000) }

// Duration returns the running time of the scenario.
func (s *Scenario) Duration() time.Duration { return SecondsToDuration(s.Seconds) }

// WorldClasses returns the service classes as package world describes them.
func (s *Scenario) WorldClasses() []world.Class {
	var all []world.Class
	for _, class := range s.Classes {
		all = append(all, world.Class{
			Name: class.Name, Write: class.Write, Deadline: ms(class.HardMs), Work: ms(class.WorkMs),
			Share: class.Share, Tries: class.Tries,
			ServiceClass: policy.ServiceClass{
				PriorityWeight:   class.Benefit,
				LatencyObjective: ms(class.SoftMs),
				Idempotency:      effects[class.Effect],
				DedupScope:       scopes[class.Scope],
				DedupWindow:      SecondsToDuration(class.WindowS),
			},
		})
	}
	return all
}

// Cache returns the traits of the n-th cache, counting from 1. Caches that events add continue the numbering.
func (s *Scenario) Cache(n int) world.CacheTraits {
	const oddMultiplier = 2654435761 // distributes consecutive numbers over all seeds
	f := &s.Fleet
	random := keyhash.Source{Seed: uint32(s.Seed) ^ uint32(n)*oddMultiplier}
	speed := f.Speed[0] + (f.Speed[1]-f.Speed[0])*random.Float64()
	return world.CacheTraits{
		ID:           policy.EndpointID(fmt.Sprintf("c%d", n)),
		Zone:         policy.ZoneID(f.Zones[(n-1)%len(f.Zones)]),
		Group:        policy.GroupID((n - 1) / f.Group),
		Cores:        f.Cores,
		Queue:        f.Queue,
		Speed:        speed,
		Weight:       speed * float64(f.Cores),
		Keys:         f.Keys,
		ColdFrom:     f.ColdFrom,
		ColdFor:      SecondsToDuration(f.ColdS),
		FallMultiple: f.FallMultiple,
		FallFor:      SecondsToDuration(f.FallS),
		Connections:  f.Connections,
		Handshake:    ms(f.HandshakeMs),
	}
}

// World returns the plan of the world at the start of the scenario.
func (s *Scenario) World(observer world.Observer) world.Plan {
	plan := world.Plan{
		Classes:  s.WorldClasses(),
		Seed:     uint32(s.Seed),
		Observer: observer,
		Origin: world.OriginTraits{
			Cores:        s.Origin.Cores,
			Queue:        s.Origin.Queue,
			Work:         ms(s.Origin.WorkMs),
			StallAt:      s.Origin.StallAt,
			Stall:        s.Origin.Stall,
			FallMultiple: s.Origin.FallMultiple,
			FallFor:      SecondsToDuration(s.Origin.FallS),
		},
	}
	if s.Allowed.Mode == "through" {
		plan.Mode = world.Through
	}
	for n := range s.Fleet.Caches {
		plan.Caches = append(plan.Caches, s.Cache(n+1))
	}
	return plan
}

// TrafficPlan returns the plan of the clients' requests.
func (s *Scenario) TrafficPlan() world.TrafficPlan {
	const seedMask = 0x5eed // makes the random draws of the traffic independent of those of the world
	t := &s.Traffic
	return world.TrafficPlan{
		PerSecond:        t.PerSecond,
		Swing:            t.Swing,
		SwingPeriod:      SecondsToDuration(t.WaveS),
		Keys:             t.Keys,
		Zipf:             t.Zipf,
		Classes:          s.WorldClasses(),
		Seed:             uint32(s.Seed) ^ seedMask,
		Jitter:           t.Jitter,
		Leaves:           t.Leaves,
		MaxLeaveTime:     SecondsToDuration(t.LeaveMs / 1000),
		Short:            t.Short,
		MaxShortDeadline: SecondsToDuration(t.ShortMs / 1000),
	}
}

// ZoneOf returns the zone of a node, whose number counts from 0.
func (s *Scenario) ZoneOf(node int) string {
	if !s.Fleet.Spread {
		return s.Fleet.Zones[0]
	}
	return s.Fleet.Zones[node%len(s.Fleet.Zones)]
}

// Registry returns the capacity model of discovery.
func (s *Scenario) Registry() *world.Registry {
	d := &s.Discovery
	return &world.Registry{
		CompleteWork: max(ms(d.WholeMs), ms(d.WatchMs)), UpdateWork: ms(d.WatchMs), Backlog: ms(d.BacklogMs),
	}
}

// Value returns the value of a key, given its short value. For a fixed share of the keys it is a long value, which is
// the same at all servers.
func (s *Scenario) Value(usual string) string {
	t := &s.Traffic
	if float64(crc32.ChecksumIEEE([]byte(usual))%1000) >= 1000*t.LongShare {
		return usual
	}
	return usual + strings.Repeat(" "+usual, max(0, t.LongKB<<10/(len(usual)+1)))
}
