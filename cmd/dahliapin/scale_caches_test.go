package main

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dahliapin/internal/scale/cachegrowth"
	"dahliapin/internal/scale/logscale/rig"
)

// TestScaleCachesCountsStayWithinLimits checks that counts stay within the limits of the operators' table with four
// times the caches. Times and memory are not checked, as other tests share the machine.
func TestScaleCachesCountsStayWithinLimits(t *testing.T) {
	t.Parallel() // its processes wait most of their time
	out := t.TempDir()
	_, errs, code := runProgramSplit(t, "scale", "caches", "--caches", "60,240", "--days", "quiet,release",
		"--for", "2s", "--share", "1", "--out", out)
	if code > 1 { // 1 if a value that this test does not check is over its limit
		t.Fatalf("exit %d: %s", code, errs)
	}
	text, err := os.ReadFile(filepath.Join(out, "report.json"))
	var report cachegrowth.Report
	if err == nil {
		err = json.Unmarshal(text, &report)
	}
	if err != nil || len(report.Days) != 4 {
		t.Fatalf("%v: %s%s", err, text, errs)
	}
	for i, day := range report.Days {
		first := report.Days[i/2*2].Figures
		for _, row := range []cachegrowth.Metric{
			cachegrowth.Descriptors, cachegrowth.Connections, cachegrowth.ListKilobytes,
		} {
			value, limit := day.Figures[row], row.Limit(first[row], day.Caches)
			if value <= 0 || !row.Within(value, limit) {
				t.Errorf("%s, %d caches: %v %v, at most %v", day.Day, day.Caches, row, value, limit)
			}
		}
	}
}

func TestScaleCachesRefusesBadCalls(t *testing.T) {
	for args, want := range map[string]string{
		"":                                     "--out",
		"--out x --caches 800,200":             "--caches",
		"--out x --caches 5":                   "--caches",
		"--out x --caches 200,6400":            "--caches",
		"--out x --for 1s":                     "--for",
		"--out x --share 0":                    "--share",
		"--out x --share NaN":                  "--share NaN",
		"--out x --rate 0":                     "--rate",
		"--out x --nodes 0":                    "--nodes",
		"--out x --days noon":                  "release",
		"--out x --caches two":                 "--caches",
		"--out x --days quiet --more sensible": "--more",
	} {
		_, errs, code := runProgramSplit(t, append([]string{"scale", "caches"}, strings.Fields(args)...)...)
		if code != 2 || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, want) {
			t.Errorf("%q: exit %d, %q", args, code, errs)
		}
	}
}

// NaN is in no range, although it is neither below nor above the bounds of one.
func TestScaleRefusesNaN(t *testing.T) {
	growth := growthOptions{sizes: []int{minGrowthCaches}, out: "x"}
	growth.plan.DayLength = minDayLength
	growth.plan.Rate = 1
	growth.plan.Nodes = 1
	growth.plan.Share = 1
	if err := growth.check(); err != nil {
		t.Fatalf("--share 1: %v", err)
	}
	growth.plan.Share = math.NaN()
	if growth.check() == nil {
		t.Error("--share NaN is accepted")
	}

	changes := rig.Plan{
		Nodes:       minRegions,
		Regions:     minRegions,
		SteadyFor:   minPhaseTime,
		CutFor:      minPhaseTime,
		CutPurges:   1,
		MaxFillTime: minFillTime,
	}
	if err := checkChangesBounds(&changes); err != nil {
		t.Fatalf("--loss 0: %v", err)
	}
	changes.Loss = math.NaN()
	if checkChangesBounds(&changes) == nil {
		t.Error("--loss NaN is accepted")
	}
}
