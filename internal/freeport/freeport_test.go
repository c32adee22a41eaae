package freeport

import (
	"net"
	"testing"
)

// ephemeralPortStart is the first port of the ephemeral range for outgoing connections.
const ephemeralPortStart = 32_768

// A process that was given a port of the ephemeral range found it taken by an outgoing connection and exited.
func TestFreeReturnsPortsBelowEphemeralRange(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		addr, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Errorf("%s returned twice", addr)
		}
		seen[addr] = true
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Errorf("%s is not free: %v", addr, err)
			continue
		}
		defer l.Close()
		if port := l.Addr().(*net.TCPAddr).Port; port >= ephemeralPortStart {
			t.Errorf("port %d is in the ephemeral range", port)
		}
	}
}
