package main

import (
	"context"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/emulator/onwire"
	"dahliapin/internal/emulator/script"
	"dahliapin/internal/records"
)

// The command must leave what stands alone, keep its rights, and never leave half a file.
func TestMigrateWritesBesideAndNothingElse(t *testing.T) {
	dir := t.TempDir()
	old, from, to, bad := `{"settings":{"service_grades":[{"name":"read"}]}}`, dir+"/old", dir+"/new", dir+"/bad"
	os.WriteFile(from, []byte(old), 0o640)
	os.WriteFile(bad, []byte("{"), 0o600)
	for _, c := range []struct {
		args  string
		code  int
		files int
	}{{from + " " + to + " --dry-run", 0, 2}, {bad + " " + to, 1, 2}, {dir + "/none " + to, 1, 2}, {from, 1, 2}, {from + " " + from + " --replace", 1, 2},
		{from + " " + to, 0, 3}, {from + " " + to, 1, 3}, {from + " " + to + " --replace", 0, 3}} {
		out, code, _ := program(t, nil, append([]string{"migrate"}, strings.Fields(c.args)...)...)
		files, _ := os.ReadDir(dir)
		if code != c.code || len(files) != c.files || code == 1 && strings.Count(out, "\n") != 1 || code == 0 && !strings.Contains(out, "settings.n_instances: ") {
			t.Errorf("%s: ended with %d, %d files, said %s", c.args, code, len(files), out)
		}
	}
	kept, _ := os.ReadFile(from)
	if info, err := os.Stat(to); string(kept) != old || err != nil || info.Mode().Perm() != 0o640 {
		t.Error("the old file was changed, or the new one has not its rights")
	}
}

// moved starts nodes on what migrate makes of their configuration, with what an operator has to fill in.
type moved struct{ dir string }

func (m moved) Start(name string, text []byte, note func(records.Entry, time.Time)) (onwire.Process, error) {
	if m.dir == "" { // gone back
		return onwire.Embedded{}.Start(name, text, note)
	}
	os.WriteFile(m.dir+"/old", text, 0o600)
	if err := migrateFile(io.Discard, m.dir+"/old", m.dir+"/new", false, true); err != nil {
		return nil, err
	}
	text, _ = os.ReadFile(m.dir + "/new")
	return onwire.Embedded{}.Start(name, []byte(strings.Replace(string(text), `"cross_zone":0`, `"cross_zone":0.2`, 1)), note)
}

// A node on a migrated file must serve, and ask its own zone's caches; on the old one it asks all.
func TestAMigratedNodeKeepsToItsZoneAndGoesBack(t *testing.T) {
	s, err := script.Parse("test.toml", []byte(strings.Replace(strings.Split(short, "[[event]]")[0], "caches = 4", "caches = 12\nzones = [\"a\", \"b\"]", 1)))
	for _, m := range []moved{{t.TempDir()}, {}} {
		report, bad := onwire.Play(context.Background(), s, m, nil)
		if err != nil || bad != nil {
			t.Fatal(err, bad)
		}
		far := 0
		for _, c := range report.Servers {
			if n, _ := strconv.Atoi(strings.TrimPrefix(string(c.ID), "c")); n > 0 && n%2 == 0 { // of zone b
				far += int(c.Legs)
			}
		}
		if all := report.Grades[0]; (far == 0) != (m.dir != "") || all.Asked == 0 || !report.Good() {
			t.Errorf("%+v: %d legs crossed, %+v", m, far, all)
		}
	}
}
