package scale

import (
	"fmt"
	"io"
	"time"

	"dahliapin/policy"
)

const (
	requestInterval  = 10 * time.Millisecond // between two requests, so that none queues behind another
	answerLatency    = 2 * time.Millisecond
	requestDeadline  = time.Second
	latencyObjective = 300 * time.Millisecond
	rejectEvery      = 10 // one read in this many is rejected by its first cache: too few for a cache to count as full
	replicasOfKey    = 3  // number of caches that store a key
	maxReadAttempts  = 2  // maximum number of attempts of a read that are executed
)

// Crossings holds a number of attempts, and the shares of them that leave the zone and the region of their node.
type Crossings struct {
	Attempts int
	Zone     float64 // share that leaves the node's zone
	Region   float64 // share that leaves the node's region
}

// Placement describes to which zones and regions the policy sends requests and places replicas, with all caches healthy
// and idle. All shares are from 0 to 1.
type Placement struct {
	Keys        int
	First       Crossings // first attempts
	Second      Crossings // attempts after one that was rejected
	MinReplicas int       // lowest number of replicas of any key
	TwoInZone   float64   // share of keys with two replicas or more in the same zone
	TwoInRegion float64   // the same of regions
	WorstZone   float64   // share of keys with two replicas or more in the zone where that is most frequent
	WorstRegion float64   // the same of regions
}

// PlaceKeys routes requests for many keys, the same number from each zone, and returns where they went. crossZoneCost
// is that of a deployment's settings, as a share of a request; 0 for none.
func PlaceKeys(at Places, caches, keys, nodes int, crossZoneCost float64) Placement {
	s := newPlacementSurvey(at, caches)
	keysOfZone := keys / at.Zones
	for zone := range at.Zones {
		router := s.router(zone, nodes, crossZoneCost)
		now := policy.Instant(1)
		for k := range keysOfZone {
			now = now.Add(requestInterval)
			key := fmt.Sprintf("key-%d-%d", zone, k) // requested only once, so that no key is hot
			now = s.read(router, now, zone, key, k%rejectEvery == 0)
			s.write(router, now, key)
		}
	}
	return s.result(keysOfZone * at.Zones)
}

// placementSurvey records where requests and replicas are placed.
type placementSurvey struct {
	places      Places
	endpoints   []policy.Endpoint
	zoneOf      map[policy.EndpointID]int
	first       crossingCount
	second      crossingCount
	minReplicas int // lowest number of replicas of any key
	zones       colocation
	regions     colocation
}

// crossingCount counts attempts that leave a zone or a region.
type crossingCount struct {
	attempts    int
	leaveZone   int
	leaveRegion int
}

func (c crossingCount) shares() Crossings {
	return Crossings{
		Attempts: c.attempts,
		Zone:     share(c.leaveZone, c.attempts),
		Region:   share(c.leaveRegion, c.attempts),
	}
}

// colocation counts keys with two replicas or more in the same place. A place is a zone or a region.
type colocation struct {
	keys    int         // number of such keys
	byPlace map[int]int // number of such keys by place
}

// add counts a key, given its number of replicas in each place.
func (c *colocation) add(replicas map[int]int) {
	found := false
	for place, n := range replicas {
		if n >= 2 {
			found = true
			c.byPlace[place]++
		}
	}
	if found {
		c.keys++
	}
}

// worst returns the share of such keys at the place where it is highest.
func (c *colocation) worst(keys int) float64 {
	worst := 0.0
	for _, n := range c.byPlace {
		worst = max(worst, share(n, keys))
	}
	return worst
}

// newPlacementSurvey places caches as AssignPlaces places nodes: evenly over regions, and over the zones of each
// region.
func newPlacementSurvey(at Places, caches int) *placementSurvey {
	s := &placementSurvey{
		places:      at,
		endpoints:   []policy.Endpoint{},
		zoneOf:      map[policy.EndpointID]int{},
		minReplicas: replicasOfKey,
		zones:       colocation{byPlace: map[int]int{}},
		regions:     colocation{byPlace: map[int]int{}},
	}
	for i := range caches {
		zone := siteOrZone(i/at.Regions, RegionID(i%at.Regions), at.Regions, at.Zones)
		id := policy.EndpointID(fmt.Sprintf("cache-%d", i+1))
		s.zoneOf[id] = zone
		s.endpoints = append(s.endpoints, policy.Endpoint{ID: id, Zone: zoneID(zone), Weight: 1})
	}
	return s
}

func zoneID(zone int) policy.ZoneID { return policy.ZoneID(fmt.Sprintf("zone-%d", zone)) }

func (s *placementSurvey) region(zone int) int { return zone % s.places.Regions }

// router returns the router of a node in a zone. It knows all caches. Class 0 is for reads, class 1 for writes.
func (s *placementSurvey) router(zone, nodes int, crossZoneCost float64) *policy.Router {
	reads := policy.ServiceClass{
		PriorityWeight:   1,
		LatencyObjective: latencyObjective,
		Idempotency:      policy.Idempotent,
	}
	writes := policy.ServiceClass{
		PriorityWeight:   1,
		LatencyObjective: latencyObjective,
		Idempotency:      policy.IdempotentByKey,
		DedupScope:       policy.AllCaches,
		DedupWindow:      latencyObjective,
	}
	p := policy.New(1, int64(zone), policy.Settings{
		Classes:        []policy.ServiceClass{reads, writes},
		Zone:           zoneID(zone),
		Nodes:          nodes,
		OriginKind:     -1, // no origin
		CrossZoneCost:  crossZoneCost,
		MaxAttempts:    replicasOfKey + 1,
		HedgingAllowed: true,
		CancelAllowed:  true,
		TickInterval:   requestInterval,
		PollInterval:   time.Hour,
		IdleTimeout:    time.Hour,
		InFlightColumn: -1, // no load reports
		QueueColumn:    -1,
	})
	p.UpdateEndpoints(1, policy.CompleteUpdate, s.endpoints)
	return p
}

// read routes a read and counts its attempts. If reject is set its first attempt is rejected. It returns the time after
// the last attempt.
func (s *placementSurvey) read(p *policy.Router, now policy.Instant, zone int, key string, reject bool) policy.Instant {
	r := &policy.Request{
		ID:        policy.RequestID(key),
		Key:       key,
		ArrivedAt: now,
		Deadline:  now.Add(requestDeadline),
	}
	sendTo := p.Route(now, r).SendTo
	s.countAttempt(&s.first, zone, sendTo)
	for attempt := 0; len(sendTo) > 0 && attempt < maxReadAttempts; attempt++ {
		result := policy.Answered
		if attempt == 0 && reject {
			result = policy.Rejected
		}
		r.Attempts = append(r.Attempts, policy.Attempt{Endpoint: sendTo[0], SentAt: now, Result: result})
		now = now.Add(answerLatency)
		sendTo = p.OnAttemptDone(now, r, policy.Outcome{Attempt: attempt, Latency: answerLatency}).SendTo
		s.countAttempt(&s.second, zone, sendTo)
	}
	r.Finished = true
	return now
}

func (s *placementSurvey) countAttempt(count *crossingCount, zone int, sendTo []policy.EndpointID) {
	if len(sendTo) == 0 {
		return
	}
	count.attempts++
	to := s.zoneOf[sendTo[0]]
	if to != zone {
		count.leaveZone++
	}
	if s.region(to) != s.region(zone) {
		count.leaveRegion++
	}
}

// write routes a write, which is sent to all replicas of its key concurrently, and counts where they are.
func (s *placementSurvey) write(p *policy.Router, now policy.Instant, key string) {
	w := &policy.Request{
		ID:        policy.RequestID(key + "-w"),
		Key:       key,
		Class:     1,
		Write:     true,
		ArrivedAt: now,
		Deadline:  now.Add(requestDeadline),
	}
	replicas := p.Route(now, w).SendTo
	s.minReplicas = min(s.minReplicas, len(replicas))
	inZone := map[int]int{}
	inRegion := map[int]int{}
	for i, cache := range replicas {
		zone := s.zoneOf[cache]
		inZone[zone]++
		inRegion[s.region(zone)]++
		w.Attempts = append(w.Attempts, policy.Attempt{Endpoint: cache, SentAt: now, Result: policy.Answered})
		p.OnAttemptDone(now.Add(answerLatency), w, policy.Outcome{Attempt: i, Latency: answerLatency})
	}
	w.Finished = true
	s.zones.add(inZone)
	s.regions.add(inRegion)
}

func (s *placementSurvey) result(keys int) Placement {
	return Placement{
		Keys:        keys,
		First:       s.first.shares(),
		Second:      s.second.shares(),
		MinReplicas: s.minReplicas,
		TwoInZone:   share(s.zones.keys, keys),
		TwoInRegion: share(s.regions.keys, keys),
		WorstZone:   s.zones.worst(keys),
		WorstRegion: s.regions.worst(keys),
	}
}

// share returns n/of, or 0 if of is 0.
func share(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// Print writes the placement as four lines of text.
func (p *Placement) Print(to io.Writer) {
	fmt.Fprintf(to, "%d keys, each with at least %d replicas\n", p.Keys, p.MinReplicas)
	p.First.print(to, "first attempts")
	p.Second.print(to, "attempts after a rejection")
	fmt.Fprintf(to, "keys with two or more replicas in one zone: %.2f%% (in the worst zone: %.2f%%); "+
		"in one region: %.2f%% (in the worst: %.2f%%)\n",
		100*p.TwoInZone, 100*p.WorstZone, 100*p.TwoInRegion, 100*p.WorstRegion)
}

func (c Crossings) print(to io.Writer, what string) {
	fmt.Fprintf(to, "%s: %d; %.1f%% leave the zone, %.1f%% the region\n", what, c.Attempts, 100*c.Zone, 100*c.Region)
}
