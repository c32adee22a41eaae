package gossip

import (
	"fmt"
	"strings"
	"testing"

	"dahliapin/internal/golden"
	"dahliapin/internal/membership"
)

// Guards against a changed encoding: nodes of different versions run side by side during an update, so messages must
// keep the bytes that were recorded.
func TestMessageEncodingMatchesRecording(t *testing.T) {
	var got strings.Builder
	write := func(what string, b []byte, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s %x\n", what, b)
	}
	heartbeat, err := encodeHeartbeat(membership.Heartbeat{
		Process:    77,
		Revision:   5,
		Digest:     0x1_0000_0003,
		Addr:       "127.0.0.1:7001",
		Isolated:   true,
		WantsReply: true,
	})
	write("heartbeat", heartbeat, err)
	full, err := encodeStatement(membership.Statement{
		Process:     77,
		Node:        "n1",
		Incarnation: 3,
		Revision:    9,
		Addr:        "[::1]:7002",
		Leaving:     true,
		YieldsName:  true,
		Isolated:    true,
		Hears:       []membership.ProcessID{1, 2},
		Misses:      []membership.ProcessID{3},
	})
	write("statement", full, err)
	short, err := encodeStatement(membership.Statement{Process: 78, Node: "n2", Revision: 1, Addr: "127.0.0.1:1"})
	write("statement", short, err)
	state, err := encodeState([][]byte{full, short})
	write("exchange", state, err)

	back, err := decodeHeartbeat(heartbeat)
	fmt.Fprintln(&got, back, err)
	for _, b := range [][]byte{full, short, heartbeat, {0xa0}, nil} {
		statement, err := decodeStatement(b)
		fmt.Fprintln(&got, statement, err != nil)
	}
	raw, err := decodeState(state)
	fmt.Fprintf(&got, "%x %v\n", raw, err)
	golden.Check(t, "messages.txt", []byte(got.String()))
}

// FuzzMessages checks that any input is decoded or rejected, and that a decoded message survives another round trip.
func FuzzMessages(f *testing.F) {
	statement, err := encodeStatement(membership.Statement{
		Process:     7,
		Node:        "n1",
		Incarnation: 2,
		Revision:    9,
		Addr:        "10.0.0.1:7946",
		Isolated:    true,
		Hears:       []membership.ProcessID{8},
		Misses:      []membership.ProcessID{9},
	})
	if err != nil {
		f.Fatal(err)
	}
	state, _ := encodeState([][]byte{statement, statement})
	heartbeat, _ := encodeHeartbeat(membership.Heartbeat{Process: 7, Revision: 9, Digest: 1, Addr: "[::1]:1"})
	f.Add(statement)
	f.Add(state)
	f.Add(heartbeat)
	f.Add([]byte{})
	f.Add([]byte{0xbf})
	f.Add([]byte{0xa1, 0x00, 0x01})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, message []byte) {
		if s, err := decodeStatement(message); err == nil && s.Addr != "" {
			expectRoundTrip(t, s)
		}
		if h, err := decodeHeartbeat(message); err == nil && (h.Process == 0 || h.Addr == "") {
			t.Errorf("invalid heartbeat accepted: %+v", h)
		}
		_, _ = decodeState(message)
	})
}

func expectRoundTrip(t *testing.T, s membership.Statement) {
	t.Helper()
	message, err := encodeStatement(s)
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeStatement(message)
	same := back.Process == s.Process && back.Revision == s.Revision && back.Node == s.Node && back.Addr == s.Addr
	if err != nil || !same {
		t.Errorf("%+v became %+v, %v", s, back, err)
	}
}

// Guards against the loss of fields during an update: newer nodes may state fields that an older one does not know. The
// older one must ignore them and forward them unchanged.
func TestUnknownStatementFieldsAreForwarded(t *testing.T) {
	statement, err := encodeStatement(membership.Statement{Process: 7, Node: "n1", Revision: 9, Addr: "10.0.0.1:7946"})
	if err != nil {
		t.Fatal(err)
	}
	newer := append([]byte{statement[0] + 1}, statement[1:]...) // one more pair in the map: 23, true
	newer = append(newer, 0x17, 0xf5)
	if s, err := decodeStatement(newer); err != nil || s.Process != 7 {
		t.Errorf("statement of a newer version is decoded as %+v, %v", s, err)
	}
	state, err := encodeState([][]byte{newer})
	if err != nil {
		t.Fatal(err)
	}
	if back, err := decodeState(state); err != nil || len(back) != 1 || string(back[0]) != string(newer) {
		t.Errorf("state with a statement of a newer version is decoded as %x, %v", back, err)
	}
}
