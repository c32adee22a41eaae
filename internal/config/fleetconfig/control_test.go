package fleetconfig

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// deployedControl returns the text of deploy/control.toml, the example for operators.
func deployedControl(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../../deploy/control.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// withPurges returns the text of deploy/control.toml with its section [purges], which is commented out, enabled.
func withPurges(t *testing.T) string {
	t.Helper()
	return regexp.MustCompile(`\n#(\S)`).ReplaceAllString(deployedControl(t), "\n$1")
}

// A control server without the section [purges] carries out no purges.
func TestControlConfigWithoutPurges(t *testing.T) {
	f, err := ParseControl("f", []byte(deployedControl(t)))
	if err != nil {
		t.Fatal(err)
	}
	if f.Purges != nil {
		t.Errorf("purges are enabled without the section [purges]: %+v", f.Purges)
	}
}

func TestControlConfigWithPurges(t *testing.T) {
	f, err := ParseControl("f", []byte(withPurges(t)))
	if err != nil {
		t.Fatal(err)
	}
	if f.Self().Name != "control-1" || f.Bounds != DefaultControl().Bounds {
		t.Errorf("%+v", f)
	}
	if f.Purges.MaxFillTime() != 3500*time.Millisecond || f.Purges.CommandInterval() != 2*time.Millisecond {
		t.Errorf("%+v", f.Purges)
	}
}

func TestInvalidControlConfigIsReportedInOneLine(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"id that is not listed", "id = 1                 ", "id = 9                 ",
			"f:5: control.id: no [[machine]] has the id 9"},
		{"duplicate name", "name = \"control-2\"", "name = \"control-1\"", "f:18: machine.1.name"},
		{"even number of voters", "learner = true", "learner = false", "an odd number is needed"},
		{"unknown field", "pace_mb_s = 4", "pace_mb = 4", "no such field: bounds.pace_mb"},
		{"host name as an address", "addr = \"10.0.0.12:7950\"", "addr = \"control-2\"", "f:19: machine.1.addr"},
		{"no data directory", "data = ", "data = \"\" #", "f:9: control.data"},
		{"few entries", "entries = 65536", "entries = 5", "bounds.entries: 5 is not from"},
		{"discovery without address", "discovery = \"127", "discovery = \"x127", "f:45: purges.discovery"},
		{"neither discovery nor caches", "discovery = ", "# ", "f:44: purges: either discovery or"},
		{"fill time of zero", "fills_s = 3.5", "fills_s = 0", "f:47: purges.fills_s: 0 is not from"},
		{"discovery and caches", "flush_each_s = 10", "[[purges.cache]]\nid = \"\"", "either discovery or"},
		{"cache without id", "# Without the section", "[[purges.cache]]\nid = \"\"\naddr = \"127.0.0.1:1\"\n#",
			"f:43: purges.cache.0.id"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(withPurges(t), c.old, c.replacement, 1)
			_, err := ParseControl("f", []byte(text))
			expectFault(t, err, c.want)
			if err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("more than one line: %v", err)
			}
		})
	}
}

// A field that is missing from the section [purges] has its default.
func TestPurgesDefaults(t *testing.T) {
	section := "\n[purges]\ncommands_s = 100\n[[purges.cache]]\nid = \"a\"\naddr = \"127.0.0.1:1\"\n"
	f, err := ParseControl("f", []byte(deployedControl(t)+section))
	if err != nil {
		t.Fatal(err)
	}
	if f.Purges.MaxFillS != 3.5 || f.Purges.CommandInterval() != 10*time.Millisecond || len(f.Purges.Caches) != 1 {
		t.Errorf("%+v", f.Purges)
	}
}
