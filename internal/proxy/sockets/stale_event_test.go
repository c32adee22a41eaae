package sockets

import (
	"net"
	"testing"
	"time"
)

const (
	endingConns = 4
	pollerWaits = 50 * time.Millisecond // in which the poller comes to where it has to wait
)

// accepted dials the engine's listener and returns both ends.
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

// holdPollerAt has the poller wait as it comes to the event of a connection, as it does where the loop is late, until
// the returned function is called.
func holdPollerAt(t *testing.T, client net.Conn, c *Conn) (release func()) {
	t.Helper()
	c.readMu.Lock()
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pollerWaits)
	return c.readMu.Unlock
}

// The poller fetches the events of many descriptors at once. One whose connection the loop has closed before its turn,
// and whose descriptor a new connection has got, ended that one.
func TestAnEventOfAClosedConnectionDoesNotEndTheNextOne(t *testing.T) {
	e := startEngine(t)
	firstClient, first := accepted(t, e)
	secondClient, second := accepted(t, e)
	var clients []net.Conn
	var ending []*Conn
	for range endingConns {
		client, c := accepted(t, e)
		clients, ending = append(clients, client), append(ending, c)
	}
	releaseFirst := holdPollerAt(t, firstClient, first) // in a batch of this event alone
	releaseSecond := holdPollerAt(t, secondClient, second)
	for _, client := range clients {
		client.Close() // the next batch has these ends behind the event at which the poller is held
	}
	time.Sleep(pollerWaits)
	releaseFirst()
	time.Sleep(pollerWaits)
	for _, c := range ending {
		c.Close()
	}
	for range endingConns { // these get the descriptors
		client, err := net.Dial("tcp", e.Addr(0).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
	}
	time.Sleep(pollerWaits)
	releaseSecond()
	time.Sleep(pollerWaits)
	opened := map[*Conn]bool{}
	for by := time.Now().Add(patience); len(opened) < endingConns && time.Now().Before(by); time.Sleep(time.Millisecond) {
		for _, ev := range e.TakeEvents() {
			if ev.Kind == Accepted {
				opened[ev.Conn] = true
			}
			if ev.Kind == Closed && opened[ev.Conn] {
				t.Fatal("a new connection was ended")
			}
		}
	}
	if len(opened) != endingConns {
		t.Errorf("%d new connections were opened, not %d", len(opened), endingConns)
	}
}
