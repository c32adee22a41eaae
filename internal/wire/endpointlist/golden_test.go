package endpointlist

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"dahliapin/internal/golden"
)

func TestListsAreReadAsRecorded(t *testing.T) {
	long := `{"generation":9,"reset":true,"instances":[` + strings.Repeat(`{"id":"c1","state":"active"},`, 2000) + `{"id":"c2"}]}`
	var got strings.Builder
	var r Reader
	for _, text := range []string{`{"generation":4,"reset":true,"instances":[{"id":"a"},{"id":"b","zone":"z"}]}`, `{"instances":[]}`,
		"{\n  \"generation\": 5,\n  \"instances\": [ { \"id\": \"a\" } ]\n}", `{"generation":4}`, `{"instances":3}`, `[]`, `{`, long, long[:len(long)-1]} {
		l, err := r.Read([]byte(text))
		fmt.Fprintln(&got, l.Version, l.HasVersion, l.Complete, l.Len(), err)
		n := 0
		l.Each(func(v *fastjson.Value) {
			if n++; n < 4 || n == l.Len() {
				fmt.Fprintln(&got, v)
			}
		})
	}
	golden.Check(t, "lists.txt", []byte(got.String()))
}
