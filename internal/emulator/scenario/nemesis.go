package scenario

import (
	"fmt"
	"math"

	"github.com/pelletier/go-toml/v2"

	"dahliapin/internal/keyhash"
)

const (
	formsIn   = 5.0  // seconds until all know all
	quietLast = 14.0 // seconds without trouble at the end, in which all have to come to one view
	mostWorst = 15.0 // seconds that a process is stopped at most
	roughness = 0.3  // share of messages lost, at most
	troubled  = 3    // one in so many nodes is in trouble at a time, at most: a fleet of which more are decides nothing
)

// Nemesis makes a random schedule of troubles between nodes, the same for the same seed.
func Nemesis(seed int64, nodes int, seconds float64) *Scenario {
	s := defaults()
	s.Name, s.Seed, s.Seconds = fmt.Sprintf("nemesis-%d", seed), seed, math.Max(seconds, formsIn+quietLast+5)
	s.About = "A random schedule of troubles between nodes."
	s.Fleet.Nodes, s.Fleet.Caches, s.Traffic.PerSecond, s.Traffic.Keys = nodes, 4, 100, 500
	s.Classes = []Class{{Name: "read", Share: 1, Benefit: 1, SoftMs: 150, HardMs: 500, WorkMs: 2, Tries: 3, Effect: "idempotent", Scope: "all"}}
	s.Together = &Together{}
	chance := keyhash.Source{Seed: uint32(seed) ^ 0x0e5e}
	upTo := func(most float64) float64 { return math.Round(chance.Float64()*most*10) / 10 }
	free := make([]float64, nodes) // from when a node may be in trouble again
	end := s.Seconds - quietLast
	for at := formsIn; ; at += 1 + upTo(5) {
		at = math.Round(at*10) / 10
		long := 0.5 + upTo(mostWorst)
		if at+long >= end {
			if long = end - at; long < 0.5 {
				break
			}
		}
		e := Event{AtS: at, ForS: math.Round(long*10) / 10}
		n := int(chance.Float64() * float64(nodes))
		busy := 0
		for _, f := range free {
			if f > at {
				busy++
			}
		}
		one := free[n] <= at && (busy+1)*troubled <= nodes
		switch kind := int(chance.Float64() * 10); {
		case kind == 0:
			e.Do, e.Share = loss, 0.05+upTo(roughness-0.05)
		case kind == 1:
			e.Do, e.Share = twice, 0.3
		case kind == 2:
			e.Do, e.LateMs = late, 20+math.Round(chance.Float64()*280)
		case kind == 3: // a pair that does not hear each other is nobody's end
			m := int(chance.Float64() * float64(nodes))
			if m == n || !one {
				continue
			}
			e.Do, e.From, e.To, e.Both = cut, []int{n + 1}, []int{m + 1}, chance.Float64() < 0.5
		case !one:
			continue
		case kind == 4:
			e.Do, e.From = cut, []int{n + 1}
		case kind == 5:
			e.Do, e.To = cut, []int{n + 1}
		case kind == 6:
			e.Do, e.From, e.Both, e.TurnS = cut, []int{n + 1}, true, 1
		case kind == 7:
			e.Do, e.Nodes = "node_kill", []int{n + 1}
		case kind == 8:
			e.Do, e.Nodes = hang, []int{n + 1}
		default:
			e.Do, e.Nodes = pause, []int{n + 1}
		}
		if len(e.Nodes)+len(e.From)+len(e.To) > 0 {
			free[n] = at + e.ForS + 6 // until it is back and counts again
		}
		s.Events = append(s.Events, e)
	}
	return &s
}

// Without is the script less one event.
func (s *Scenario) Without(event int) *Scenario {
	c := *s
	c.Events = append(append([]Event(nil), s.Events[:event]...), s.Events[event+1:]...)
	return &c
}

// Text writes a script as a file that plays the same.
func (s *Scenario) Text() ([]byte, error) { return toml.Marshal(s) }
