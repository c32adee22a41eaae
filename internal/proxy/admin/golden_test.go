package admin

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/golden"
	"dahliapin/internal/proxy/metrics"
)

func TestResponsesMatchGoldenFile(t *testing.T) {
	later := time.Now().Add(time.Hour) // so that the snapshots do not become stale
	serving := metrics.Snapshot{
		At: later, Serving: true, Phase: "serving", Attempts: 9, Pending: 2, Members: 5, Unavailable: 1,
		Classes: []metrics.ClassSnapshot{{Name: "look it.up", Satisfied: 3, Rejected: 4, Failed: 5}, {Name: "put"}},
	}
	var got strings.Builder
	for _, node := range []*fakeNode{
		{snapshot: serving},
		{snapshot: metrics.Snapshot{At: later, Phase: "draining"}, err: ErrShuttingDown},
		{snapshot: metrics.Snapshot{Phase: "serving", Serving: true}, err: errors.New("no answer")},
	} {
		addr := serveAdmin(t, node, nil)
		for _, line := range []string{
			"GET /status", "GET /status/metrics", "PUT /standby", "PUT /active", "GET /standby", "GET /none",
			"GET /fleet/status",
		} {
			status, body := call(t, addr, line+" HTTP/1.1\r\nHost: x\r\n\r\n")
			fmt.Fprintf(&got, "%s: %d %q\n", line, status, body)
		}
	}
	golden.Check(t, "answers.txt", []byte(got.String()))
}
