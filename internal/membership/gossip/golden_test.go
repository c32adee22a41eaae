package gossip

import (
	"fmt"
	"strings"
	"testing"

	"dahliapin/internal/golden"
	"dahliapin/internal/membership"
)

func TestMessagesBetweenNodesAreAsRecorded(t *testing.T) {
	var got strings.Builder
	write := func(what string, b []byte, err error) {
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s %x\n", what, b)
	}
	hello := membership.Heartbeat{Process: 77, Revision: 5, Digest: 0x1_0000_0003, Addr: "127.0.0.1:7001", SelfDoubt: true, WantsReply: true}
	h, err := encodeHello(hello)
	write("heartbeat", h, err)
	statement := membership.Statement{Process: 77, Node: "n1", Incarnation: 3, Revision: 9, Addr: "[::1]:7002", Leaving: true, YieldsName: true, SelfDoubt: true,
		Hears: []membership.ProcessID{1, 2}, Misses: []membership.ProcessID{3}}
	s, err := encodeStatement(statement)
	write("statement", s, err)
	plain, err := encodeStatement(membership.Statement{Process: 78, Node: "n2", Revision: 1, Addr: "127.0.0.1:1"})
	write("statement", plain, err)
	state, err := encodeState([][]byte{s, plain})
	write("exchange", state, err)
	back, err := decodeHello(h)
	fmt.Fprintln(&got, back, err)
	for _, b := range [][]byte{s, plain, h, {0xa0}, nil} {
		one, err := decodeStatement(b)
		fmt.Fprintln(&got, one, err != nil)
	}
	raw, err := decodeState(state)
	fmt.Fprintf(&got, "%x %v\n", raw, err)
	golden.Check(t, "messages.txt", []byte(got.String()))
}
