package scenario

import (
	"fmt"
	"math"

	"github.com/pelletier/go-toml/v2"

	"dahliapin/internal/keyhash"
)

const (
	formingTime       = 5.0  // seconds until all nodes know each other
	quietTime         = 14.0 // seconds without faults at the end, in which all views have to become the same
	minFaultTime      = 5.0  // seconds with faults, at least
	recoveryTime      = 6.0  // seconds after a node's fault until it is back and counts again
	minDuration       = 0.5  // seconds of a fault
	maxExtraDuration  = 15.0 // seconds of a fault beyond that
	maxExtraGap       = 5.0  // seconds between the beginnings of two faults, beyond minGap
	minGap            = 1.0
	minLoss           = 0.05 // share of messages lost
	maxLoss           = 0.3
	duplicateShare    = 0.3
	minLateMs         = 20
	maxExtraLateMs    = 280
	flapInterval      = 1.0 // seconds between the turns of a link that flaps
	bothWaysShare     = 0.5 // of cuts between two nodes
	maxFaultyFraction = 3   // at most one in so many nodes has a fault at a time: a fleet with more cannot decide
	nemesisSeedSalt   = 0x0e5e
)

// The kinds of faults, all equally likely. Those from sendCut on affect one node.
const (
	messageLoss = iota
	messageDuplicates
	messageDelays
	pairCut // between two nodes, neither of which fails by it
	sendCut
	receiveCut
	flappingCut
	nodeKill
	nodeHang
	nodePause
	faultKinds
)

// nemesis draws a schedule of faults.
type nemesis struct {
	random keyhash.Source
	nodes  int
	freeAt []float64 // time from which each node may have a fault again, in seconds
}

// Nemesis returns a random schedule of faults between nodes, the same for the same seed.
func Nemesis(seed int64, nodes int, seconds float64) *Scenario {
	s := nemesisScenario(seed, nodes, seconds)
	n := &nemesis{
		random: keyhash.Source{Seed: uint32(seed) ^ nemesisSeedSalt},
		nodes:  nodes,
		freeAt: make([]float64, nodes),
	}
	end := s.Seconds - quietTime
	for at := formingTime; ; at += minGap + n.tenthsUpTo(maxExtraGap) {
		at = tenths(at)
		duration := minDuration + n.tenthsUpTo(maxExtraDuration)
		if at+duration >= end {
			if duration = end - at; duration < minDuration {
				break
			}
		}
		event := Event{AtS: at, ForS: tenths(duration)}
		if n.draw(&event) {
			s.Events = append(s.Events, event)
		}
	}
	return s
}

// nemesisScenario returns the scenario of a schedule without its faults: a small deployment with little traffic.
func nemesisScenario(seed int64, nodes int, seconds float64) *Scenario {
	s := defaults()
	s.Name = fmt.Sprintf("nemesis-%d", seed)
	s.Seed = seed
	s.Seconds = math.Max(seconds, formingTime+quietTime+minFaultTime)
	s.About = "A random schedule of troubles between nodes."
	s.Fleet.Nodes = nodes
	s.Fleet.Caches = 4
	s.Traffic.PerSecond = 100
	s.Traffic.Keys = 500
	s.Classes = []Class{{
		Name: "read", Share: 1, Benefit: 1, SoftMs: 150, HardMs: 500, WorkMs: 2, Tries: 3, Effect: "idempotent", Scope: "all",
	}}
	s.Membership = &Membership{}
	return &s
}

// tenths rounds to tenths, which keeps schedules readable.
func tenths(x float64) float64 { return math.Round(x*10) / 10 }

// tenthsUpTo draws a number of tenths from 0 to most.
func (n *nemesis) tenthsUpTo(most float64) float64 { return tenths(n.random.Float64() * most) }

// drawNode draws a node, from 0.
func (n *nemesis) drawNode() int { return int(n.random.Float64() * float64(n.nodes)) }

// mayHaveFault reports whether a node may have a fault at a time, given the faults of other nodes.
func (n *nemesis) mayHaveFault(node int, at float64) bool {
	faulty := 0
	for _, freeAt := range n.freeAt {
		if freeAt > at {
			faulty++
		}
	}
	return n.freeAt[node] <= at && (faulty+1)*maxFaultyFraction <= n.nodes
}

// draw draws the fault of an event. It returns false if the node it has drawn may have no fault at that time.
func (n *nemesis) draw(e *Event) bool {
	node := n.drawNode()
	mayHaveFault := n.mayHaveFault(node, e.AtS)
	kind := int(n.random.Float64() * faultKinds)
	if kind < pairCut {
		n.drawMessageFault(e, kind)
		return true
	}
	if kind == pairCut {
		other := n.drawNode()
		if other == node || !mayHaveFault {
			return false
		}
		e.Do, e.From, e.To, e.Both = cut, []int{node + 1}, []int{other + 1}, n.random.Float64() < bothWaysShare
	} else {
		if !mayHaveFault {
			return false
		}
		setNodeFault(e, kind, []int{node + 1})
	}
	n.freeAt[node] = e.AtS + e.ForS + recoveryTime
	return true
}

// drawMessageFault draws a fault of the messages between all nodes.
func (n *nemesis) drawMessageFault(e *Event, kind int) {
	switch kind {
	case messageLoss:
		e.Do, e.Share = loss, minLoss+n.tenthsUpTo(maxLoss-minLoss)
	case messageDuplicates:
		e.Do, e.Share = twice, duplicateShare
	case messageDelays:
		e.Do, e.LateMs = late, minLateMs+math.Round(n.random.Float64()*maxExtraLateMs)
	}
}

// setNodeFault sets the fault of one node.
func setNodeFault(e *Event, kind int, node []int) {
	switch kind {
	case sendCut:
		e.Do, e.From = cut, node
	case receiveCut:
		e.Do, e.To = cut, node
	case flappingCut:
		e.Do, e.From, e.Both, e.TurnS = cut, node, true, flapInterval
	case nodeKill:
		e.Do, e.Nodes = "node_kill", node
	case nodeHang:
		e.Do, e.Nodes = hang, node
	case nodePause:
		e.Do, e.Nodes = pause, node
	}
}

// Without returns a copy of the scenario without one event.
func (s *Scenario) Without(event int) *Scenario {
	c := *s
	c.Events = append(append([]Event(nil), s.Events[:event]...), s.Events[event+1:]...)
	return &c
}

// Text encodes the scenario as a file that runs the same way.
func (s *Scenario) Text() ([]byte, error) { return toml.Marshal(s) }
