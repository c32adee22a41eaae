package gossip

import (
	"fmt"
	"testing"

	"dahliapin/internal/membership"
)

// The log must name the nodes that joined and left, whichever list of members ends first.
func TestDifference(t *testing.T) {
	type names = []membership.NodeName
	for _, c := range []struct {
		names, others names
		want          string
	}{
		{nil, nil, "[]"},
		{names{"a"}, nil, "[a]"},
		{nil, names{"a"}, "[]"},
		{names{"a", "b", "c"}, names{"b"}, "[a c]"},
		{names{"b"}, names{"a", "b", "c"}, "[]"},
		{names{"a", "c", "e"}, names{"b", "c", "d"}, "[a e]"},
	} {
		if got := fmt.Sprint(difference(c.names, c.others)); got != c.want {
			t.Errorf("%v without %v: %s, want %s", c.names, c.others, got, c.want)
		}
	}
}
