package scenario

import (
	"reflect"
	"testing"
)

// A failed schedule is reproduced from its seed or its file. Therefore the same seed must give the same events, and
// encoding and parsing must preserve them. All faults must lie between the forming time and the quiet time.
func TestNemesisSchedulesAreReproducible(t *testing.T) {
	events := 0
	for seed := range int64(200) {
		s := Nemesis(seed, 5+int(seed%9), 60)
		text, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		back, err := Parse("nemesis.toml", text)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		if !reflect.DeepEqual(back.Events, Nemesis(seed, 5+int(seed%9), 60).Events) || len(back.Events) == 0 {
			t.Errorf("seed %d: parsed events differ or are empty: %+v", seed, back.Events)
		}
		events += len(back.Events)
		if less := back.Without(0); len(less.Events) != len(back.Events)-1 {
			t.Errorf("seed %d: Without(0) left %d of %d events", seed, len(less.Events), len(back.Events))
		}
		for _, e := range s.Events {
			if e.AtS < formingTime || e.AtS+e.ForS > s.Seconds-quietTime+1e-6 {
				t.Errorf("seed %d: %+v is outside the time for faults", seed, e)
			}
		}
	}
	if events < 1000 {
		t.Errorf("%d events in 200 schedules, want 1000 or more", events)
	}
}
