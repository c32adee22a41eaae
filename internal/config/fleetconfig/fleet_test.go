package fleetconfig

import (
	"errors"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/config/strictconfig"
)

const goodFleet = "[fleet]\nlisten = \"10.0.0.1:7946\"\nseeds = [\"10.0.0.2:7946\"]\n"

// expectFault fails the test unless err is a strictconfig.FieldErrors whose text contains the wanted one.
func expectFault(t *testing.T, err error, want string) {
	t.Helper()
	var invalid strictconfig.FieldErrors
	if !errors.As(err, &invalid) || !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want FieldErrors with %q", err, want)
	}
}

// A file with only the required fields is accepted, and the others have their defaults.
func TestFleetConfigDefaults(t *testing.T) {
	f, err := Parse("f", []byte(goodFleet))
	if err != nil {
		t.Fatal(err)
	}
	if f.Fleet.Advertise != "10.0.0.1:7946" || f.Members.Pause() != 2*time.Second || f.Fleet.KeyBytes() != nil {
		t.Errorf("%+v", f)
	}
}

func TestInvalidFleetConfigIsReportedWithFieldAndLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"negative pause", goodFleet + "[members]\npause_s = -1\n", "f:5: members.pause_s"},
		{"heartbeat interval too long", goodFleet + "[members]\nhello_ms = 1500\n", "f:5: members.hello_ms"},
		{"forget time too short", goodFleet + "[members]\nforget_s = 1\n", "f:5: members.forget_s"},
		{"invalid key", goodFleet + "key = \"abc\"\n", "f:4: fleet.key"},
		{"unknown engine", goodFleet + "engine = \"own\"\n", "f:4: fleet.engine"},
		{"unknown field", goodFleet + "silent = 3\n", "f:4: no such field: fleet.silent"},
		{"mapping without address", goodFleet + "[[way]]\nto = \"x\"\nthrough = \"1.2.3.4:5\"\n", "f:5: way.0.to"},
		{"unreachable", "[fleet]\nlisten = \"0.0.0.0:7946\"\n", "f:1: fleet.advertise"},
		{"host name as an address", "[fleet]\nlisten = \"n1:7946\"\n", "f:2: fleet.listen"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.text))
			expectFault(t, err, c.want)
		})
	}
}
