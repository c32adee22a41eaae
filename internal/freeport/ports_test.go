package freeport

import (
	"net"
	"testing"
)

// What a system may give to any connection is no address that can be promised to a process.
func TestWhatIsHandedOutIsFreeAndNobodyGetsItByChance(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		at, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[at] {
			t.Errorf("%s twice", at)
		}
		seen[at] = true
		l, err := net.Listen("tcp", at)
		if err != nil {
			t.Errorf("%s is not free: %v", at, err)
			continue
		}
		defer l.Close()
		if p := l.Addr().(*net.TCPAddr).Port; p >= 32_768 {
			t.Errorf("%d is one that systems give to connections", p)
		}
	}
}
