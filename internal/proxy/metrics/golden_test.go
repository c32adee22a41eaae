package metrics

import (
	"bytes"
	"fmt"
	"testing"

	"dahliapin/internal/golden"
)

func TestCountersHaveTheNamesThatWereRecorded(t *testing.T) {
	var got bytes.Buffer
	c := Counters{}
	c.Each(func(name string, n uint64) { fmt.Fprintln(&got, name, n) })
	golden.Check(t, "names.txt", got.Bytes())
}
