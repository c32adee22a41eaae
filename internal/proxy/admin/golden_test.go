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

func TestAnswersToOperatorsAreAsRecorded(t *testing.T) {
	var got strings.Builder
	for _, n := range []*standIn{
		{sheet: metrics.Snapshot{At: time.Now().Add(time.Hour), Serving: true, Phase: "serving", Attempts: 9, Pending: 2, Members: 5, Unavailable: 1,
			Classes: []metrics.ClassSnapshot{{Name: "look it.up", Satisfied: 3, Rejected: 4, Failed: 5}, {Name: "put"}}}},
		{sheet: metrics.Snapshot{At: time.Now().Add(time.Hour), Phase: "draining"}, err: ErrEnding},
		{sheet: metrics.Snapshot{Phase: "serving", Serving: true}, err: errors.New("no answer")},
	} {
		addr := open(t, n)
		for _, line := range []string{"GET /status", "GET /status/metrics", "PUT /standby", "PUT /active", "GET /standby", "GET /none", "GET /fleet/status"} {
			status, body := call(t, addr, line+" HTTP/1.1\r\nHost: x\r\n\r\n")
			fmt.Fprintf(&got, "%s: %d %q\n", line, status, body)
		}
	}
	golden.Check(t, "answers.txt", []byte(got.String()))
}
