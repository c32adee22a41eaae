package sockets

import (
	"net"
	"testing"
	"time"
)

const (
	closedConns      = 4
	pollerSettleTime = 50 * time.Millisecond // time for the poller to reach the point at which it blocks
)

// accepted dials the engine's listener and returns both ends of the connection.
func accepted(t *testing.T, e *Engine) (net.Conn, *Conn) {
	t.Helper()
	c, err := net.Dial("tcp", e.Addr(0).String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	ev, _ := waitFor(t, e, Accepted)
	return c, ev.Conn
}

// holdPollerAt blocks the poller at an event of the connection c, as a late loop does, until release is called.
func holdPollerAt(t *testing.T, client net.Conn, c *Conn) (release func()) {
	t.Helper()
	c.readMu.Lock()
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pollerSettleTime)
	return c.readMu.Unlock
}

// The poller fetches the events of many descriptors in a batch. If the loop closes a connection before its event is
// handled, and a new connection gets the same descriptor, the stale event must not close the new connection.
func TestAnEventOfAClosedConnectionDoesNotEndTheNextOne(t *testing.T) {
	e := startEngine(t)
	firstClient, first := accepted(t, e)
	secondClient, second := accepted(t, e)
	var clients []net.Conn
	var ending []*Conn
	for range closedConns {
		client, c := accepted(t, e)
		clients, ending = append(clients, client), append(ending, c)
	}
	releaseFirst := holdPollerAt(t, firstClient, first) // the batch consists of this event only
	releaseSecond := holdPollerAt(t, secondClient, second)
	for _, client := range clients {
		client.Close() // the next batch has these closes after the event that blocks the poller
	}
	time.Sleep(pollerSettleTime)
	releaseFirst()
	time.Sleep(pollerSettleTime)
	for _, c := range ending {
		c.Close()
	}
	for range closedConns { // these connections reuse the descriptors
		client, err := net.Dial("tcp", e.Addr(0).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
	}
	time.Sleep(pollerSettleTime)
	releaseSecond()
	time.Sleep(pollerSettleTime)
	opened := map[*Conn]bool{}
	for by := time.Now().Add(waitTimeout); len(opened) < closedConns &&
		time.Now().Before(by); time.Sleep(time.Millisecond) {
		for _, ev := range e.TakeEvents() {
			if ev.Kind == Accepted {
				opened[ev.Conn] = true
			}
			if ev.Kind == Closed && opened[ev.Conn] {
				t.Fatal("a new connection was closed by a stale event")
			}
		}
	}
	if len(opened) != closedConns {
		t.Errorf("%d new connections were accepted, want %d", len(opened), closedConns)
	}
}
