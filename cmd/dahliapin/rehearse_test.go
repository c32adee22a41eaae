package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/proxy/eventlog"
)

const shortScenario = `seconds = 5
[fleet]
nodes = 2
caches = 4
[traffic]
per_second = 150
[[grade]]
name = "read"
share = 1
benefit = 1
soft_ms = 200
hard_ms = 500
work_ms = 2
tries = 3
[[event]]
at_s = 1
do = "node_kill"
nodes = [1]
[[event]]
at_s = 0.5
do = "silent"
caches = ["c2"]
`

// runProgramInTempDir runs the program with a temporary folder of its own, and returns its output, its exit code and
// the names of the files it left there. after is called once the program has started, unless it is nil.
func runProgramInTempDir(t *testing.T, after func(*os.Process), args ...string) (out string, code int, left []string) {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	tmp := t.TempDir()
	c.Env = append(os.Environ(), runAsProgramEnv+"=1", "TMPDIR="+tmp)
	var output bytes.Buffer
	c.Stdout, c.Stderr = &output, &output
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	if after != nil {
		after(c.Process)
	}
	_ = c.Wait() // the exit code is checked by the caller
	entries, err := os.ReadDir(tmp)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		left = append(left, e.Name())
	}
	return output.String(), c.ProcessState.ExitCode(), left
}

func scriptFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// noRuleBroken is in the output of a rehearsal that broke no rule.
const noRuleBroken = "no rule is broken ([0 0 0 0])"

// machineTooBusy is in the output of a rehearsal that is inconclusive because the machine was too busy.
const machineTooBusy = "not judged: the machine was too busy"

// expectRehearsalKeepsRules runs a scenario with node processes, again if the machine was too busy for a verdict. It
// must meet its expectations, break no rule and leave no file.
func expectRehearsalKeepsRules(t *testing.T, text string) {
	t.Helper()
	script := scriptFile(t, text)
	out, code, left := runProgramInTempDir(t, nil, "rehearse", script)
	for run := 1; run < maxScenarioRuns && strings.Contains(out, machineTooBusy); run++ {
		t.Log(out)
		out, code, left = runProgramInTempDir(t, nil, "rehearse", script)
	}
	if code != 0 || len(left) > 0 || !strings.Contains(out, noRuleBroken) {
		t.Errorf("exit %d, left %v: %s", code, left, out)
	}
}

// TestRehearsalReportsAndLeavesNoFiles runs node processes and kills one. The report must describe what happened and
// include the records of the processes, the exit code must be 0, and no file may be left. The time until the silent
// cache is avoided is bounded tightly only in virtual time: here it depends on the machine, and was mostly 0.2 s but
// 1.7 s in one run.
func TestRehearsalReportsAndLeavesNoFiles(t *testing.T) {
	dir := t.TempDir()
	script := scriptFile(t, shortScenario+"[expect]\nsatisfied={read=0.5}\n[[expect.avoided]]\nserver=\"c2\"\nby_s=5\n")
	out, code, left := runProgramInTempDir(t, nil, "rehearse", script, "--out", dir)
	for run := 1; run < maxScenarioRuns && strings.Contains(out, machineTooBusy); run++ {
		t.Log(out)
		_ = os.Remove(dir + "/records.jsonl")
		out, code, left = runProgramInTempDir(t, nil, "rehearse", script, "--out", dir)
	}
	if code != 0 || len(left) > 0 || !strings.Contains(out, noRuleBroken) {
		t.Errorf("exit %d, left %v: %s", code, left, out)
	}
	var r report.Report
	text, _ := os.ReadFile(dir + "/report.json")
	if err := json.Unmarshal(text, &r); err != nil || r.Classes[0].Asked < 300 {
		t.Errorf("%v: %.200s", err, text)
	}
	lines, _ := os.ReadFile(dir + "/records.jsonl")
	if !strings.Contains(string(lines), `"node":"n2","server":"c2","what":"`+eventlog.EndpointAvoided) {
		t.Errorf("no record of a process: %s", lines)
	}
}

func TestInterruptedRehearsalLeavesNoFiles(t *testing.T) {
	interrupt := func(p *os.Process) {
		time.Sleep(time.Second)
		p.Signal(syscall.SIGINT)
	}
	out, code, left := runProgramInTempDir(t, interrupt, "rehearse", scriptFile(t, shortScenario))
	if code != 1 || len(left) > 0 || strings.Contains(out, "asked") {
		t.Errorf("interrupted: exit %d, left %v: %s", code, left, out)
	}
}

// TestRehearsalRunsOperatorActions replaces the process of one node under load and sets the other node to standby. A
// lost request, a process that does not report success or does not exit, and a connection still open four seconds after
// the call each fail the rehearsal.
func TestRehearsalRunsOperatorActions(t *testing.T) {
	text, _, _ := strings.Cut(shortScenario, "[[event]]")
	text = strings.Replace(text, "seconds = 5", "seconds = 7", 1) + `[[event]]
at_s = 0.5
do = "node_upgrade"
nodes = [1]
[[event]]
at_s = 2
do = "node_standby"
nodes = [2]
for_s = 4.2
[[event]]
at_s = 1
do = "node_scrape"
nodes = [2]
for_s = 5
[expect]
satisfied={read=0.5}
`
	expectRehearsalKeepsRules(t, text)
}

// Guards against a rehearsal that hides what an upgrade forgets: the new process had the newest list in its
// configuration. It must learn from its predecessor that a cache drains, since discovery does not answer and the
// configured list is as old as the run.
func TestRehearsalUpgradesWithoutDiscovery(t *testing.T) {
	text, _, _ := strings.Cut(shortScenario, "[[event]]")
	text = strings.Replace(text, "seconds = 5", "seconds = 7", 1) + `[[event]]
at_s = 0.5
do = "drain"
caches = ["c1"]
for_s = 6.4
[[event]]
at_s = 1.5
do = "discovery_down"
for_s = 5
[[event]]
at_s = 2
do = "node_upgrade"
nodes = [1, 2]
[expect]
satisfied={read=0.5}
`
	expectRehearsalKeepsRules(t, text)
}

// TestInvalidCommandLinesFailWithOneLine checks that an invalid call prints one line, exits with the right code, and
// runs nothing.
func TestInvalidCommandLinesFailWithOneLine(t *testing.T) {
	config := scriptFile(t, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1",`+
		`"settings":{"service_grades":[{"name":"read"}]}}`)
	const failed, badCall = 1, 2
	for _, test := range []struct {
		code int
		args []string
	}{
		{failed, []string{"check", "--config", config, "--operator", scriptFile(t, "[[listener]]\nport = 1")}},
		{failed, []string{"check", "--config", config, "--fleet", scriptFile(t, "[fleet]\nport = 1")}},
		{failed, []string{"serve", "--records", "/nowhere/at/all"}},
		{failed, []string{"serve", "--config", config, "--trace", t.TempDir() + "/trace"}},
		{failed, []string{"rehearse", "nowhere.toml"}},
		{failed, []string{"rehearse", "upgrade", "--virtual"}},
		{failed, []string{"rehearse", "members-loss", "--virtual"}},
		{failed, []string{"rehearse", scriptFile(t, "secs = 1")}},
		{failed, []string{"rehearse", "moves", "--decider", "ring"}},
		{failed, []string{"rehearse", "moves", "--virtual", "--decider", "best"}},
		{failed, []string{
			"rehearse", scriptFile(t, shortScenario+"[[event]]\nat_s = 1\ndo = 'between_cut'\nfor_s = 1"),
		}},
		{failed, []string{"ops"}},
		{failed, []string{"ops", "standbye"}},
		{failed, []string{"ops", "status", "--at", "here"}},
		{failed, []string{"ops", "status", "--at", "127.0.0.1:1"}},
		{failed, []string{"fleet"}},
		{failed, []string{"fleet", "statuss"}},
		{failed, []string{"fleet", "status", "--at", "here"}},
		{failed, []string{"fleet", "members", "--at", "127.0.0.1:1"}},
		{failed, []string{"load", "example.org:80"}},
		{failed, []string{"load", "192.0.2.1:80"}},
		{failed, []string{"load", "127.0.0.1:1", "--rate", "-1"}},
		{failed, []string{"load", "127.0.0.1:1", "--protocol", "htp"}},
		{failed, []string{"load", "127.0.0.1:1", "--for", "99h"}},
		{failed, []string{"demo", "--for", "0s"}},
		{failed, []string{"demo", "--nodes", "2"}},
		{badCall, []string{"nemesis", "--nodes", "2"}},
		{badCall, []string{"nemesis", "--for", "1s"}},
		{badCall, []string{"nemesis", "--what", "all"}},
		{badCall, []string{"nemesis", "--seeds"}},
		{badCall, []string{"nemesis", "now"}},
	} {
		out, code, _ := runProgramInTempDir(t, nil, test.args...)
		isOneLine := strings.Count(out, "\n") == 1 && strings.HasPrefix(out, "dahliapin: ")
		if code != test.code || !isOneLine {
			t.Errorf("%v: exit %d, %q", test.args, code, out)
		}
	}
}

// TestCheckReportsAllErrorsOfFile checks that check reports all errors of a file at once, as an operator would
// otherwise have to run it once per error.
func TestCheckReportsAllErrorsOfFile(t *testing.T) {
	config := scriptFile(t, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1",`+
		`"settings":{"service_grades":[{"name":"read"}]}}`)
	faulty := scriptFile(t, "[[listener]]\nlisten = 'x'\nprotocol = 'y'\n")
	out, _, _ := runProgramInTempDir(t, nil, "check", "--config", config, "--operator", faulty)
	if !strings.Contains(out, ":2: ") || !strings.Contains(out, ":3: ") {
		t.Errorf("the output does not report both errors: %q", out)
	}
}

// TestProcessViewsMatchFaults runs five node processes: one is killed, one is partitioned so that it hears the others
// but none hears it, and one is upgraded, which the others must not notice. The checker must find every view correct.
func TestProcessViewsMatchFaults(t *testing.T) {
	t.Parallel() // its processes wait most of their time
	if testing.Short() {
		t.Skip("runs for 24 s")
	}
	text := strings.Replace(strings.Split(shortScenario, "[[event]]")[0], "seconds = 5", "seconds = 24", 1)
	text = strings.Replace(text, "nodes = 2", "nodes = 5", 1) + "[together]\n" + `[[event]]
at_s = 4
do = "node_kill"
nodes = [2]
for_s = 5
[[event]]
at_s = 8
do = "between_cut"
from = [3]
for_s = 6
[[event]]
at_s = 17
do = "node_upgrade"
nodes = [4]
[expect]
most_view_changes = 4
`
	out, code, left := runProgramInTempDir(t, nil, "rehearse", scriptFile(t, text))
	const viewsAreRight = "met      views are as what befell nodes has them (0 wrong"
	if code != 0 || len(left) > 0 || !strings.Contains(out, viewsAreRight) {
		t.Errorf("exit %d, left %v:\n%s", code, left, out)
	}
}

// TestNemesisShortensASchedule checks that a schedule that breaks a rule is reduced to the events that it needs,
// written in that form, and named in the last line, and that runs on a machine that was too busy count as inconclusive.
func TestNemesisShortensASchedule(t *testing.T) {
	dir, runs := t.TempDir(), 0
	needs := func(s *scenario.Scenario, do string) bool {
		return slices.ContainsFunc(s.Events, func(e scenario.Event) bool { return e.Do == do })
	}
	run := func(s *scenario.Scenario) (*report.Report, error) {
		runs++
		isMet := !needs(s, "node_pause") || !needs(s, "node_kill")
		return &report.Report{Expected: []report.Expected{{What: "all is well", Met: isMet}}}, nil
	}
	schedule := func(k int) *scenario.Scenario { return scenario.Nemesis(int64(k), 12, 90) }
	var output bytes.Buffer
	err := runUntilBreach(&output, 50, 100, dir, schedule, run)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if !errors.Is(err, errNotMet) {
		t.Fatalf("%v\n%s", err, &output)
	}
	s, err := scenario.Read(lines[len(lines)-1])
	if err != nil || len(s.Events) != 2 || !needs(s, "node_pause") || !needs(s, "node_kill") {
		t.Errorf("shortened to %+v, %v", s, err)
	}
	if _, err := os.Stat(filepath.Join(dir, "report.json")); err != nil {
		t.Error(err)
	}
	output.Reset()
	busy := func(*scenario.Scenario) (*report.Report, error) { return &report.Report{MachineTooBusy: "late"}, nil }
	err = runUntilBreach(&output, 3, 100, dir, schedule, busy)
	if err != nil || !strings.HasSuffix(output.String(), "3 schedules: nothing broke; 3 of them not judged\n") {
		t.Errorf("%v: %s", err, &output)
	}
}
