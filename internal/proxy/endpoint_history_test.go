package proxy

import (
	"testing"

	"dahliapin/policy"
)

// Discovery may come back with a list that is older than the one that the node has received, because a replica of it
// lags behind. That put draining and removed caches back into service, dropped new ones, and made cold ones look warm,
// in a process that had received the newer list as in its successor. Once discovery has caught up, its list holds.
func TestOlderNewsUndoNothing(t *testing.T) {
	for name, replaced := range map[string]bool{"same process": false, "successor": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSuccessionTest(t)
			p := s.startTold()
			if replaced {
				p = s.replace(p)
			}
			s.discovery.set(false, knownVersion, s.olderEntries()...)
			s.waitUntil(p, "the older list is received", func() bool {
				version, _ := p.endpoints.watch.poller.Version()
				return version == knownVersion
			})
			s.expectTold(p)
			if replaced { // the next process must not take the older version for the newest
				p = s.replace(p)
				s.expectTold(p)
			}
			s.discovery.set(false, toldVersion+1, s.olderEntries()...)
			s.waitUntil(p, "the newer list is applied", func() bool {
				drained, removed := p.endpoints.byID["drained"], p.endpoints.byID["removed"]
				return p.endpoints.byID["added"] == nil && removed != nil && drained.entry.Lifecycle == policy.Ready
			})
		})
	}
}

// A discovery that has lost its data counts its versions anew. The node takes its list as it is after maxOutdatedTime.
// Until then that list can take caches out of service, but not put them back.
func TestDiscoveryThatCountsAnewIsBelievedAfterATime(t *testing.T) {
	s := newSuccessionTest(t)
	p := s.startTold()
	entries := []string{s.entry("steady", "terminating", 0), s.entry("drained", "in_service", 0)}
	s.discovery.set(false, 1, entries...)
	lifecycle := func(id policy.EndpointID) func() policy.Lifecycle {
		return func() policy.Lifecycle {
			if endpoint := p.endpoints.byID[id]; endpoint != nil {
				return endpoint.entry.Lifecycle
			}
			return policy.Removed
		}
	}
	s.waitUntil(p, "the steady cache drains", func() bool { return lifecycle("steady")() == policy.Draining })
	if got := inLoop(t, p, lifecycle("drained")); got != policy.Draining {
		t.Errorf("the draining cache is in state %v after older news", got)
	}
	p.runInLoop(func() {
		p.endpoints.history.outdatedSince = p.endpoints.history.outdatedSince.Add(-maxOutdatedTime)
	})
	s.discovery.set(false, 2, entries...)
	s.waitUntil(p, "the list is taken as it is", func() bool {
		return lifecycle("drained")() == policy.Ready && lifecycle("added")() == policy.Removed
	})
}
