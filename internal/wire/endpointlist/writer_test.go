package endpointlist

import (
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"dahliapin/internal/golden"
)

// Processes of different versions pass snapshots to one another, so their format must match the recorded one. A Reader
// must read all of it, in a short and in a long list.
func TestSnapshotMatchesGoldenFileAndIsRead(t *testing.T) {
	warming := Entry{ID: `a"ä`, Addr: "10.0.0.1:1", Zone: "z", Kind: "box", Group: 3, Lifecycle: "in_service", Weight: 0.5,
		StartedMs: 1_790_000_000_000, AgeMs: 1500.5}
	snapshot := Snapshot{Source: "127.0.0.1:7", Version: 9, HasVersion: true,
		Entries: []Entry{warming, {ID: "b", Lifecycle: "terminated"}}}
	text, err := snapshot.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "snapshot.json", append(text, '\n'))
	for _, more := range []int{0, 2000} {
		for range more {
			snapshot.Entries = append(snapshot.Entries, Entry{ID: "c"})
		}
		if text, err = snapshot.Marshal(); err != nil {
			t.Fatal(err)
		}
		var r Reader
		list, err := r.Read(text)
		if err != nil || list.Source != "127.0.0.1:7" || list.Version != 9 || !list.HasVersion || !list.Complete ||
			list.Len() != more+2 {
			t.Fatalf("read %+v, %v", list, err)
		}
		ages := 0
		list.Each(func(entry *fastjson.Value) {
			if age, ok := Age(entry); ok && age == 1500500*time.Microsecond {
				ages++
			}
		})
		if ages != 1 {
			t.Errorf("the age is read %d times", ages)
		}
	}
}

// A process that has no version passes on its list without one, since 0 would be taken for one.
func TestSnapshotWithoutVersionHasNone(t *testing.T) {
	snapshot := Snapshot{Entries: []Entry{{ID: "b"}}}
	text, err := snapshot.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	var r Reader
	if list, err := r.Read(text); err != nil || list.HasVersion {
		t.Errorf("read %+v, %v", list, err)
	}
}
