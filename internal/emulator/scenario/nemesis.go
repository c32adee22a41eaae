package scenario

import (
	"fmt"
	"math"

	"github.com/pelletier/go-toml/v2"

	"dahliapin/internal/keyhash"
)

const (
	formingTime        = 5.0  // seconds until all nodes know each other
	quietTime          = 14.0 // seconds without faults at the end, in which all views have to converge
	minFaultTime       = 5.0  // minimum length of the time with faults, in seconds
	recoveryTime       = 6.0  // seconds after a node's fault until the node counts as healthy again
	minDuration        = 0.5  // minimum duration of a fault, in seconds
	maxExtraDuration   = 15.0 // maximum duration of a fault beyond minDuration, in seconds
	maxExtraGap        = 5.0  // maximum time between the beginnings of two faults beyond minGap, in seconds
	minGap             = 1.0  // minimum time between the beginnings of two faults, in seconds
	minLoss            = 0.05 // minimum share of lost messages
	maxLoss            = 0.3  // maximum share of lost messages
	duplicateShare     = 0.3  // share of duplicated messages
	minLateMs          = 20   // minimum delay of messages, in milliseconds
	maxExtraLateMs     = 280  // maximum delay of messages beyond minLateMs, in milliseconds
	flapInterval       = 1.0  // seconds between two changes of a flapping link
	bothWaysShare      = 0.5  // share of the cuts between two nodes that affect both directions
	faultyNodesDivisor = 3    // at most one in this many nodes has a fault at a time: a fleet with more cannot decide
	nemesisSeedSalt    = 0x0e5e
)

// The kinds of faults, all equally likely. Those from sendCut on affect a single node.
const (
	messageLoss = iota
	messageDuplicates
	messageDelays
	pairCut // between two nodes, which stay healthy
	sendCut
	receiveCut
	flappingCut
	nodeKill
	nodeHang
	nodePause
	faultKinds
)

// nemesis draws a schedule of faults at random.
type nemesis struct {
	random keyhash.Source
	nodes  int
	freeAt []float64 // by node: time from which it may have a fault again, in seconds
}

// Nemesis returns a random schedule of faults of nodes and the links between them. The same seed gives the same
// schedule.
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

// nemesisScenario returns the scenario that faults are added to: a small deployment with little traffic.
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
		Name: "read", Share: 1, Benefit: 1, SoftMs: 150, HardMs: 500, WorkMs: 2, Tries: 3,
		Effect: "idempotent", Scope: "all",
	}}
	s.Membership = &Membership{}
	return &s
}

// tenths rounds to one decimal place, which keeps schedules readable.
func tenths(x float64) float64 { return math.Round(x*10) / 10 }

// tenthsUpTo draws a number from 0 to most with one decimal place.
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
	return n.freeAt[node] <= at && (faulty+1)*faultyNodesDivisor <= n.nodes
}

// draw draws the fault of an event. It returns false if the drawn node may not have a fault at that time.
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
		e.Do, e.Share = duplicate, duplicateShare
	case messageDelays:
		e.Do, e.LateMs = delay, minLateMs+math.Round(n.random.Float64()*maxExtraLateMs)
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

// Text encodes the scenario as a file. Parsing the file yields an equivalent scenario.
func (s *Scenario) Text() ([]byte, error) { return toml.Marshal(s) }
