package fleetconfig

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/config/strictconfig"
)

func TestAControlMachinesFile(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/control.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f, err := ParseControl("f", text); err != nil || f.Purges != nil {
		t.Errorf("%v: purges are carried out though nobody said so: %+v", err, f)
	}
	text = regexp.MustCompile(`\n#(\S)`).ReplaceAll(text, []byte("\n$1")) // with the section
	f, err := ParseControl("f", text)
	if err != nil || f.Self().Name != "control-1" || f.Bounds != DefaultControl().Bounds || f.Purges.Fills() != 3500*time.Millisecond || f.Purges.Each() != 2*time.Millisecond {
		t.Errorf("%v, %+v", err, f)
	}
	for old, bad := range map[string][2]string{
		"id = 1                 ":   {"id = 9                 ", "f:5: control.id: no [[machine]] has the id 9"},
		"name = \"control-2\"":      {"name = \"control-1\"", "f:18: machine.1.name"},
		"learner = true":            {"learner = false", "an odd number is needed"},
		"pace_mb_s = 4":             {"pace_mb = 4", "no such field: bounds.pace_mb"},
		"addr = \"10.0.0.12:7950\"": {"addr = \"control-2\"", "f:19: machine.1.addr"},
		"data = ":                   {"data = \"\" #", "f:9: control.data"},
		"entries = 65536":           {"entries = 5", "bounds.entries: 5 is not from"},
		"discovery = \"127":         {"discovery = \"x127", "f:45: purges.discovery"},
		"discovery = ":              {"# ", "f:44: purges: either discovery or"},
		"fills_s = 3.5":             {"fills_s = 0", "f:47: purges.fills_s: 0 is not from"},
		"flush_each_s = 10":         {"[[purges.cache]]\nid = \"\"", "either discovery or"},
		"# Without the section":     {"[[purges.cache]]\nid = \"\"\naddr = \"127.0.0.1:1\"\n#", "f:43: purges.cache.0.id"},
	} {
		_, err := ParseControl("f", []byte(strings.Replace(string(text), old, bad[0], 1)))
		var faults strictconfig.FieldErrors
		if !errors.As(err, &faults) || !strings.Contains(err.Error(), bad[1]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted %s", old, err, bad[1])
		}
	}
}

// What is not written in the section is as usual.
func TestPurgesAsUsual(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/control.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := ParseControl("f", []byte(string(text)+"\n[purges]\ncommands_s = 100\n[[purges.cache]]\nid = \"a\"\naddr = \"127.0.0.1:1\"\n"))
	if err != nil || f.Purges.FillsS != 3.5 || f.Purges.Each() != 10*time.Millisecond || len(f.Purges.Caches) != 1 {
		t.Errorf("%v, %+v", err, f)
	}
}
