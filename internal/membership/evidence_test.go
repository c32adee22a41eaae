package membership

import "testing"

// Guards against the removal of a process because of one bad link, or one observer that is cut off itself: at least two
// must miss it, and more than those that hear it or are isolated.
func TestRemovalRequiresMajorityOfObservers(t *testing.T) {
	d := New(Config{}, 1, "n", "a", nil)
	for _, c := range []struct {
		name     string
		evidence evidence
		want     bool
	}{
		{"nobody misses it", evidence{heardBy: 3}, false},
		{"one observer", evidence{missedByTrusted: 1}, false},
		{"two observers", evidence{missedByTrusted: 2}, true},
		{"as many hear it", evidence{missedByTrusted: 2, heardBy: 2}, false},
		{"more miss it", evidence{missedByTrusted: 3, heardBy: 2}, true},
		{"isolated neighbours count for it", evidence{missedByTrusted: 3, heardBy: 2, isolatedNeighbours: 1}, false},
		{"outdated statements do not count", evidence{missedByTrusted: 1, missedByAny: 5}, false},
	} {
		if got := d.isMissed(&peer{evidence: c.evidence}); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against statements from before a partition: one whose process several members miss counts only if that process
// is heard here.
func TestStatementsOfMissedObserversAreNotCurrent(t *testing.T) {
	d := New(Config{HeartbeatTimeout: 10}, 1, "n", "a", nil)
	d.runTime = 100
	missed := evidence{missedByAny: 2}
	for _, c := range []struct {
		name     string
		observer *peer
		want     bool
	}{
		{"this process", d.self, true},
		{"missed by one", &peer{evidence: evidence{missedByAny: 1}}, true},
		{"missed by two, no neighbour", &peer{evidence: missed}, false},
		{"missed by two, heard here", &peer{evidence: missed, isNeighbour: true, heard: true, lastHeartbeat: 95}, true},
		{"missed by two, silent", &peer{evidence: missed, isNeighbour: true, heard: true, lastHeartbeat: 90}, false},
	} {
		if got := d.isCurrent(c.observer); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
