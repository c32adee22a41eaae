package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/freeport"
)

// freePorts are some that nobody has.
func freePorts(t *testing.T, n int) (at []string) {
	t.Helper()
	for range n {
		one, err := freeport.Free()
		if err != nil {
			t.Fatal(err)
		}
		at = append(at, one)
	}
	return at
}

// asked runs the program to its end.
func asked(t *testing.T, args ...string) (out string, code int) {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), asProgram+"=1")
	text, err := c.Output()
	if err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return string(text), c.ProcessState.ExitCode()
}

// Three voters and a learner as processes: a change is acknowledged, one of them is killed outright and comes back with its disk, nothing is lost;
// a voter without its disk does not start; exit codes tell scripts what there is.
func TestControlMachinesAsProcesses(t *testing.T) {
	dir, peers, nodes := t.TempDir(), freePorts(t, 4), freePorts(t, 4)
	start := func(i int, more ...string) (*exec.Cmd, chan string) {
		text := fmt.Sprintf("[control]\nid=%d\nlabel='l'\npeers='%s'\nnodes='%s'\ndata='%s/%d'\n[bounds]\nelection_ms=500\n", i+1, peers[i], nodes[i], dir, i)
		for j, at := range peers {
			text += fmt.Sprintf("[[machine]]\nid=%d\nname='c%d'\naddr='%s'\nlearner=%t\n", j+1, j+1, at, j == 3)
		}
		file := fmt.Sprintf("%s/c%d.toml", dir, i)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return started(t, os.Args[0], append([]string{"control", file}, more...)...)
	}
	_, refused := start(0)
	expect(t, refused, "is not started by itself")
	var all []*exec.Cmd
	for i := range peers {
		c, said := start(i, "--new")
		expect(t, said, "control machine listening")
		all = append(all, c)
	}
	at := strings.Join(nodes, ",")
	if out, code := asked(t, "fleet", "publish", "--at", at, "--label", "l", "--purge", "a", "b"); out != "1\n2\n" || code != 0 {
		t.Fatalf("%q, %d", out, code)
	}
	_ = all[0].Process.Kill()
	_ = all[0].Wait()
	if out, code := asked(t, "fleet", "publish", "--at", at, "--label", "l", "--purge", "c"); out != "3\n" || code != 0 {
		t.Fatalf("%q, %d", out, code)
	}
	_, said := start(0)
	expect(t, said, "control machine listening")
	var o controlclient.Overview
	for by := time.Now().Add(10 * time.Second); time.Now().Before(by); time.Sleep(50 * time.Millisecond) {
		out, code := asked(t, "fleet", "changes", "--at", nodes[0], "--label", "l", "--json")
		if o = (controlclient.Overview{}); json.Unmarshal([]byte(out), &o) == nil && len(o.Servers) == 4 && o.Servers[0].Last == 3 && code == 0 {
			break
		}
	}
	if o.Last != 3 || len(o.Servers) != 4 || o.Servers[0].Last != 3 || !o.Servers[3].Learner {
		t.Errorf("%+v", o)
	}
	for _, bad := range [][]string{{"publish", "--at", at}, {"publish", "--at", at, "--config", dir + "/c1.toml"}, {"publish", "--at", "nowhere", "--purge", "k"},
		{"changes", "--at", freePorts(t, 1)[0]}, {"changes", "--at", at, "--label", "another"}} {
		if out, code := asked(t, append([]string{"fleet"}, bad...)...); code != 1 || out != "" {
			t.Errorf("%q: %q, exit %d", bad, out, code)
		}
	}
	for _, c := range all[1:] { // no majority: nothing can be ordered, and it is said
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if out, code := asked(t, "fleet", "publish", "--at", nodes[0], "--label", "l", "--by", "1s", "--purge", "d"); code != 1 || out != "" {
		t.Errorf("without a majority: %q, exit %d", out, code)
	}
	time.Sleep(500 * time.Millisecond)
	if _, code := asked(t, "fleet", "changes", "--at", nodes[0], "--label", "l"); code != 2 {
		t.Errorf("no leader: exit %d", code)
	}
}

// What operators are told of caches: those that lack something, with each machine's reason; nothing where purges are not carried out.
func TestCachesThatLackPurgesAreShown(t *testing.T) {
	shown := func(o controlclient.Overview) string {
		var out strings.Builder
		if err := printChanges(&out, o); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	o := controlclient.Overview{Last: 9, HasLeader: true}
	if text := shown(o); strings.Contains(text, "cache") {
		t.Errorf("%s", text)
	}
	o.Caches = []controlclient.CacheStatus{{Cache: "well", Done: 9}, {Cache: "ill", Done: 4, FirstDeleted: 6, Missing: 5, Overdue: 3, Flushing: true,
		Servers: []controlclient.CacheProgress{{Server: 1, Reason: "refused", UnansweredS: 2.5}, {Server: 2, Reason: "old word", Silent: true}}}}
	text := shown(o)
	for _, want := range []string{"2 caches, purges are done at 1 of them", "ill    4     5      3     6             1: refused, 2.5 s; to be flushed"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
	if o.Unlisted = true; strings.Contains(text, "well") || strings.Contains(text, "old word") || !strings.Contains(shown(o), "there is no list of them") {
		t.Errorf("%s", text)
	}
}
