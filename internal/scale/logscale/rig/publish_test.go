package rig

import (
	"context"
	"sync"
	"testing"

	"dahliapin/internal/control/controlclient"
)

// Publish calls, of which many are in flight at once, and the phase itself add notes to the report.
func TestConcurrentNotesAreAllKept(t *testing.T) {
	const calls = 200
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := &run{client: controlclient.Client{Servers: []string{"127.0.0.1:1"}}}
	var all sync.WaitGroup
	for range calls {
		all.Go(func() { r.publish(ctx, Steady, r.purges(Steady, 0, 1)) }) // fails, as its context has ended
		all.Go(func() { r.addNote("%s", "of the phase") })
	}
	all.Wait()
	if len(r.report.Notes) != 2*calls {
		t.Errorf("%d notes, want %d", len(r.report.Notes), 2*calls)
	}
}
