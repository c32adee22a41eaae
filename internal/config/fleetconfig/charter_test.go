package fleetconfig

import (
	"errors"
	"strings"
	"testing"

	"dahliapin/internal/config/strictconfig"
)

// Each fault is told with its line; a file without one is taken, with the usual spans.
func TestFaultsAreToldWithTheirLine(t *testing.T) {
	good := "[fleet]\nlisten = \"10.0.0.1:7946\"\nseeds = [\"10.0.0.2:7946\"]\n"
	f, err := Parse("f", []byte(good))
	if err != nil || f.Fleet.Advertise != "10.0.0.1:7946" || f.Members.Pause().Seconds() != 2 || f.Fleet.KeyBytes() != nil {
		t.Fatalf("%+v, %v", f, err)
	}
	for text, want := range map[string]string{
		good + "[members]\npause_s = -1\n":                      "f:5: members.pause_s",
		good + "[members]\nhello_ms = 1500\n":                   "f:5: members.hello_ms",
		good + "[members]\nforget_s = 1\n":                      "f:5: members.forget_s",
		good + "key = \"abc\"\n":                                "f:4: fleet.key",
		good + "engine = \"own\"\n":                             "f:4: fleet.engine",
		good + "silent = 3\n":                                   "f:4: no such field: fleet.silent",
		good + "[[way]]\nto = \"x\"\nthrough = \"1.2.3.4:5\"\n": "f:5: way.0.to",
		"[fleet]\nlisten = \"0.0.0.0:7946\"\n":                  "f:1: fleet.advertise",
		"[fleet]\nlisten = \"n1:7946\"\n":                       "f:2: fleet.listen",
	} {
		_, err := Parse("f", []byte(text))
		var all strictconfig.FieldErrors
		if !errors.As(err, &all) || !strings.Contains(all.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
