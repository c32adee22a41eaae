package main

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/spf13/cobra"

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

// TestErrorOfAScaleChangesFlagNamesIt checks that the error of a flag out of its bounds names the flag, its value and
// the bounds.
func TestErrorOfAScaleChangesFlagNamesIt(t *testing.T) {
	for args, want := range map[string]string{
		"--nodes 10":                  "--nodes 10 is not from 11 to 1000",
		"--nodes 1001":                "--nodes 1001 is not from 11 to 1000",
		"--real -1":                   "--real -1 is not from 0 to 60",
		"--real 61":                   "--real 61 is not from 0 to 60",
		"--regions 1":                 "--regions 1 is not from 2 to 40",
		"--regions 41":                "--regions 41 is not from 2 to 40",
		"--loss 0.9":                  "--loss 0.9 is not from 0 to 0.2",
		"--loss NaN":                  "--loss NaN is not from 0 to 0.2",
		"--for 1ms":                   "--for 1ms is not from 1s to 1h0m0s",
		"--for 2h":                    "--for 2h0m0s is not from 1s to 1h0m0s",
		"--cut-for 1ms":               "--cut-for 1ms is not from 1s to 1h0m0s",
		"--cut-for 2h":                "--cut-for 2h0m0s is not from 1s to 1h0m0s",
		"--after -1s":                 "--after -1s is not from 0s to 1h0m0s",
		"--after 2h":                  "--after 2h0m0s is not from 0s to 1h0m0s",
		"--cut-purges 0":              "--cut-purges 0 is not from 1 to 60000",
		"--cut-purges 60001":          "--cut-purges 60001 is not from 1 to 60000",
		"--cut-configs -1":            "--cut-configs -1 is not from 0 to 1000",
		"--cut-configs 1001":          "--cut-configs 1001 is not from 0 to 1000",
		"--cut-region -2":             "--cut-region -2 is not from -1 to 10",
		"--cut-region 11":             "--cut-region 11 is not from -1 to 10",
		"--caches -1":                 "--caches -1 is not from 0 to 200",
		"--caches 201":                "--caches 201 is not from 0 to 200",
		"--fills 1ms":                 "--fills 1ms is not from 100ms to 1m0s",
		"--fills 2m":                  "--fills 2m0s is not from 100ms to 1m0s",
		"--plays all":                 "--plays \"all\"",
		"--plays steady,burst,steady": "--plays names phase steady twice",
		"--plays cache-cut":           "phase cache-cut needs caches",
		"--caches 2":                  "phase cut needs --caches 0",
		"":                            "",
		"--after 0s --cut-for 1h --cut-configs 0 --cut-region 10": "",
	} {
		var plan rig.Plan
		var phases string
		c := &cobra.Command{}
		addChangesPlanFlags(c, &plan, &phases)
		if err := c.ParseFlags(strings.Fields(args)); err != nil {
			t.Fatal(err)
		}
		plan.Phases = strings.Split(phases, ",")
		err := checkChangesPlan(&plan)
		if (err == nil) != (want == "") || err != nil && (!errors.Is(err, errUsage) || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", args, err, want)
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
