package controlwire

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/golden"
)

func TestFramesMatchTheGoldenFile(t *testing.T) {
	messages := []Message{
		{Kind: KindHello, Index: 12, LogID: 99, Fresh: true, Nodes: []NodeReport{{
			Node: "n1", Process: 7, Applied: 12, Config: 3, Refused: 4, PresumedPurged: 5, Gaps: 6, Reason: "why",
			Server: 1, AgeMs: 20, NotStarted: true,
		}}},
		{Kind: KindStart, Index: 3, LogID: 99, BaseConfig: cbor.RawMessage{0x01}},
		{Kind: KindEntries, Last: 40, HasLeader: true, Entries: []cbor.RawMessage{{0x02}, {0x03}}},
		{Kind: KindProgress, Index: 13},
		{Kind: KindPublish, Batch: []byte("batch")},
		{Kind: KindOrdered, Indexes: []uint64{4, 5}},
		{Kind: KindRejected, Reason: "no leader"},
		{Kind: KindStatusRequest},
		{
			Kind: KindStatusTable,
			Servers: []ServerReport{{
				ID: 1, Name: "m1", Learner: true, IsLeader: true, Last: 9, Floor: 2, Term: 3, AgeMs: 4,
				NeverSeen: true, Config: 5, BytesIn: 6, BytesOut: 7, Invalid: 8, Rejected: 9, RunsPurges: true,
				NoCacheList: true,
			}},
			Caches: []purge.Progress{{
				Cache: "c1", Incarnation: 5, Log: 99, Done: 6, QuickDeleted: 7, Overdue: 8, Flushing: true, Reason: "r",
				UnansweredMs: 9, Server: 1, AgeMs: 10, OtherLog: true,
			}},
		},
		{Kind: KindRaft, RaftMessages: [][]byte{{1, 2}, {3}}},
		{Kind: KindHello, Index: 4, Incarnation: 77},
		{Kind: KindRaft, RaftMessages: [][]byte{{1, 2}}, Incarnation: 77},
	}
	var got bytes.Buffer
	peer, follower, client := Preface(StreamPeer, "fleet"), Preface(StreamFollower, "fleet"), Preface(StreamClient, "")
	fmt.Fprintf(&got, "%x %x %x\n", peer, follower, client)
	for _, message := range messages {
		b, err := EncodeFrame(message, MaxFrameBytes)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%x\n", b)
		sender, receiver := net.Pipe()
		go func() {
			_, _ = sender.Write(b)
			_ = sender.Close()
		}()
		decoded, n, err := NewStream(receiver, MaxFrameBytes).Receive(5 * time.Second)
		again, _ := EncodeFrame(decoded, MaxFrameBytes)
		if err != nil || n != len(b) || !bytes.Equal(again, b) {
			t.Errorf("message of kind %d is changed by decoding and encoding: %v", message.Kind, err)
		}
	}
	golden.Check(t, "frames.txt", got.Bytes())
}
