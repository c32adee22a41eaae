package judge

import (
	"testing"

	"dahliapin/internal/scale/changes/trace"
	"dahliapin/policy"
)

// sound is a run in which nothing is wrong: two nodes, three voters, entries 1 to 4 of which 2 is a configuration, and a node that comes
// with entry 3.
func sound() (kept [3][]trace.Kept, orders []trace.Ordered, records []trace.Record) {
	for i := range uint64(4) {
		at := policy.Instant(100 * (i + 1))
		for voter := range 3 {
			kept[voter] = append(kept[voter], trace.Kept{At: at + policy.Instant(voter)*10, Marks: []uint64{1000 + i}})
		}
		orders = append(orders, trace.Ordered{Mark: 1000 + i, Index: i + 1, Config: i == 1, Sent: at - 5, Acked: at + 12, Play: "p"})
	}
	record := func(node uint32, what trace.What, index uint64, mark uint64, at policy.Instant) {
		records = append(records, trace.Record{At: at, Index: index, Mark: mark, Node: node, What: what})
	}
	record(1, trace.Began, 0, 0, 50)
	for i := range uint64(4) {
		record(1, trace.Applied, i+1, 1000+i, policy.Instant(100*(i+1)+20))
		record(1, trace.Told, i+1, 0, policy.Instant(100*(i+1)+30))
	}
	record(2, trace.Began, 3, 1001, 330)
	record(2, trace.Applied, 4, 1003, 440)
	return kept, orders, records
}

func judged(kept [3][]trace.Kept, orders []trace.Ordered, records []trace.Record, nodes int) Report {
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
		do   func(kept *[3][]trace.Kept, orders *[]trace.Ordered, records *[]trace.Record)
	}{
		{Missing, func(_ *[3][]trace.Kept, _ *[]trace.Ordered, r *[]trace.Record) { *r = append((*r)[:3:3], (*r)[5:]...) }}, // entry 2 and what was told of it
		{Missing, func(_ *[3][]trace.Kept, _ *[]trace.Ordered, r *[]trace.Record) { *r = (*r)[:len(*r)-1] }},                // the last one
		{Missing, func(_ *[3][]trace.Kept, _ *[]trace.Ordered, r *[]trace.Record) { *r = (*r)[:9] }},                        // a node
		{Doubled, func(_ *[3][]trace.Kept, _ *[]trace.Ordered, r *[]trace.Record) { *r = append(*r, (*r)[len(*r)-1]) }},
		{Doubled, func(_ *[3][]trace.Kept, o *[]trace.Ordered, _ *[]trace.Record) { (*o)[3].Mark = 1002 }},
		{OutOfOrder, func(_ *[3][]trace.Kept, _ *[]trace.Ordered, r *[]trace.Record) { (*r)[len(*r)-1].Mark = 1000 }},
		{OutOfOrder, func(_ *[3][]trace.Kept, o *[]trace.Ordered, _ *[]trace.Record) { (*o)[3].Mark = 4000 }},
		{EarlyAck, func(_ *[3][]trace.Kept, o *[]trace.Ordered, _ *[]trace.Record) { (*o)[2].Acked = 309 }},
		{EarlyAck, func(k *[3][]trace.Kept, _ *[]trace.Ordered, _ *[]trace.Record) { k[0], k[1] = k[0][:3], k[1][:3] }},
		{EarlyInForce, func(_ *[3][]trace.Kept, _ *[]trace.Ordered, r *[]trace.Record) { (*r)[1].At = 109 }},
		{EarlyTold, func(_ *[3][]trace.Kept, _ *[]trace.Ordered, r *[]trace.Record) { (*r)[2].Index = 2 }},
		{OldBeginning, func(_ *[3][]trace.Kept, _ *[]trace.Ordered, r *[]trace.Record) { (*r)[len(*r)-2].Mark = 0 }},
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
