package endpointlist

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
)

// listOf returns the text of a complete list with a number of entries.
func listOf(count int) string {
	var entries []string
	for i := range count {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"10.0.0.1:%d","zone":"z",`+
			`"machineType":"box","cell":3,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}`, i, i+1))
	}
	return `{"generation":41,"reset":true,"instances":[` + strings.Join(entries, ",") + `]}`
}

func TestShortAndLongListsReadAlike(t *testing.T) {
	var r Reader
	for _, count := range []int{0, 1, 3, 2000, 2} { // ordered so that leftover state of a list would show in the next
		list, err := r.Read([]byte(listOf(count)))
		if err != nil || list.Version != 41 || !list.Complete || list.Len() != count {
			t.Fatalf("%d entries: %v, version %d, complete %v, %d entries", count, err, list.Version, list.Complete,
				list.Len())
		}
		i := 0
		list.Each(func(entry *fastjson.Value) {
			if got := string(entry.GetStringBytes("instanceId")); got != fmt.Sprintf("s-%08x", i) {
				t.Errorf("entry %d is %s", i, got)
			}
			i++
		})
		if i != count {
			t.Errorf("got %d entries of %d", i, count)
		}
	}
}

func TestTextThatIsNotAListIsRejected(t *testing.T) {
	long := listOf(2000)
	for _, test := range []struct{ name, text string }{
		{"empty", ""},
		{"array", "[]"},
		{"no entries", `{"generation":1}`},
		{"entries that are not an array", `{"generation":1,"instances":{}}`},
		{"half of a long list", long[:len(long)/2]},
		{"long list without its last byte", long[:len(long)-1]},
		{"long list with a malformed entry", strings.Replace(long, `"cell":3`, `"cell":?`, 1)},
		{"long list without entries", strings.Replace(long, "instances", "entries", 1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r Reader
			if _, err := r.Read([]byte(test.text)); err == nil {
				t.Errorf("%.60q is read as a list", test.text)
			}
		})
	}
}

func TestListWithoutVersionHasNoVersion(t *testing.T) {
	var r Reader
	for _, count := range []int{1, 2000} {
		list, err := r.Read([]byte(strings.Replace(listOf(count), "generation", "version", 1)))
		if err != nil || list.HasVersion || list.Len() != count {
			t.Errorf("%d entries: %v, has a version: %v, %d entries", count, err, list.HasVersion, list.Len())
		}
	}
}

// Guards against parsing a long list as a whole: the tree of 3,200 entries took 14 MB, which the parser retained.
func TestReadingALongListAllocatesLessThanItsText(t *testing.T) {
	text := []byte(listOf(3200))
	var r Reader
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	list, err := r.Read(text)
	if err != nil {
		t.Fatal(err)
	}
	list.Each(func(*fastjson.Value) {})
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > uint64(len(text)) {
		t.Errorf("%d bytes were allocated to read %d", allocated, len(text))
	}
}
