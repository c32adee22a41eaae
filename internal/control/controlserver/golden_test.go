package controlserver

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	purger "dahliapin/internal/control/purger"
	"dahliapin/internal/golden"
)

func TestStreamsOfTheLogAreAsRecorded(t *testing.T) {
	words := []word{
		{Kind: wordHello, Index: 12, Log: 99, Fresh: true, Rows: []row{{Node: "n1", Process: 7, Applied: 12, Config: 3, Refused: 4, Presumed: 5, Gaps: 6,
			Reason: "why", Machine: 1, AgoMs: 20, Begins: true}}},
		{Kind: wordBegin, Index: 3, Log: 99, Base: cbor.RawMessage{0x01}},
		{Kind: wordEntries, Head: 40, Led: true, Entries: []cbor.RawMessage{{0x02}, {0x03}}},
		{Kind: wordApplied, Index: 13}, {Kind: wordPublish, Batch: []byte("batch")}, {Kind: wordOrdered, Indexes: []uint64{4, 5}},
		{Kind: wordRefused, Reason: "no leader"}, {Kind: wordAsk},
		{Kind: wordTable, Machines: []machineRow{{ID: 1, Name: "m1", Learner: true, Leads: true, Head: 9, Floor: 2, Term: 3, AgoMs: 4, Unheard: true, Config: 5,
			In: 6, Out: 7, Foreign: 8, Away: 9, Purges: true, NoList: true}},
			Caches: []purger.Progress{{Cache: "c1", Started: 5, Log: 99, Done: 6, First: 7, Late: 8, Flushing: true, Reason: "r", QuietMs: 9, Machine: 1, AgoMs: 10, Foreign: true}}},
		{Kind: wordRaft, Raft: [][]byte{{1, 2}, {3}}},
	}
	var got bytes.Buffer
	fmt.Fprintf(&got, "%x %x %x\n", preface(kindPeer, "fleet"), preface(kindNode, "fleet"), preface(kindCaller, ""))
	for _, w := range words {
		b, err := frame(w, longestFrame)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%x\n", b)
		here, there := net.Pipe()
		go func() {
			_, _ = here.Write(b)
			_ = here.Close()
		}()
		back, n, err := newLine(there, longestFrame).hear(5 * time.Second)
		again, _ := frame(back, longestFrame)
		if err != nil || n != len(b) || !bytes.Equal(again, b) {
			t.Errorf("read as another word: %v", err)
		}
	}
	golden.Check(t, "frames.txt", got.Bytes())
}
