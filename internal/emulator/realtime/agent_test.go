package realtime

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// A poll beyond the backlog of discovery must be refused at once, not after the work that is queued before it.
func TestDiscoveryRefusesAPollAtOnce(t *testing.T) {
	s := parse(t, baseScenario)
	const workMs = 60_000 // of an accepted poll
	s.Discovery.WatchMs, s.Discovery.WholeMs, s.Discovery.BacklogMs = workMs, workMs, 100
	settings, err := s.DecodedSettings(s.Fleet.Zones[0])
	if err != nil {
		t.Fatal(err)
	}
	r := newRig(s, settings, nil, nil)
	if delay, accepted := r.admitPoll(true); !accepted || delay < workMs/2*time.Millisecond {
		t.Fatalf("the first poll is accepted: %v, after %v", accepted, delay)
	}
	a, err := r.newAgent(0)
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	ctx, cancel := context.WithTimeout(context.Background(), workMs/4*time.Millisecond)
	defer cancel()
	poll, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.addr+"/registry/instances", nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(poll)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the second poll has status %d", answer.StatusCode)
	}
}
