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

// recorder hashes all that the detectors of a simulation decide: what each sends, states and shows at each tick.
type recorder struct {
	sum  hash.Hash
	view map[*membership.Detector]*membership.View // the last that was hashed
}

func (r *recorder) ticked(now time.Duration, d *membership.Detector, do membership.Actions) {
	h := do.Heartbeat
	fmt.Fprintln(r.sum, now, h.Process, h.Revision, h.Digest, h.Addr, h.SelfDoubt, h.WantsReply)
	fmt.Fprintln(r.sum, do.HeartbeatTo, do.ReplyTo, do.ProbeTo, do.SyncWith, d.KnownCount(), d.NameConflict())
	v := d.View()
	if r.view[d] == v {
		return
	}
	r.view[d] = v
	fmt.Fprintln(r.sum, v.Number, v.Fingerprint, v.Nodes, v.CutOff, v.Own, v.Incarnation)
	for _, m := range v.Members {
		fmt.Fprintln(r.sum, m.Process, m.Node, m.Incarnation, m.Addr, m.Status, m.Since, m.Hears, m.Misses)
	}
}

func (r *recorder) stated(s membership.Statement) {
	fmt.Fprintln(r.sum, s.Process, s.Node, s.Incarnation, s.Revision, s.Addr, s.Leaving, s.YieldsName, s.SelfDoubt, s.Hears, s.Misses)
}

// Names and shape of the detector may change, its decisions not: each history has the hash that it had when it was recorded.
func TestDecisionsAreAsRecorded(t *testing.T) {
	var got strings.Builder
	play := func(name string, nodes int, seed uint32, broken func(*membership.Detector), history func(*sim)) {
		r := &recorder{sum: sha256.New(), view: map[*membership.Detector]*membership.View{}}
		s := newSim(nodes, seed, broken)
		s.recorder = r
		s.run(6 * sec)
		history(s)
		s.run(10 * sec)
		fmt.Fprintf(&got, "%s, %d nodes, seed %d: %x\n", name, nodes, seed, r.sum.Sum(nil)[:12])
	}
	if testing.Short() { // under the race detector all take 40 s
		for _, c := range troubles[:3] {
			play(c.name, 12, 1, nil, c.play)
		}
		golden.Check(t, "decisions-short.txt", []byte(got.String()))
		return
	}
	for _, c := range troubles {
		play(c.name, 12, 1, nil, c.play)
	}
	for _, c := range troubles {
		switch c.name {
		case "30% lost, doubled and late, one killed", "halves", "nearly all killed at once and back", "eight and four":
			play(c.name, 40, 2, nil, c.play)
		case "stopped for more":
			play("unsound: "+c.name, 12, 3, func(d *membership.Detector) { membership.SetRules(d, membership.Rules{MinObservers: 1}) }, c.play)
		}
	}
	for _, late := range []time.Duration{0, 8 * sec} {
		play(fmt.Sprintf("one name started twice, %v later", late), 5, 4, nil, func(s *sim) {
			s.run(late)
			twin := &simNode{s: s, number: 5, name: "n2"}
			s.nodes = append(s.nodes, twin)
			twin.start()
			s.run(8 * sec)
		})
	}
	play("leaves, returns and is replaced", 5, 5, nil, func(s *sim) {
		s.nodes[2].process.book.Leave(false)
		s.run(8 * sec)
		s.nodes[2].process.book.Rejoin()
		s.run(2 * sec)
		s.nodes[2].process.book.Leave(true)
		s.run(sec / 2)
		s.nodes[2].process = nil
		s.nodes[2].start()
	})
	play("forgotten after a minute", 16, 6, nil, func(s *sim) {
		s.nodes[7].kill()
		s.apart(70*sec, true, []int{3}, seq(0, 15))
	})
	golden.Check(t, "decisions.txt", []byte(got.String()))
}
