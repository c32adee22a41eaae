package handover

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// openDescriptors returns the number of open descriptors of this process.
func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// duplicateListener returns count duplicates of a listener's descriptor, as an old process would send them, and its
// address.
func duplicateListener(t *testing.T, count int) (fds []int, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for range count {
		_ = raw.Control(func(fd uintptr) {
			duplicate, dupErr := syscall.Dup(int(fd))
			if dupErr != nil {
				t.Error(dupErr)
				return
			}
			fds = append(fds, duplicate)
		})
	}
	return fds, l.Addr().String()
}

// A received socket without an address, or with the address of another one, must be closed. Otherwise it stays open
// when the successor opens its own listeners, and clients queued in it are never accepted.
func TestSocketsWithoutUniqueAddressAreClosed(t *testing.T) {
	for name, addresses := range map[string]func(string) []string{
		"more sockets than addresses": func(address string) []string { return []string{address} },
		"one address for all":         func(address string) []string { return []string{address, address, address} },
		"no address":                  func(string) []string { return nil },
	} {
		before := openDescriptors(t)
		fds, address := duplicateListener(t, 3)
		i := &Inherited{Listeners: map[string]net.Listener{}}
		if err := i.addListeners(fds, addresses(address)); !errors.Is(err, errMismatched) {
			t.Errorf("%s: %v", name, err)
		}
		for _, listener := range i.Listeners {
			listener.Close()
		}
		if after := openDescriptors(t); after != before {
			t.Errorf("%s: %d descriptors open, %d before", name, after, before)
		}
	}
}
