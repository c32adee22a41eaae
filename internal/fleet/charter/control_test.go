package charter

import (
	"errors"
	"os"
	"strings"
	"testing"

	"dahliapin/internal/strictly"
)

func TestAControlMachinesFile(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/control.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := ParseControl("f", text)
	if err != nil || f.Self().Name != "control-1" || f.Bounds != UsualControl().Bounds {
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
	} {
		_, err := ParseControl("f", []byte(strings.Replace(string(text), old, bad[0], 1)))
		var faults strictly.Faults
		if !errors.As(err, &faults) || !strings.Contains(err.Error(), bad[1]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted %s", old, err, bad[1])
		}
	}
}
