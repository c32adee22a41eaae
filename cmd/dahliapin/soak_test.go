package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/emulator/realtime"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

const (
	soakFor   = 20 * time.Second
	soakSeeds = 6 // a minute in total, as two run in parallel
)

// TestShortSoak runs a short soak with the same schedules each time. A long one is started manually with dahliapin
// soak.
func TestShortSoak(t *testing.T) {
	processes := testProcesses(t)
	options := soakOptions{firstSeed: 1, lastSeed: soakSeeds, duration: soakFor, parallel: 2, out: t.TempDir()}
	if testing.Short() {
		options.lastSeed = 2
	}
	var output bytes.Buffer
	err := options.run(&output, func(s *scenario.Scenario) (*report.Report, error) {
		return realtime.Run(context.Background(), s, processes, nil)
	})
	t.Logf("%s", output.String())
	if err != nil {
		t.Error(err)
	}
}

// testProcesses returns a starter that runs the test binary as node processes.
func testProcesses(t *testing.T) *realtime.Processes {
	t.Setenv(runAsProgramEnv, "1")
	return &realtime.Processes{Program: os.Args[0], Dir: t.TempDir()}
}

// nonDrainingNodes starts nodes that exit immediately on SIGTERM, and lose their requests in flight.
type nonDrainingNodes struct{ *realtime.Processes }

type nonDrainingProcess struct{ realtime.Process }

func (p nonDrainingProcess) End() { p.Kill() }

func (h nonDrainingNodes) Start(o realtime.NodeSpec) (realtime.Process, error) {
	p, err := h.Processes.Start(o)
	if err != nil {
		return nil, err
	}
	return nonDrainingProcess{p}, nil
}

// TestSoakFindsANodeThatDoesNotDrain checks that a soak distinguishes a node that exits immediately from one that
// drains. A soak that does not would prove nothing, and neither would runs that are inconclusive: the test fails if the
// machine is too busy for a verdict in all runs.
func TestSoakFindsANodeThatDoesNotDrain(t *testing.T) {
	s, err := scenario.Parse("restart.toml", []byte(`
seconds = 10
[fleet]
nodes = 2
caches = 4
[origin]
work_ms = 60
[allowed]
slack_ms = 200
late_answer_ms = 500
[traffic]
per_second = 200
keys = 5000
until_kill = true
[[grade]]
name = "read"
share = 1
benefit = 1
soft_ms = 200
hard_ms = 800
work_ms = 60
[[event]]
at_s = 3
do = "node_restart"
nodes = [1]
`))
	if err != nil {
		t.Fatal(err)
	}
	for _, drains := range []bool{false, true} {
		processes := testProcesses(t)
		var runner realtime.Starter = processes
		if !drains {
			runner = nonDrainingNodes{processes}
		}
		r := runUntilConclusive(t, s, runner)
		if drains != (r.Rules[0] == 0) {
			var text bytes.Buffer
			r.Print(&text)
			t.Errorf("nodes drain: %v, rule 1 is broken %d times\n%s", drains, r.Rules[0], text.String())
		}
	}
}

// TestSoakShrinksAFailingSchedule checks that a failing schedule is written so that it reproduces the failure
// unattended, both in full and shrunk to the two events that the failure needs. Runs with other failures, and runs that
// are inconclusive on a busy machine, must not count as the same failure.
func TestSoakShrinksAFailingSchedule(t *testing.T) {
	dir, runs := t.TempDir(), 0
	const rule = 2
	run := func(s *scenario.Scenario) (*report.Report, error) {
		runs++
		r := &report.Report{Expected: []report.Expected{{What: "no rule is broken", Met: true}}}
		failsOtherwise := runs%3 == 0
		switch {
		case hasEvent(s, "errors") && hasEvent(s, "node_restart"):
			r.Rules[rule-1] = 1
			r.Expected[0].Met = false
		case failsOtherwise:
			r.Rules[0] = 1
			r.Expected[0].Met = false
		case runs%2 == 0:
			r.MachineTooBusy = "late"
			r.Rules[rule-1] = 1
		}
		return r, nil
	}
	options := soakOptions{
		firstSeed: 1, lastSeed: 1, duration: time.Minute, parallel: 1,
		shrink: shrinkLimits{maxRuns: 1000, duration: time.Hour}, out: dir,
	}
	var output bytes.Buffer
	err := options.run(&output, run)
	if !errors.Is(err, errNotMet) || !strings.HasSuffix(output.String(), "\nsoak-1\n") {
		t.Fatalf("%v\n%s", err, &output)
	}
	whole, err := scenario.Read(filepath.Join(dir, "soak-1.toml"))
	if err != nil || len(whole.Events) < 20 {
		t.Errorf("whole: %v, %+v", err, whole)
	}
	path := filepath.Join(dir, "soak-1-shrunk.toml")
	shrunk, err := scenario.Read(path)
	if err != nil || !strings.Contains(output.String(), path) {
		t.Fatalf("%v\n%s", err, &output)
	}
	isNeeded := hasEvent(shrunk, "errors") && hasEvent(shrunk, "node_restart")
	if len(shrunk.Events) != 2 || !isNeeded || shrunk.Fleet.Nodes != 1 {
		t.Errorf("shrunk to %d nodes, %+v", shrunk.Fleet.Nodes, shrunk.Events)
	}
	for _, name := range []string{"soak-1/report.json", "soak-1-shrunk/report.json", coverageFile} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
}

// TestSoakStopsAfterInterruptedRun guards against a soak that cannot be stopped: an interrupt ends only the runs in
// progress, so the soak must not go on with the next seeds.
func TestSoakStopsAfterInterruptedRun(t *testing.T) {
	runs := 0
	interrupted := func(*scenario.Scenario) (*report.Report, error) {
		runs++
		return nil, context.Canceled
	}
	options := soakOptions{firstSeed: 1, lastSeed: 9, duration: soakFor, parallel: 1, out: t.TempDir()}
	if err := options.run(io.Discard, interrupted); !errors.Is(err, context.Canceled) || runs != 1 {
		t.Errorf("%v after %d runs", err, runs)
	}
}

func hasEvent(s *scenario.Scenario, do string) bool {
	return slices.ContainsFunc(s.Events, func(e scenario.Event) bool { return e.Do == do })
}

func TestSoakCallsAreChecked(t *testing.T) {
	for _, args := range [][]string{
		{"--seeds", "x"}, {"--seeds", "0..3"}, {"--seeds", "5..4"}, {"--seeds", "1..5000"}, {"--for", "1s"},
		{"--at-once", "0"}, {"--at-once", "99"}, {"more"}, {"--unknown"},
		{"--shrink", "-1"}, {"--shrink", "1001"}, {"--shrink-for", "-1s"}, {"--shrink-for", "25h"},
	} {
		c := soakCommand()
		c.SetArgs(args)
		c.SetOut(io.Discard)
		c.SetErr(io.Discard)
		c.SilenceUsage = true
		c.SilenceErrors = true
		if err := c.Execute(); !errors.Is(err, errUsage) {
			t.Errorf("%v: %v", args, err)
		}
	}
}

func TestSoakSchedulesAreReproducibleAndParse(t *testing.T) {
	const seeds = 300
	again := scenario.Soaks(1, seeds, soakFor.Seconds())
	for i, s := range scenario.Soaks(1, seeds, soakFor.Seconds()) {
		text, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := scenario.Parse(s.Name, text); err != nil {
			t.Errorf("seed %d: %v", s.Seed, err)
		}
		if second, _ := again[i].Text(); !bytes.Equal(text, second) {
			t.Errorf("seed %d gives another schedule the second time", s.Seed)
		}
	}
}
