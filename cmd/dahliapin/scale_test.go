package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliapin/internal/scale"
)

// runProgramSplit runs the program to its end, and returns its standard output, standard error and exit code.
func runProgramSplit(t *testing.T, args ...string) (out, errs string, code int) {
	t.Helper()
	var o, e strings.Builder
	program := exec.Command(os.Args[0], args...)
	program.Env = append(os.Environ(), runAsProgramEnv+"=1")
	program.Stdout, program.Stderr = &o, &e
	if err := program.Run(); err != nil && program.ProcessState == nil {
		t.Fatal(err)
	}
	return o.String(), e.String(), program.ProcessState.ExitCode()
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// TestScaleMeasuresSmallFleets runs a small fleet of simulated nodes beside real ones, in processes of their own, over
// regions with a delay. Both roles must be measured at each size, and must send the same within the random variation of
// two seconds. The results are then compared with another budget without being measured again.
func TestScaleMeasuresSmallFleets(t *testing.T) {
	t.Parallel() // its processes wait most of their time
	dir := t.TempDir()
	file, out := filepath.Join(dir, "f.toml"), filepath.Join(dir, "out")
	const fleet = "[places]\nregions = 3\nsites = 3\nzones = 3\n[between]\ndelay_ms = 2\nlate_ms = 1\n" +
		"[list]\ncaches = 5\n[budget]\nkb_per_s = 100\n"
	if err := os.WriteFile(file, []byte(fleet), 0o600); err != nil {
		t.Fatal(err)
	}
	call := []string{
		"scale", "--nodes", "12", "--sizes", "6,12", "--real", "2", "--for", "2s", "--seed", "5", "--out", out, file,
	}
	printed, errs, code := runProgramSplit(t, call...)
	if code != 0 || lastLine(printed) != "all within" {
		t.Fatalf("exit %d: %s%s", code, printed, errs)
	}
	text, err := os.ReadFile(filepath.Join(out, "report.json"))
	var r scale.Report
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	if err != nil || len(r.Sizes) != 2 {
		t.Fatalf("%v: %s", err, text)
	}
	for _, s := range r.Sizes {
		p, forming := s.Phases["steady"], s.Phases["forming"]
		if p == nil || forming == nil || p.Roles[scale.Simulated].Nodes != s.Nodes-2 || p.Roles[scale.Real].Nodes != 2 {
			t.Fatalf("%d nodes: %+v", s.Nodes, s.Phases)
		}
		if p.Alone <= 0 || p.Alone > p.Roles[scale.Real].Processor.Mean || s.AloneMB <= 0 {
			t.Errorf("%d nodes: a node alone takes %v %% and %v MB", s.Nodes, p.Alone, s.AloneMB)
		}
		for role, usage := range p.Roles {
			sent := usage.Flows["hellos out /s"]
			minSent := float64(s.Nodes-1) / 0.3 / 2
			formingFlows := forming.Roles[role].Flows
			if sent.Median < minSent || usage.Processor.Mean <= 0 || usage.Waited.Mean <= 0 ||
				s.Memory[role].Resident.Mean <= 0 || formingFlows["list in B/s"].Mean <= 0 ||
				formingFlows["streams out B/s"].Mean <= 0 {
				t.Errorf("%d nodes, %s: %+v, memory %+v", s.Nodes, role, usage, s.Memory[role])
			}
		}
		simulated := p.Roles[scale.Simulated].Flows["all out B/s"].Mean
		actual := p.Roles[scale.Real].Flows["all out B/s"].Mean
		if simulated < actual*0.5 || actual < simulated*0.5 {
			t.Errorf("%d nodes: simulated ones send %.0f B/s, real ones %.0f", s.Nodes, simulated, actual)
		}
	}
	printed, errs, code = runProgramSplit(t, append(call, "--kept", "--kb", "0.001")...)
	const overBudget = "not within: steady, all sent and received at 12 nodes is "
	if code != 1 || !strings.HasPrefix(lastLine(printed), overBudget) {
		t.Errorf("exit %d: %s%s", code, lastLine(printed), errs)
	}
}

// TestScaleStopsOnSIGTERM checks that a run stops promptly on SIGTERM, even while its nodes are being started, and
// leaves no process behind.
func TestScaleStopsOnSIGTERM(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f.toml")
	if err := os.WriteFile(file, []byte("[starts]\napart_ms = 10000\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	program, logged := startProgram(t, os.Args[0], "scale", "--nodes", "6", "--sizes", "6", "--real", "1",
		"--for", "2s", "--out", t.TempDir(), file)
	for deadline := time.Now().Add(20 * time.Second); !simulatedProcessExists(t); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no process of simulated nodes was started")
		}
	}
	time.Sleep(200 * time.Millisecond) // by now it is starting nodes
	began := time.Now()
	if err := program.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitForLine(t, logged, "context canceled")
	if err := program.Wait(); err == nil || program.ProcessState.ExitCode() != 1 {
		t.Errorf("it ended with %v", err)
	}
	if took := time.Since(began); took > 8*time.Second { // of which up to 5 s for a process that is busy
		t.Errorf("it took %v to end", took)
	}
	if simulatedProcessExists(t) {
		t.Error("a process is left behind")
	}
}

// simulatedProcessExists reports whether a process of simulated nodes of this test binary exists.
func simulatedProcessExists(t *testing.T) bool {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range all {
		text, err := os.ReadFile(path)
		if err == nil && strings.Contains(string(text), os.Args[0]+"\x00scale\x00hollow") {
			return true
		}
	}
	return false
}

// TestScaleStopsOverMemoryLimit checks that a run that exceeds its memory limit stops, reports it, and leaves no
// process behind.
func TestScaleStopsOverMemoryLimit(t *testing.T) {
	out := t.TempDir()
	printed, errs, code := runProgramSplit(t, "scale", "--nodes", "6", "--sizes", "6", "--real", "1",
		"--for", "2s", "--most-mb", "5", "--out", out)
	if code != 1 || !strings.Contains(errs, "3 processes take ") || !strings.Contains(errs, ": 5 are the most") {
		t.Errorf("exit %d: %s%s", code, printed, errs)
	}
	if simulatedProcessExists(t) {
		t.Error("a process is left behind")
	}
}

// TestScaleCallsAreChecked checks that an invalid call exits with 2 and one clear line before anything is started.
func TestScaleCallsAreChecked(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[places]\nregion = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"--nodes", "2", "--out", "x"}, "--nodes 2 is not from 3"},
		{[]string{"--nodes", "many", "--out", "x"}, "invalid argument"},
		{[]string{"--nodes", "12", "--real", "2"}, "scale needs --out"},
		{[]string{"--nodes", "12", "--real", "2", "--sizes", "2", "--out", "x"}, "--sizes: 2"},
		{[]string{"--most-mb", "20000", "--out", "x"}, "--most-mb 20000 is not from"},
		{[]string{"--for", "1h", "--out", "x"}, "--for 1h0m0s is not from"},
		{[]string{"--out", "x", bad}, "bad.toml:2: no such field: places.region"},
		{[]string{"--out", "x", bad + "-gone"}, "cannot be read"},
		{[]string{"--out", "x", "a", "b"}, "takes one file"},
		{[]string{"--core", "x", "--out", "x"}, "invalid argument"},
	} {
		printed, errs, code := runProgramSplit(t, append([]string{"scale"}, c.args...)...)
		if code != 2 || printed != "" || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, c.want) {
			t.Errorf("%v: exit %d, %q, %q", c.args, code, printed, errs)
		}
	}
}

func TestScaleRefusesBadBudgets(t *testing.T) {
	for args, want := range map[string]string{
		"--core NaN":   "--core NaN is not from 0 to 1e+06",
		"--memory Inf": "--memory +Inf is not from 0 to 1e+06",
		"--kb -1":      "--kb -1 is not from 0 to 1e+06",
	} {
		_, errs, code := runProgramSplit(t, append([]string{"scale", "--out", t.TempDir()}, strings.Fields(args)...)...)
		if code != 2 || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, want) {
			t.Errorf("%q: exit %d, %q", args, code, errs)
		}
	}
}

func TestPlacementRefusesBadCalls(t *testing.T) {
	for args, want := range map[string]string{
		"--caches 0":           "--caches 0 is not from 1 to 10000",
		"--keys 0":             "--keys 0 is not from 1 to 10000000",
		"--nodes -1":           "--nodes -1 is not from 1 to 100000",
		"--nodes 0":            "--nodes 0 is not from 1 to 100000",
		"--nodes 100001":       "--nodes 100001 is not from 1 to 100000",
		"--crossing-price NaN": "--crossing-price NaN is not from 0 to 100",
		"--crossing-price Inf": "--crossing-price +Inf is not from 0 to 100",
		"--crossing-price -1":  "--crossing-price -1 is not from 0 to 100",
	} {
		call := append([]string{"scale", "placement"}, strings.Fields(args)...)
		_, errs, code := runProgramSplit(t, call...)
		if code != 2 || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, want) {
			t.Errorf("%q: exit %d, %q", args, code, errs)
		}
	}
}
