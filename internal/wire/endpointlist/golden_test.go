package endpointlist

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"dahliapin/internal/golden"
)

func TestListsMatchGoldenFile(t *testing.T) {
	entries := strings.Repeat(`{"id":"c1","state":"active"},`, 2000)
	long := `{"generation":9,"reset":true,"instances":[` + entries + `{"id":"c2"}]}`
	var got strings.Builder
	var r Reader
	for _, text := range []string{
		`{"generation":4,"reset":true,"instances":[{"id":"a"},{"id":"b","zone":"z"}]}`,
		`{"instances":[]}`,
		"{\n  \"generation\": 5,\n  \"instances\": [ { \"id\": \"a\" } ]\n}",
		`{"generation":4}`,
		`{"instances":3}`,
		`[]`,
		`{`,
		long,
		long[:len(long)-1],
	} {
		list, err := r.Read([]byte(text))
		fmt.Fprintln(&got, list.Version, list.HasVersion, list.Complete, list.Len(), err)
		n := 0
		list.Each(func(entry *fastjson.Value) {
			n++
			if n < 4 || n == list.Len() {
				fmt.Fprintln(&got, entry)
			}
		})
	}
	golden.Check(t, "lists.txt", []byte(got.String()))
}
