package sockets

import (
	"net"
	"testing"
	"time"
)

// acceptedCount returns the number of queued events that announce a client's connection.
func acceptedCount(e *Engine) int {
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

// A client that waits for a descriptor must be accepted when the limit is raised, as at the end of a takeover, and not
// only after another event.
func TestRaisingTheLimitAcceptsAWaitingClient(t *testing.T) {
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
	for by := time.Now().Add(waitTimeout); acceptedCount(e) < clients-2; time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%d clients were accepted", acceptedCount(e))
		}
	}
	time.Sleep(pollerSettleTime) // no other client may be accepted in this time
	if opened := acceptedCount(e); opened >= clients {
		t.Fatalf("all of %d clients were accepted", opened)
	}
	e.SetDescriptorLimit(100)
	for by := time.Now().Add(waitTimeout); acceptedCount(e) < clients; time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%d of %d clients were accepted", acceptedCount(e), clients)
		}
	}
}
