package sockets

import (
	"net"
	"testing"
	"time"
)

// openedCount returns how many connections of clients the loop is still to be told of.
func openedCount(e *Engine) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for i := range e.events {
		if e.events[i].Kind == Accepted {
			count++
		}
	}
	return count
}

// A client that waited for a descriptor went on waiting when the limit was raised, as at the end of a takeover, until
// something else happened.
func TestRaisingTheLimitLetsAWaitingClientIn(t *testing.T) {
	e := startEngine(t)
	e.SetDescriptorLimit(0)
	clients := e.MaxClients() + 2
	for range clients {
		c, err := net.Dial("tcp", e.Addr(0).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	for by := time.Now().Add(patience); openedCount(e) < clients-2; time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%d clients are in", openedCount(e))
		}
	}
	time.Sleep(pollerWaits) // in which no other may come in
	if opened := openedCount(e); opened >= clients {
		t.Fatalf("all of %d clients are in", opened)
	}
	e.SetDescriptorLimit(100)
	for by := time.Now().Add(patience); openedCount(e) < clients; time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%d of %d clients are in", openedCount(e), clients)
		}
	}
}
