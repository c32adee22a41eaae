package gossip

import (
	"fmt"
	"testing"

	"dahliapin/internal/membership"
)

// Who came and who went is told by name, whichever list ends first.
func TestWhoCameAndWent(t *testing.T) {
	type names = []membership.NodeName
	for _, c := range []struct {
		of, than names
		want     string
	}{
		{nil, nil, "[]"}, {names{"a"}, nil, "[a]"}, {nil, names{"a"}, "[]"}, {names{"a", "b", "c"}, names{"b"}, "[a c]"}, {names{"b"}, names{"a", "b", "c"}, "[]"},
		{names{"a", "c", "e"}, names{"b", "c", "d"}, "[a e]"},
	} {
		if got := fmt.Sprint(less(c.of, c.than)); got != c.want {
			t.Errorf("%v less %v: %s", c.of, c.than, got)
		}
	}
}

// A newer word of a process takes the place of an older one that waits, and those of others stay; a word that is held is not read again.
func TestWordsTakeEachOthersPlace(t *testing.T) {
	p := posts(t, 1, nil)[0]
	within(t, "its name is taken", func() bool { return p.View().Incarnation > 0 })
	word := func(of membership.ProcessID, revision membership.Revision) []byte {
		b, err := encodeStatement(membership.Statement{Process: of, Node: membership.NodeName(fmt.Sprint("x", of)), Revision: revision, Addr: "127.0.0.1:1"})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	waits := p.queue.NumQueued()
	for revision := range membership.Revision(5) {
		delegate{p}.NotifyMsg(word(7, revision+1))
		delegate{p}.NotifyMsg(word(9, revision+1))
	}
	if got := p.queue.NumQueued(); got > waits+2 || got < 2 {
		t.Errorf("%d words wait, after %d", got, waits)
	}
	if !p.holds(word(7, 5)) || p.holds(word(7, 4)) || p.holds(word(8, 1)) {
		t.Error("words that are held are not told from others")
	}
	p.mu.Lock()
	held, raw := len(p.held), len(p.raw)
	p.mu.Unlock()
	if held != raw {
		t.Errorf("%d sums of %d words", held, raw)
	}
}
