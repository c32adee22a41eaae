package endpointlist

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
)

func text(entries int) string {
	var rows []string
	for i := range entries {
		rows = append(rows, fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"10.0.0.1:%d","zone":"z","machineType":"box","cell":3,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}`, i, i+1))
	}
	return `{"generation":41,"reset":true,"instances":[` + strings.Join(rows, ",") + `]}`
}

func TestShortAndLongListsReadAlike(t *testing.T) {
	var r Reader
	for _, n := range []int{0, 1, 3, 2000, 2} { // in an order that leaves nothing of one to the next
		l, err := r.Read([]byte(text(n)))
		if err != nil || l.Version != 41 || !l.Complete || l.Len() != n {
			t.Fatalf("%d entries: %v, version %d, whole %v, %d entries", n, err, l.Version, l.Complete, l.Len())
		}
		i := 0
		l.Each(func(e *fastjson.Value) {
			if got := string(e.GetStringBytes("instanceId")); got != fmt.Sprintf("s-%08x", i) {
				t.Errorf("entry %d is %s", i, got)
			}
			i++
		})
		if i != n {
			t.Errorf("%d entries came of %d", i, n)
		}
	}
}

func TestWhatIsNoListIsRefused(t *testing.T) {
	long := text(2000)
	for _, bad := range []string{"", "[]", `{"generation":1}`, `{"generation":1,"instances":{}}`, long[:len(long)/2], long[:len(long)-1],
		strings.Replace(long, `"cell":3`, `"cell":?`, 1), strings.Replace(long, "instances", "entries", 1)} {
		var r Reader
		if _, err := r.Read([]byte(bad)); err == nil {
			t.Errorf("%.60q is read as a list", bad)
		}
	}
}

func TestAListWithoutAVersionSaysSo(t *testing.T) {
	var r Reader
	for _, n := range []int{1, 2000} {
		if l, err := r.Read([]byte(strings.Replace(text(n), "generation", "version", 1))); err != nil || l.HasVersion || l.Len() != n {
			t.Errorf("%d entries: %v, has a version: %v, %d entries", n, err, l.HasVersion, l.Len())
		}
	}
}

// The tree of 3,200 entries took 14 MB, for good.
func TestALongListTakesLittleMoreThanItsText(t *testing.T) {
	b := []byte(text(3200))
	var r Reader
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	l, err := r.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	l.Each(func(*fastjson.Value) {})
	runtime.ReadMemStats(&after)
	if took := after.TotalAlloc - before.TotalAlloc; took > uint64(len(b)) {
		t.Errorf("%d bytes were allocated to read %d", took, len(b))
	}
}
