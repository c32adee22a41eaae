package realtime

import (
	"net"
	"testing"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/emulator/client"
)

// Guards against a verdict on a node that was made active again before it had to have closed its connections: a soak
// reported such a node, 4 s after the beginning of a standby of 1 s. A node that stays on standby is still reported,
// and so is one whose next standby has begun.
func TestOnlyANodeThatStaysOnStandbyMustCloseItsConns(t *testing.T) {
	const timeout = 200 * time.Millisecond
	m := &member{rig: newRig(parse(t, baseScenario), settings.Settings{}, nil, nil), pool: poolWithOpenConn(t)}
	ended := m.recordStandby(true)
	if m.closesConns(timeout, ended) {
		t.Error("a connection is open on standby, and not reported")
	}
	m.recordStandby(false)
	if !m.closesConns(timeout, ended) {
		t.Error("the standby has ended, and its connection is reported")
	}
	if m.closesConns(timeout, m.recordStandby(true)) {
		t.Error("a connection is open in the next standby, and not reported")
	}
	m.pool.Close()
	if !m.closesConns(timeout, m.recordStandby(true)) {
		t.Error("no connection is open, and one is reported")
	}
}

// poolWithOpenConn returns a pool with a connection to a server that does not answer.
func poolWithOpenConn(t *testing.T) *client.Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	pool := &client.Pool{Addr: l.Addr().String()}
	pool.Send(&client.Request{ID: "a", Key: "k", Timeout: time.Minute}, func(client.Response) {})
	for deadline := time.Now().Add(5 * time.Second); pool.OpenConns() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the pool has no connection")
		}
	}
	return pool
}
