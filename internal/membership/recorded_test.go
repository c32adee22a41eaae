package membership_test

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/golden"
	"dahliapin/internal/membership"
)

// recorder hashes all decisions of the detectors in a simulation: what each sends, states and shows at each tick.
type recorder struct {
	sum  hash.Hash
	view map[*membership.Detector]*membership.View // the last one that was hashed
}

// recordTick hashes the result of a tick. A nil recorder does nothing.
func (r *recorder) recordTick(now time.Duration, d *membership.Detector, do membership.Actions) {
	if r == nil {
		return
	}
	h := do.Heartbeat
	fmt.Fprintln(r.sum, now, h.Process, h.Revision, h.Digest, h.Addr, h.Isolated, h.WantsReply)
	fmt.Fprintln(r.sum, do.HeartbeatTo, do.ReplyTo, do.ProbeTo, do.SyncWith, d.KnownCount(), d.NameConflict())
	v := d.View()
	if r.view[d] == v {
		return
	}
	r.view[d] = v
	fmt.Fprintln(r.sum, v.Number, v.Fingerprint, v.Nodes, v.MayBePartitioned, v.Self, v.Incarnation)
	for _, m := range v.Members {
		fmt.Fprintln(r.sum, m.Process, m.Node, m.Incarnation, m.Addr, m.Status, m.Since, m.HeardBy, m.MissedBy)
	}
}

// recordStatement hashes a new statement. A nil recorder does nothing.
func (r *recorder) recordStatement(s membership.Statement) {
	if r == nil {
		return
	}
	fmt.Fprintln(r.sum, s.Process, s.Node, s.Incarnation, s.Revision, s.Addr,
		s.Leaving, s.YieldsName, s.Isolated, s.Hears, s.Misses)
}

// recordedHistory is a sequence of events for which the decisions are recorded.
type recordedHistory struct {
	name   string
	nodes  int
	seed   uint32
	rules  *membership.Rules // nil for the production rules
	inject func(*simulation)
}

// hash runs the history among nodes that know one another, and returns a hash of all decisions.
func (h *recordedHistory) hash() []byte {
	r := &recorder{sum: sha256.New(), view: map[*membership.Detector]*membership.View{}}
	s := newSimulation(h.nodes, h.seed, func(d *membership.Detector) {
		if h.rules != nil {
			membership.SetRules(d, *h.rules)
		}
	})
	s.recorder = r
	s.run(6 * sec)
	h.inject(s)
	s.run(10 * sec)
	return r.sum.Sum(nil)[:12]
}

// Guards against changes of the detector's decisions: each history must have the hash that was recorded.
func TestDecisionsMatchRecording(t *testing.T) {
	histories := recordedHistories(t)
	file := "decisions.txt"
	if testing.Short() { // all histories take 40 s under the race detector
		histories = histories[:3]
		file = "decisions-short.txt"
	}
	var got strings.Builder
	for _, h := range histories {
		fmt.Fprintf(&got, "%s, %d nodes, seed %d: %x\n", h.name, h.nodes, h.seed, h.hash())
	}
	golden.Check(t, file, []byte(got.String()))
}

func recordedHistories(t *testing.T) []recordedHistory {
	t.Helper()
	var histories []recordedHistory
	add := func(h recordedHistory) { histories = append(histories, h) }
	for _, f := range failures {
		add(recordedHistory{name: f.name, nodes: 12, seed: 1, inject: f.inject})
	}
	// The fleet is large enough for rings.
	noise := failureNamed(t, "30% lost, doubled and late, one killed")
	add(recordedHistory{name: noise.name, nodes: 40, seed: 2, inject: noise.inject})
	add(recordedHistory{
		name:   "unsound: stopped for more",
		nodes:  12,
		seed:   3,
		rules:  &membership.Rules{MinObservers: 1},
		inject: failureNamed(t, "stopped for more").inject,
	})
	for _, name := range []string{"halves", "eight and four", "nearly all killed at once and back"} {
		add(recordedHistory{name: name, nodes: 40, seed: 2, inject: failureNamed(t, name).inject})
	}
	for _, late := range []time.Duration{0, 8 * sec} {
		add(recordedHistory{
			name:  fmt.Sprintf("one name started twice, %v later", late),
			nodes: 5,
			seed:  4,
			inject: func(s *simulation) {
				s.run(late)
				s.startDuplicate("n2")
				s.run(8 * sec)
			},
		})
	}
	add(recordedHistory{name: "leaves, returns and is replaced", nodes: 5, seed: 5, inject: injectReplacement})
	add(recordedHistory{name: "forgotten after a minute", nodes: 16, seed: 6, inject: func(s *simulation) {
		s.nodes[7].kill()
		s.partitionFor(70*sec, true, []int{3}, nodesFrom(0, 15))
	}})
	return histories
}

func injectReplacement(s *simulation) {
	s.nodes[2].process.detector.Leave(false)
	s.run(8 * sec)
	s.nodes[2].process.detector.Rejoin()
	s.run(2 * sec)
	s.nodes[2].process.detector.Leave(true)
	s.run(sec / 2)
	s.nodes[2].process = nil
	s.nodes[2].start()
}
