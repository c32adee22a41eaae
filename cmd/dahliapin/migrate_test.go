package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"dahliapin/internal/emulator/realtime"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

const (
	poolConfig = `{"name":"n1","listen":"10.1.2.3:11211","discovery":"127.0.0.1:1","seed":"a1","extra":7,"known":{},` +
		`"settings":{"service_grades":[{"name":"read"}],"bounds":null,"rules":{"colds":1},"zone":"z","n_instances":2}}`
	migratedConfig = `{"name":"n1","listen":"127.0.0.1:11211","discovery":"127.0.0.1:1","seed":"a1","extra":7,` +
		`"settings":{"service_grades":[{"name":"read"}],"bounds":{"streams_per_conn":1},"rules":{"colds":1},` +
		`"zone":"z","n_instances":2,"failure_domains":["z"]}}` + "\n"
	unknownKeys    = "extra: settings.rules.colds:"
	migrateRemarks = unknownKeys + " name: seed: listen: known: settings.n_instances: settings.failure_domains: " +
		"settings.tariffs.cross_zone: settings.rules.overload_factor:"
)

// TestMigratePrintsWhatItCannotCarryOver checks that migrate prints what the operator has to fill in and what was lost,
// leaves existing files alone, and leaves no partial file. The calls run in order in one folder.
func TestMigratePrintsWhatItCannotCarryOver(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"old": poolConfig, "bad": "{", "none": `{"settings":{}}`, "five": strings.Replace(poolConfig, "null", "5", 1),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
	}
	remarkKey := regexp.MustCompile(`(?m)^[a-z._]+:|^nothing`)
	for _, call := range []struct {
		from, to, flag string
		keys           string // of the remarks; empty for a call that fails
		target         string // content of the target then
	}{
		{"old", "new", "--dry-run", migrateRemarks + " nothing", ""},
		{"bad", "new", "", "", ""},
		{"none", "new", "", "", ""},
		{"five", "new", "", "", ""},
		{"gone", "new", "", "", ""},
		{"old", "old", "--replace", "", poolConfig},
		{"old", "new", "", migrateRemarks, migratedConfig},
		{"old", "new", "", "", migratedConfig},
		{"old", "new", "--replace", migrateRemarks, migratedConfig},
		{"new", "twice", "", unknownKeys, migratedConfig},
	} {
		args := []string{"migrate", filepath.Join(dir, call.from), filepath.Join(dir, call.to)}
		if call.flag != "" {
			args = append(args, call.flag)
		}
		out, code, _ := runProgramInTempDir(t, nil, args...)
		keys := strings.Join(remarkKey.FindAllString(out, -1), " ")
		fails := call.keys == ""
		if fails != (code != 0) || !fails && keys != call.keys || fails && strings.Count(out, "\n") != 1 {
			t.Errorf("%+v: exit %d, printed %s", call, code, out)
		}
		if text, _ := os.ReadFile(filepath.Join(dir, call.to)); string(text) != call.target {
			t.Errorf("%+v: left %s", call, text)
		}
	}
	left, _ := os.ReadDir(dir)
	info, err := os.Stat(filepath.Join(dir, "new"))
	old, _ := os.ReadFile(filepath.Join(dir, "old"))
	if string(old) != poolConfig || len(left) != 6 || err != nil || info.Mode().Perm() != 0o640 {
		t.Error("the old file was changed, or something was left behind, or the new one has other permissions")
	}
}

// migratedNodes starts nodes with their configuration migrated, including the values that an operator fills in.
type migratedNodes struct {
	realtime.Starter
	dir string // for the files; empty to start nodes with the old form
}

func (m migratedNodes) Start(o realtime.NodeSpec) (realtime.Process, error) {
	text := o.Configuration
	if m.dir != "" {
		os.WriteFile(m.dir+"/old", text, 0o600)
		migrateFile(io.Discard, m.dir+"/old", m.dir+"/new", false, true)
		text, _ = os.ReadFile(m.dir + "/new") // empty if the migration failed, so that no node starts
		text = []byte(strings.Replace(string(text), `"cross_zone":0`, `"cross_zone":0.2`, 1))
	}
	o.Configuration = text
	return m.Starter.Start(o)
}

// TestMigratedNodeKeepsToItsZone checks that a node with a migrated configuration serves, and sends attempts only to
// caches in its own zone. With the old configuration it sends them to all zones.
func TestMigratedNodeKeepsToItsZone(t *testing.T) {
	text, _, _ := strings.Cut(shortScenario, "[[event]]")
	text = strings.Replace(text, "caches = 4", "caches = 12\nzones = [\"a\", \"b\"]", 1)
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(runAsProgramEnv, "1")
	run := &realtime.Processes{Program: os.Args[0], Dir: t.TempDir()}
	for _, m := range []migratedNodes{{run, t.TempDir()}, {run, ""}} {
		isMigrated := m.dir != ""
		result := runUntilConclusive(t, s, m)
		far := uint64(0)
		for i := 1; i < 12; i += 2 { // zone b
			far += result.Servers[i].Attempts
		}
		if (far == 0) != isMigrated || result.Classes[0].Asked == 0 || !result.Passed() {
			var text strings.Builder
			result.Print(&text)
			t.Errorf("migrated: %v, %d attempts crossed zones\n%s", isMigrated, far, &text)
		}
	}
}

// maxScenarioRuns is the maximum number of runs of a scenario until the machine is not too busy for a verdict.
const maxScenarioRuns = 4

// runUntilConclusive runs a scenario until the machine was not too busy for a verdict. It fails the test after
// maxScenarioRuns runs.
func runUntilConclusive(t *testing.T, s *scenario.Scenario, starter realtime.Starter) *report.Report {
	t.Helper()
	for range maxScenarioRuns {
		result, err := realtime.Run(context.Background(), s, starter, nil)
		if err != nil {
			t.Fatal(err)
		}
		if result.MachineTooBusy == "" {
			return result
		}
		t.Logf("inconclusive: %s", result.MachineTooBusy)
	}
	t.Fatalf("no conclusive run in %d", maxScenarioRuns)
	return nil
}
