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

// freePorts returns n loopback addresses whose ports are free.
func freePorts(t testing.TB, n int) (addrs []string) {
	t.Helper()
	for range n {
		addr, err := freeport.Free()
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// runProgram runs the program to its end, and returns its standard output and exit code.
func runProgram(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), runAsProgramEnv+"=1")
	text, err := c.Output()
	if err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return string(text), c.ProcessState.ExitCode()
}

// controlFleet is a set of control server processes: three voters and a learner.
type controlFleet struct {
	dir       string
	peers     []string // addresses for other control servers
	nodes     []string // addresses for nodes and clients
	reached   []string // addresses at which the others reach a control server; peers by default
	elections []int    // election timeouts, in milliseconds
	section   string   // a further section of the first control server's configuration
}

func newControlFleet(t testing.TB) *controlFleet {
	t.Helper()
	peers := freePorts(t, 4)
	return &controlFleet{
		dir: t.TempDir(), peers: peers, nodes: freePorts(t, 4), reached: peers, elections: []int{500, 500, 500, 500},
	}
}

// file writes the configuration file of the control server i, counted from 0, and returns its path.
func (f *controlFleet) file(t testing.TB, i int) string {
	t.Helper()
	text := fmt.Sprintf("[control]\nid=%d\nlabel='l'\npeers='%s'\nnodes='%s'\ndata='%s/%d'\n"+
		"[bounds]\nelection_ms=%d\n", i+1, f.peers[i], f.nodes[i], f.dir, i, f.elections[i])
	for j, addr := range f.reached {
		text += fmt.Sprintf("[[machine]]\nid=%d\nname='c%d'\naddr='%s'\nlearner=%t\n", j+1, j+1, addr, j == 3)
	}
	if i == 0 {
		text += f.section
	}
	path := fmt.Sprintf("%s/c%d.toml", f.dir, i)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (f *controlFleet) start(t testing.TB, i int, flags ...string) (*exec.Cmd, chan string) {
	t.Helper()
	return startProgram(t, os.Args[0], append([]string{"control", f.file(t, i)}, flags...)...)
}

// publish publishes purges of the keys and requires the printed indexes to equal want.
func (f *controlFleet) publish(t *testing.T, want string, keys ...string) {
	t.Helper()
	args := []string{"fleet", "publish", "--at", strings.Join(f.nodes, ","), "--label", "l", "--purge"}
	out, code := runProgram(t, append(args, keys...)...)
	if out != want || code != 0 {
		t.Fatalf("%q, %d", out, code)
	}
}

// waitForOverview returns the overview once the first control server has all entries, or the last overview read before
// the deadline.
func (f *controlFleet) waitForOverview(t *testing.T) controlclient.Overview {
	t.Helper()
	var o controlclient.Overview
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		out, code := runProgram(t, "fleet", "changes", "--at", f.nodes[0], "--label", "l", "--json")
		o = controlclient.Overview{}
		err := json.Unmarshal([]byte(out), &o)
		if err == nil && len(o.Servers) == 4 && o.Servers[0].Last == 3 && code == 0 {
			break
		}
	}
	return o
}

func killAndWait(c *exec.Cmd) {
	_ = c.Process.Kill()
	_ = c.Wait()
}

// TestControlServersAsProcesses checks that an acknowledged change survives the kill and restart of a voter that keeps
// its disk, that a voter without its disk does not start, and that exit codes let scripts distinguish the outcomes.
func TestControlServersAsProcesses(t *testing.T) {
	f := newControlFleet(t)
	_, refused := f.start(t, 0)
	waitForLine(t, refused, "data directory is empty")
	var servers []*exec.Cmd
	for i := range f.peers {
		server, log := f.start(t, i, "--new")
		waitForLine(t, log, "control server listening")
		servers = append(servers, server)
	}
	f.publish(t, "1\n2\n", "a", "b")
	killAndWait(servers[0])
	f.publish(t, "3\n", "c")
	_, log := f.start(t, 0)
	waitForLine(t, log, "control server listening")
	o := f.waitForOverview(t)
	if o.Last != 3 || len(o.Servers) != 4 || o.Servers[0].Last != 3 || !o.Servers[3].Learner {
		t.Errorf("%+v", o)
	}
	at := strings.Join(f.nodes, ",")
	for _, bad := range [][]string{
		{"publish", "--at", at},
		{"publish", "--at", at, "--config", f.dir + "/c1.toml"},
		{"publish", "--at", "nowhere", "--purge", "k"},
		{"changes", "--at", freePorts(t, 1)[0]},
		{"changes", "--at", at, "--label", "another"},
	} {
		if out, code := runProgram(t, append([]string{"fleet"}, bad...)...); code != 1 || out != "" {
			t.Errorf("%q: %q, exit %d", bad, out, code)
		}
	}
	for _, server := range servers[1:] { // without a majority nothing can be ordered
		killAndWait(server)
	}
	out, code := runProgram(t, "fleet", "publish", "--at", f.nodes[0], "--label", "l", "--by", "1s", "--purge", "d")
	if code != 1 || out != "" {
		t.Errorf("without a majority: %q, exit %d", out, code)
	}
	time.Sleep(500 * time.Millisecond)
	if _, code := runProgram(t, "fleet", "changes", "--at", f.nodes[0], "--label", "l"); code != 2 {
		t.Errorf("no leader: exit %d", code)
	}
}

// Guards against a learner that ends at each start after it has lost its disk. It is killed each time, as by a loss of
// power, and must have the log again, without a change of the leader.
func TestKilledLearnerStartsWithoutItsDisk(t *testing.T) {
	const learner, losses = 3, 3
	f := newControlFleet(t)
	var server *exec.Cmd
	var log chan string
	for i := range f.peers {
		var flags []string
		if i != learner {
			flags = append(flags, "--new")
		}
		server, log = f.start(t, i, flags...)
		waitForLine(t, log, "control server listening")
	}
	f.publish(t, "1\n2\n", "a", "b")
	f.waitForLearner(t, log, 2)
	before := f.overview(t)
	for loss := range losses {
		killAndWait(server)
		if err := os.RemoveAll(fmt.Sprintf("%s/%d", f.dir, learner)); err != nil {
			t.Fatal(err)
		}
		server, log = f.start(t, learner)
		index := loss + 3
		f.publish(t, fmt.Sprintf("%d\n", index), fmt.Sprint("after ", loss))
		f.waitForLearner(t, log, index)
	}
	after := f.overview(t)
	for i := range learner {
		if got, want := after.Servers[i].Term, before.Servers[i].Term; got != want {
			t.Errorf("control server %d is in term %d, before in %d", i+1, got, want)
		}
	}
}

// overview returns what the control servers report.
func (f *controlFleet) overview(t *testing.T) (o controlclient.Overview) {
	t.Helper()
	out, _ := runProgram(t, "fleet", "changes", "--at", strings.Join(f.nodes, ","), "--label", "l", "--json")
	if err := json.Unmarshal([]byte(out), &o); err != nil || len(o.Servers) != len(f.nodes) {
		t.Fatalf("%q: %v", out, err)
	}
	return o
}

// waitForLearner waits until the learner itself reports that it has the log up to an index. It fails the test if the
// learner's log ends.
func (f *controlFleet) waitForLearner(t *testing.T, log chan string, index int) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		out, _ := runProgram(t, "fleet", "changes", "--at", f.nodes[len(f.nodes)-1], "--label", "l", "--json")
		var o controlclient.Overview
		if json.Unmarshal([]byte(out), &o) == nil && int(o.Last) == index {
			for _, server := range o.Servers {
				if server.Learner && int(server.Last) == index {
					return
				}
			}
		}
		for len(log) > 0 {
			if line := <-log; strings.Contains(line, "stopping") {
				t.Fatalf("the learner has ended: %s", line)
			}
		}
	}
	t.Fatalf("the learner does not have the log up to %d", index)
}

// formatChanges returns the text that the changes command shows to operators.
func formatChanges(t *testing.T, o controlclient.Overview) string {
	t.Helper()
	var out strings.Builder
	if err := printChanges(&out, o); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestNoCachesAreShownWherePurgesAreNotCarriedOut(t *testing.T) {
	if text := formatChanges(t, controlclient.Overview{Last: 9, HasLeader: true}); strings.Contains(text, "cache") {
		t.Error(text)
	}
}

// TestCachesThatLackPurgesAreShown checks that caches that lack purges are listed with the reasons of every control
// server that is not silent.
func TestCachesThatLackPurgesAreShown(t *testing.T) {
	o := controlclient.Overview{Last: 9, HasLeader: true, Caches: []controlclient.CacheStatus{
		{Cache: "well", Done: 9},
		{
			Cache: "ill", Done: 4, QuickDeleted: 6, Missing: 5, Overdue: 3, Flushing: true,
			Servers: []controlclient.CacheProgress{
				{Server: 1, Reason: "refused", UnansweredS: 2.5},
				{Server: 2, Reason: "old word", Silent: true},
			},
		},
	}}
	text := formatChanges(t, o)
	for _, want := range []string{
		"2 caches, purges are done at 1 of them",
		"ill    4     5      3     6             1: refused, 2.5 s; to be flushed",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
	if strings.Contains(text, "well") || strings.Contains(text, "old word") {
		t.Error(text)
	}
	o.NoCacheList = true
	if text := formatChanges(t, o); !strings.Contains(text, "there is no list of them") {
		t.Error(text)
	}
}

// TestPublishHelpSaysHowToGiveSeveralKeys checks that the help shows further keys as arguments: a key may contain a
// comma, so that a list of keys isn't split at commas.
func TestPublishHelpSaysHowToGiveSeveralKeys(t *testing.T) {
	help, code := runProgram(t, "fleet", "publish", "--help")
	if code != 0 || strings.Contains(help, "KEY[,KEY]") || !strings.Contains(help, "--purge KEY [KEY...]") {
		t.Errorf("exit %d, %q", code, help)
	}
	p := publishOptions{keys: []string{"a,b"}}
	proposals, err := p.proposals([]string{"c"})
	if err != nil || len(proposals) != 2 || string(proposals[0].Body) != "a,b" || string(proposals[1].Body) != "c" {
		t.Errorf("%v, %v", proposals, err)
	}
}
