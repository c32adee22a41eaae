package main

import (
	"context"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	"dahliapin/internal/emulator/realtime"
	"dahliapin/internal/emulator/scenario"
)

// What an operator must fill in, and what was lost, must be said; what stands is left alone, and no half file is left.
func TestMigrateSaysWhatItCouldNotCarryOverAndLeavesWhatStands(t *testing.T) {
	const old = `{"name":"n1","listen":"10.1.2.3:11211","discovery":"127.0.0.1:1","seed":"a1","extra":7,"known":{},"settings":{"service_grades":` +
		`[{"name":"read"}],"bounds":null,"rules":{"colds":1},"zone":"z","n_instances":2}}`
	const want = `{"name":"n1","listen":"127.0.0.1:11211","discovery":"127.0.0.1:1","seed":"a1","extra":7,"settings":{"service_grades":` +
		`[{"name":"read"}],"bounds":{"streams_per_conn":1},"rules":{"colds":1},"zone":"z","n_instances":2,"failure_domains":["z"]}}` + "\n"
	const unknown = "extra: settings.rules.colds:"
	const says = unknown + " name: seed: listen: known: settings.n_instances: settings.failure_domains: settings.tariffs.cross_zone: settings.rules.overload_factor:"
	dir := t.TempDir()
	for name, text := range map[string]string{"old": old, "bad": "{", "none": `{"settings":{}}`, "five": strings.Replace(old, "null", "5", 1)} {
		os.WriteFile(dir+"/"+name, []byte(text), 0o640)
	}
	for _, c := range []struct{ args, says, file string }{{"old new --dry-run", says + " nothing", ""}, {"bad new", "", ""}, {"none new", "", ""},
		{"five new", "", ""}, {"gone new", "", ""}, {"old old --replace", "", ""}, {"old new", says, want}, {"old new", "", want},
		{"old new --replace", says, want}, {"new twice", unknown, want}} {
		args := strings.Fields(c.args)
		out, code, _ := program(t, nil, append([]string{"migrate", dir + "/" + args[0], dir + "/" + args[1]}, args[2:]...)...)
		keys := strings.Join(regexp.MustCompile(`(?m)^[a-z._]+:|^nothing`).FindAllString(out, -1), " ")
		if text, _ := os.ReadFile(dir + "/" + args[1]); string(text) != c.file && args[1] != "old" || (code == 0) != (c.says != "") ||
			code == 0 && keys != c.says || code != 0 && strings.Count(out, "\n") != 1 {
			t.Errorf("%s: ended with %d, said %s, left %s", c.args, code, out, text)
		}
	}
	left, _ := os.ReadDir(dir)
	info, err := os.Stat(dir + "/new")
	if kept, _ := os.ReadFile(dir + "/old"); string(kept) != old || len(left) != 6 || err != nil || info.Mode().Perm() != 0o640 {
		t.Error("the old file was changed, or something was left behind, or the new one has not its rights")
	}
}

// moved starts nodes on what migrate makes of their configuration, with what an operator fills in.
type moved struct {
	realtime.Starter
	dir string
}

func (m moved) Start(o realtime.NodeSpec) (realtime.Process, error) {
	text := o.Configuration
	if m.dir != "" {
		os.WriteFile(m.dir+"/old", text, 0o600)
		migrateFile(io.Discard, m.dir+"/old", m.dir+"/new", false, true)
		text, _ = os.ReadFile(m.dir + "/new") // nothing, and no node, where that failed
		text = []byte(strings.Replace(string(text), `"cross_zone":0`, `"cross_zone":0.2`, 1))
	}
	o.Configuration = text
	return m.Starter.Start(o)
}

// A node on a migrated file must serve, and ask its own zone's caches; gone back to the old one it asks all.
func TestAMigratedNodeKeepsToItsZoneAndGoesBack(t *testing.T) {
	s, err := scenario.Parse("test.toml", []byte(strings.Replace(strings.Split(short, "[[event]]")[0], "caches = 4",
		"caches = 12\nzones = [\"a\", \"b\"]", 1)))
	t.Setenv(asProgram, "1")
	run := &realtime.Processes{Program: os.Args[0], Dir: t.TempDir()}
	for _, m := range []moved{{run, t.TempDir()}, {run, ""}} {
		report, bad := realtime.Play(context.Background(), s, m, nil)
		if err != nil || bad != nil {
			t.Fatal(err, bad)
		}
		far := uint64(0)
		for i := 1; i < 12; i += 2 { // zone b
			far += report.Servers[i].Attempts
		}
		if (far == 0) != (m.dir != "") || report.Classes[0].Asked == 0 || !report.Good() {
			var text strings.Builder
			report.Print(&text)
			t.Errorf("migrated: %v, %d attempts crossed zones\n%s", m.dir != "", far, &text)
		}
	}
}
