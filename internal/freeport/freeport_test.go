package freeport

import (
	"net"
	"testing"
)

// systemPorts is the first port that systems give to outgoing connections.
const systemPorts = 32_768

// A port that a system may give to any connection can't be promised to a process: one that came later found its
// address in use and ended.
func TestFreeAddressesAreOutsideTheSystemsRange(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		addr, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Errorf("%s twice", addr)
		}
		seen[addr] = true
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Errorf("%s is not free: %v", addr, err)
			continue
		}
		defer l.Close()
		if port := l.Addr().(*net.TCPAddr).Port; port >= systemPorts {
			t.Errorf("%d is one that systems give to connections", port)
		}
	}
}
