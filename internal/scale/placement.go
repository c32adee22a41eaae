package scale

import (
	"fmt"
	"io"
	"time"

	"dahliapin/policy"
)

const (
	apartAsked      = 10 * time.Millisecond // between two requests that placement is asked for: none waits for another
	answersIn       = 2 * time.Millisecond
	requestDeadline = time.Second
	soonEnough      = 300 * time.Millisecond
	turnedEvery     = 10 // requests, of which one is turned away at its first cache: so few that nobody takes them for full
	holds           = 3  // caches of a key
)

// Crossings are shares of attempts.
type Crossings struct {
	Attempts int
	Zone     float64 // that leave the zone of the node that makes them
	Region   float64
}

// Placement is what it comes to that caches stand in zones and regions, by the module's own placement, with all caches well and idle.
type Placement struct {
	Keys          int
	First, Second Crossings // first attempts, and those after one that was turned away
	Holders       int       // fewest caches of a key that were found
	TwoInZone     float64   // share of keys that lose two of their three holders, or all, with some one zone
	TwoInRegion   float64
	WorstZone     float64 // share of keys that the zone which takes most of them takes two holders of
	WorstRegion   float64
}

// PlaceKeys asks routers of all zones for many keys. A price of crossing is as in a deployment's settings; 0 for none.
func PlaceKeys(at Places, caches, keys, nodes int, price float64) Placement {
	region := func(zone int) int { return zone % at.Regions }
	zoneOf := func(i int) int { // as nodes stand: region by region
		return turnOf(i/at.Regions, RegionID(i%at.Regions), at.Regions, at.Zones)
	}
	zones, list := map[policy.EndpointID]int{}, []policy.Endpoint{}
	for i := range caches {
		e := policy.Endpoint{ID: policy.EndpointID(fmt.Sprintf("cache-%d", i+1)), Zone: policy.ZoneID(fmt.Sprintf("zone-%d", zoneOf(i))), Weight: 1}
		zones[e.ID] = zoneOf(i)
		list = append(list, e)
	}
	router := func(zone int) *policy.Router {
		p := policy.New(1, int64(zone), policy.Settings{
			Classes: []policy.ServiceClass{{PriorityWeight: 1, LatencyObjective: soonEnough, Idempotency: policy.Idempotent},
				{PriorityWeight: 1, LatencyObjective: soonEnough, Idempotency: policy.IdempotentByKey, DedupScope: policy.AllCaches, DedupWindow: soonEnough}},
			Zone: policy.ZoneID(fmt.Sprintf("zone-%d", zone)), Nodes: nodes, OriginKind: -1, CrossZoneCost: price, MaxAttempts: holds + 1, HedgingAllowed: true, CancelAllowed: true,
			TickInterval: apartAsked, PollInterval: time.Hour, IdleTimeout: time.Hour, InFlightColumn: -1, QueueColumn: -1})
		p.UpdateEndpoints(1, policy.CompleteUpdate, list)
		return p
	}
	x := Placement{Keys: keys, Holders: holds}
	first, second := [2]int{}, [2]int{}
	worstZone, worstRegion := map[int]int{}, map[int]int{}
	twoInZone, twoInRegion := 0, 0
	for zone := range at.Zones {
		p, now := router(zone), policy.Instant(1)
		crosses := func(to []policy.EndpointID, in *Crossings, n *[2]int) {
			if len(to) == 0 {
				return
			}
			in.Attempts++
			if z := zones[to[0]]; z != zone {
				if n[0]++; region(z) != region(zone) {
					n[1]++
				}
			}
		}
		for k := range keys / at.Zones {
			now = now.Add(apartAsked)
			key := fmt.Sprintf("key-%d-%d", zone, k) // each is asked for once: none is in demand
			r := &policy.Request{ID: policy.RequestID(key), Key: key, ArrivedAt: now, Deadline: now.Add(requestDeadline)}
			m := p.Route(now, r)
			crosses(m.SendTo, &x.First, &first)
			for leg := 0; len(m.SendTo) > 0 && leg < 2; leg++ {
				r.Attempts = append(r.Attempts, policy.Attempt{Endpoint: m.SendTo[0], SentAt: now, Result: policy.Answered})
				if leg == 0 && k%turnedEvery == 0 {
					r.Attempts[0].Result = policy.Rejected
				}
				now = now.Add(answersIn)
				if m = p.OnAttemptDone(now, r, policy.Outcome{Attempt: leg, Latency: answersIn}); len(m.SendTo) > 0 {
					crosses(m.SendTo, &x.Second, &second)
				}
			}
			r.Finished = true
			w := &policy.Request{ID: policy.RequestID(key + "-w"), Key: key, Class: 1, Write: true, ArrivedAt: now, Deadline: now.Add(requestDeadline)}
			to := p.Route(now, w).SendTo // a write goes to all holders at once
			x.Holders = min(x.Holders, len(to))
			inZone, inRegion := map[int]int{}, map[int]int{}
			for i, c := range to {
				inZone[zones[c]]++
				inRegion[region(zones[c])]++
				w.Attempts = append(w.Attempts, policy.Attempt{Endpoint: c, SentAt: now, Result: policy.Answered})
				p.OnAttemptDone(now.Add(answersIn), w, policy.Outcome{Attempt: i, Latency: answersIn})
			}
			w.Finished = true
			count := func(in, worst map[int]int) (two bool) {
				for at, n := range in {
					if n >= 2 {
						two = true
						worst[at]++
					}
				}
				return two
			}
			if count(inZone, worstZone) {
				twoInZone++
			}
			if count(inRegion, worstRegion) {
				twoInRegion++
			}
		}
	}
	x.Keys = keys / at.Zones * at.Zones
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	x.First.Zone, x.First.Region = share(first[0], x.First.Attempts), share(first[1], x.First.Attempts)
	x.Second.Zone, x.Second.Region = share(second[0], x.Second.Attempts), share(second[1], x.Second.Attempts)
	x.TwoInZone, x.TwoInRegion = share(twoInZone, x.Keys), share(twoInRegion, x.Keys)
	for _, n := range worstZone {
		x.WorstZone = max(x.WorstZone, share(n, x.Keys))
	}
	for _, n := range worstRegion {
		x.WorstRegion = max(x.WorstRegion, share(n, x.Keys))
	}
	return x
}

// Print writes it.
func (x *Placement) Print(to io.Writer) {
	fmt.Fprintf(to, "%d keys, %d holders each at the least\n", x.Keys, x.Holders)
	for _, c := range []struct {
		what string
		Crossings
	}{{"first attempts", x.First}, {"attempts after one that was turned away", x.Second}} {
		fmt.Fprintf(to, "%s: %d; %.1f%% leave the zone, %.1f%% the region\n", c.what, c.Attempts, 100*c.Zone, 100*c.Region)
	}
	fmt.Fprintf(to, "keys that lose two holders or more with one zone: %.2f%% (with the worst zone: %.2f%%); with one region: %.2f%% (with the worst: %.2f%%)\n",
		100*x.TwoInZone, 100*x.WorstZone, 100*x.TwoInRegion, 100*x.WorstRegion)
}
