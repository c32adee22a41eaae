package main

import (
	"encoding/json"
	"os"
	"testing"

	"dahliapin/internal/scale/logscale/rig"
)

// runSmall runs scale-changes with real processes for some 25 s, in parallel with other tests that mostly wait, and
// returns the report.
func runSmall(t *testing.T, args ...string) (r rig.Report) {
	t.Helper()
	t.Parallel()
	if testing.Short() {
		t.Skip("runs processes for 25 s, which are built without the race detector")
	}
	dir := t.TempDir()
	all := []string{
		"scale-changes", "--regions", "3", "--for", "6s", "--kill", "--loss", "0.01", "--after", "1s", "--out", dir,
	}
	_, code := runProgram(t, append(all, args...)...)
	text, err := os.ReadFile(dir + "/report.json")
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	if err != nil {
		t.Fatalf("%v, exit %d", err, code)
	}
	return r
}

// TestReplicatedLogAtSmallSize runs the rig at its smallest size with all failures: packets are lost, the leader is
// killed and restarted, and a region is cut off. Only the checker's rules are tested, as times depend on the machine.
func TestReplicatedLogAtSmallSize(t *testing.T) {
	r := runSmall(t, "--nodes", "9", "--real", "1", "--plays", "steady,cut", "--cut-for", "2s", "--cut-purges", "400",
		"--cut-configs", "3", "--seed", "5")
	c := r.Check
	if len(c.Breaches) > 0 || c.Entries < 57+6+403+28+20 || c.Applied != c.Entries*9 || c.Presumed > 0 ||
		c.Refused > 0 || r.RealComplete != 1 {
		t.Errorf("%+v\n%q, real nodes with all entries: %d", c, r.Notes, r.RealComplete)
	}
}

func TestScaleChangesCallsAreChecked(t *testing.T) {
	for _, bad := range [][]string{
		{"--nodes", "1"}, {"--plays", "all"}, {"--loss", "0.9"}, {"--loss", "NaN"}, {"--plays", "cache-cut"}, {"--caches", "2"},
		{"--fills", "1ms"}, {"more"}, {"--no-such"},
	} {
		if _, code := runProgram(t, append([]string{"scale-changes", "--out", t.TempDir()}, bad...)...); code != 2 {
			t.Errorf("%q: exit %d", bad, code)
		}
	}
}

// TestCachePurgesAtSmallSize purges caches while they are filled, while the leader is killed and restarted, and while
// one cache does not answer. No value may be served that is older than a purge that counts as done, and all purges must
// be done in the end.
func TestCachePurgesAtSmallSize(t *testing.T) {
	r := runSmall(t, "--nodes", "3", "--real", "0", "--plays", "steady,cache-cut", "--cut-for", "3s", "--caches", "6",
		"--fills", "500ms", "--seed", "6")
	c := r.Caches
	if len(r.Check.Breaches) > 0 || c == nil || len(c.Breaches) > 0 || c.Purges < 57+38 || c.Caches != 6 ||
		c.Deletes < 2*6*c.Purges || c.Served == 0 || r.CacheRecoveryS <= 0 {
		t.Errorf("%+v\n%+v\n%q", r.Check, c, r.Notes)
	}
}
