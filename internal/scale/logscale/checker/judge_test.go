package checker

import (
	"testing"

	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/monotime"
)

// sound is a run in which nothing is wrong: two nodes, three voters, entries 1 to 4 of which 2 is a configuration, and a node that comes
// with entry 3.
func sound() (kept [3][]logtrace.Kept, orders []logtrace.Ordered, records []logtrace.Record) {
	for i := range uint64(4) {
		at := monotime.Instant(100 * (i + 1))
		for voter := range 3 {
			kept[voter] = append(kept[voter], logtrace.Kept{At: at + monotime.Instant(voter)*10, Marks: []uint64{1000 + i}})
		}
		orders = append(orders, logtrace.Ordered{Mark: 1000 + i, Index: i + 1, Config: i == 1, Sent: at - 5, Acked: at + 12, Play: "p"})
	}
	record := func(node uint32, what logtrace.What, index uint64, mark uint64, at monotime.Instant) {
		records = append(records, logtrace.Record{At: at, Index: index, Mark: mark, Node: node, What: what})
	}
	record(1, logtrace.Began, 0, 0, 50)
	for i := range uint64(4) {
		record(1, logtrace.Applied, i+1, 1000+i, monotime.Instant(100*(i+1)+20))
		record(1, logtrace.Told, i+1, 0, monotime.Instant(100*(i+1)+30))
	}
	record(2, logtrace.Began, 3, 1001, 330)
	record(2, logtrace.Applied, 4, 1003, 440)
	return kept, orders, records
}

func judged(kept [3][]logtrace.Kept, orders []logtrace.Ordered, records []logtrace.Record, nodes int) Report {
	j := New(3, nil)
	for voter, all := range kept {
		for _, k := range all {
			j.Kept(voter, k)
		}
	}
	for _, o := range orders {
		j.Order(o)
	}
	for _, r := range records {
		j.Saw(r)
	}
	return j.Report(nodes)
}

func TestEachBreachIsSeenAndNoneWhereThereIsNone(t *testing.T) {
	kept, orders, records := sound()
	r := judged(kept, orders, records, 2)
	if len(r.Breaches) > 0 || r.Entries != 4 || r.Applied != 5 || len(r.Plays) != 2 || r.Plays[0].FromSent.Most != 45e-9 || r.Plays[0].FromAcked.Count != 3 {
		t.Errorf("%+v", r)
	}
	for _, c := range []struct {
		what string
		do   func(kept *[3][]logtrace.Kept, orders *[]logtrace.Ordered, records *[]logtrace.Record)
	}{
		{Missing, func(_ *[3][]logtrace.Kept, _ *[]logtrace.Ordered, r *[]logtrace.Record) {
			*r = append((*r)[:3:3], (*r)[5:]...)
		}}, // entry 2 and what was told of it
		{Missing, func(_ *[3][]logtrace.Kept, _ *[]logtrace.Ordered, r *[]logtrace.Record) { *r = (*r)[:len(*r)-1] }}, // the last one
		{Missing, func(_ *[3][]logtrace.Kept, _ *[]logtrace.Ordered, r *[]logtrace.Record) { *r = (*r)[:9] }},         // a node
		{Doubled, func(_ *[3][]logtrace.Kept, _ *[]logtrace.Ordered, r *[]logtrace.Record) {
			*r = append(*r, (*r)[len(*r)-1])
		}},
		{Doubled, func(_ *[3][]logtrace.Kept, o *[]logtrace.Ordered, _ *[]logtrace.Record) { (*o)[3].Mark = 1002 }},
		{OutOfOrder, func(_ *[3][]logtrace.Kept, _ *[]logtrace.Ordered, r *[]logtrace.Record) { (*r)[len(*r)-1].Mark = 1000 }},
		{OutOfOrder, func(_ *[3][]logtrace.Kept, o *[]logtrace.Ordered, _ *[]logtrace.Record) { (*o)[3].Mark = 4000 }},
		{EarlyAck, func(_ *[3][]logtrace.Kept, o *[]logtrace.Ordered, _ *[]logtrace.Record) { (*o)[2].Acked = 309 }},
		{EarlyAck, func(k *[3][]logtrace.Kept, _ *[]logtrace.Ordered, _ *[]logtrace.Record) {
			k[0], k[1] = k[0][:3], k[1][:3]
		}},
		{EarlyInForce, func(_ *[3][]logtrace.Kept, _ *[]logtrace.Ordered, r *[]logtrace.Record) { (*r)[1].At = 109 }},
		{EarlyTold, func(_ *[3][]logtrace.Kept, _ *[]logtrace.Ordered, r *[]logtrace.Record) { (*r)[2].Index = 2 }},
		{OldBeginning, func(_ *[3][]logtrace.Kept, _ *[]logtrace.Ordered, r *[]logtrace.Record) { (*r)[len(*r)-2].Mark = 0 }},
	} {
		kept, orders, records := sound()
		c.do(&kept, &orders, &records)
		seen := false
		for _, b := range judged(kept, orders, records, 2).Breaches {
			seen = seen || b.What == c.what
		}
		if !seen {
			t.Errorf("not seen: %s", c.what)
		}
	}
}
