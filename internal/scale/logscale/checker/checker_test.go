package checker

import (
	"slices"
	"testing"

	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/monotime"
)

// evidence holds the traces of a run with three voters.
type evidence struct {
	stored    [3][]logtrace.DurableEntries // by voter
	published []logtrace.PublishedChange
	records   []logtrace.NodeEvent
}

// validEvidence returns the traces of a run without a breach. Of entries 1 to 4, entry 2 is a configuration. Node 1
// applies all entries; node 2 starts at entry 3.
func validEvidence() *evidence {
	e := &evidence{}
	for i := range uint64(4) {
		at := monotime.Instant(100 * (i + 1))
		mark := 1000 + i
		for voter := range 3 {
			onDisk := at + monotime.Instant(voter)*10
			e.stored[voter] = append(e.stored[voter], logtrace.DurableEntries{At: onDisk, Marks: []uint64{mark}})
		}
		e.published = append(e.published, logtrace.PublishedChange{
			Mark:   mark,
			Index:  i + 1,
			Config: i == 1,
			Sent:   at - 5,
			Acked:  at + 12,
			Phase:  "p",
		})
	}
	record := func(node uint32, what logtrace.NodeEventKind, index, mark uint64, at monotime.Instant) {
		e.records = append(e.records, logtrace.NodeEvent{At: at, Index: index, Mark: mark, Node: node, Kind: what})
	}
	record(1, logtrace.Began, 0, 0, 50)
	for i := range uint64(4) {
		at := monotime.Instant(100 * (i + 1))
		record(1, logtrace.Applied, i+1, 1000+i, at+20)
		record(1, logtrace.Acknowledged, i+1, 0, at+30)
	}
	record(2, logtrace.Began, 3, 1001, 330)
	record(2, logtrace.Applied, 4, 1003, 440)
	return e
}

// report checks the traces of a run with two nodes.
func (e *evidence) report() Report {
	checker := New(3, nil)
	for voter, all := range e.stored {
		for _, k := range all {
			checker.AddStored(voter, k)
		}
	}
	for _, o := range e.published {
		checker.AddPublished(o)
	}
	for _, r := range e.records {
		checker.AddNodeRecord(r)
	}
	return checker.Report(2)
}

func TestCheckerFindsNoBreachInSoundRun(t *testing.T) {
	r := validEvidence().report()
	if len(r.Breaches) > 0 || r.Entries != 4 || r.Applied != 5 || len(r.Phases) != 2 {
		t.Fatalf("unexpected report: %+v", r)
	}
	if r.Phases[0].FromSent.Max != 45e-9 || r.Phases[0].FromAcked.Count != 3 {
		t.Errorf("got %+v, want at most 45 ns from publishing to the last node, and 3 purges", r.Phases[0])
	}
}

func TestCheckerFindsEachBreach(t *testing.T) {
	for name, c := range map[string]struct {
		want   string
		mutate func(e *evidence)
	}{
		"a node skips entry 2": {
			want:   Missing,
			mutate: func(e *evidence) { e.records = slices.Delete(e.records, 3, 5) },
		},
		"a node ends without the last entry": {
			want:   Missing,
			mutate: func(e *evidence) { e.records = e.records[:len(e.records)-1] },
		},
		"a node has no trace": {
			want:   Missing,
			mutate: func(e *evidence) { e.records = e.records[:9] },
		},
		"an entry is applied twice": {
			want:   Duplicated,
			mutate: func(e *evidence) { e.records = append(e.records, e.records[len(e.records)-1]) },
		},
		"a change has two indexes": {
			want:   Duplicated,
			mutate: func(e *evidence) { e.published[3].Mark = 1002 },
		},
		"a node has another entry at an index": {
			want:   OutOfOrder,
			mutate: func(e *evidence) { e.records[len(e.records)-1].Mark = 1000 },
		},
		"the publisher has another entry at an index": {
			want:   OutOfOrder,
			mutate: func(e *evidence) { e.published[3].Mark = 4000 },
		},
		"an entry is acknowledged before a majority has it": {
			want:   EarlyAck,
			mutate: func(e *evidence) { e.published[2].Acked = 309 },
		},
		"an acknowledged entry is never on disk at a majority": {
			want: EarlyAck,
			mutate: func(e *evidence) {
				e.stored[0] = e.stored[0][:3]
				e.stored[1] = e.stored[1][:3]
			},
		},
		"an entry is in force before a majority has it": {
			want:   EarlyInForce,
			mutate: func(e *evidence) { e.records[1].At = 109 },
		},
		"a node reports an entry before it has applied it": {
			want:   EarlyReport,
			mutate: func(e *evidence) { e.records[2].Index = 2 },
		},
		"a node starts under an old configuration": {
			want:   StaleStart,
			mutate: func(e *evidence) { e.records[len(e.records)-2].Mark = 0 },
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := validEvidence()
			c.mutate(e)
			got := e.report().Breaches
			if !slices.ContainsFunc(got, func(b Breach) bool { return b.What == c.want }) {
				t.Errorf("found %+v, want: %s", got, c.want)
			}
		})
	}
}
