package rig

import (
	"io"
	"testing"
	"time"

	"dahliapin/internal/control/controlclient"
)

// A cut that fails, here as no control server answers, must end its own calls to publish: they would run on while the
// run stops its processes and closes its caches.
func TestFailedCutEndsItsPublishCalls(t *testing.T) {
	const cutFor = 100 * time.Millisecond
	r := &run{
		Plan:    Plan{Regions: 2, CutRegion: 1, CutFor: cutFor, After: time.Hour, PurgesPerSecond: 100, Log: io.Discard},
		network: NewRegionNetwork(2, 0, 1),
		client:  controlclient.Client{Servers: []string{"127.0.0.1:1"}},
	}
	defer r.network.Close()
	if err := r.cutOff(t.Context()); err == nil {
		t.Fatal("no error, though no control server answers")
	}
	ended := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.published)
	}
	atReturn := ended()
	time.Sleep(cutFor)
	if later := ended(); atReturn == 0 || later != atReturn {
		t.Errorf("%d calls had ended with the cut, %d a while later; want as many, and some", atReturn, later)
	}
}
