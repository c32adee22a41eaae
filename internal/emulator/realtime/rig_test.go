package realtime

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/coverage"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const baseScenario = `
seconds = 3
seed = 3
[fleet]
caches = 4
keys = 200
cold_from = 0.05
cold_s = 60
fall_multiple = 2
fall_s = 0.3
[origin]
cores = 8
work_ms = 2
fall_multiple = 50
[discovery]
notice_s = [0.05, 0.1]
[allowed]
second_copies = false
grace_ms = 200
[traffic]
per_second = 150
keys = 50
[[grade]]
name = "read"
share = 0.6
benefit = 1
soft_ms = 100
hard_ms = 300
work_ms = 2
[[grade]]
name = "mark"
share = 0.2
benefit = 5
effect = "labelled"
write = true
soft_ms = 100
hard_ms = 900
work_ms = 2
window_s = 0.4
[[grade]]
name = "pay"
share = 0.2
benefit = 5
effect = "irreversible"
write = true
soft_ms = 100
hard_ms = 300
work_ms = 2
`

func parse(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// stub is a router with one fault. It implements both Starter and Process.
type stub struct {
	fault     string // what it does wrong, a key of the table of faulty routers; "" for nothing
	listener  net.Listener
	done      chan struct{}
	mu        sync.Mutex
	addrs     map[string]string // addresses of servers by ID, including removed ones
	last      string            // ID of the server that was added to the list last
	closeOnce sync.Once
}

func (s *stub) Start(o NodeSpec) (Process, error) {
	configuration := o.Configuration
	var c struct{ Listen, Discovery string }
	if err := json.Unmarshal(configuration, &c); err != nil {
		return nil, err
	}
	var err error
	if s.listener, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, err
	}
	s.done, s.addrs = make(chan struct{}), map[string]string{}
	listed := make(chan bool)
	go s.watchList(c.Discovery, listed)
	<-listed
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *stub) End()                  { s.closeOnce.Do(func() { s.listener.Close(); close(s.done) }) }
func (s *stub) Kill()                 { s.End() }
func (s *stub) Done() <-chan struct{} { return s.done }
func (s *stub) ExitReason() string    { return "a stub ended" }

// watchList polls the endpoint list of an agent, and closes a channel when it has the complete list.
func (s *stub) watchList(addr string, listed chan bool) {
	since := ""
	for {
		resp, err := http.Get("http://" + addr + "/registry/instances" + since)
		if err != nil {
			return
		}
		var list struct {
			Generation int
			Instances  []struct{ InstanceID, HostPort string }
		}
		err = json.NewDecoder(resp.Body).Decode(&list)
		resp.Body.Close()
		if err != nil {
			return
		}
		s.mu.Lock()
		for _, e := range list.Instances {
			if s.addrs[e.InstanceID] == "" {
				s.last = e.InstanceID
			}
			s.addrs[e.InstanceID] = e.HostPort
		}
		s.mu.Unlock()
		if since == "" {
			close(listed)
		}
		since = fmt.Sprintf("?since=%d&timeout_ms=1000", list.Generation)
	}
}

// addr returns the address of a server, or that of the server that was added last for the ID "last".
func (s *stub) addr(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == "last" {
		id = s.last
	}
	return s.addrs[id]
}

// sendAttempt sends a command to a cache or the origin and returns the answer for the client. A miss is sent to the
// origin.
func (s *stub) sendAttempt(to string, c *meta.Command) string {
	if items, _ := meta.Flag(c.Flags, 'P'); to == "origin" {
		method := http.MethodGet
		if c.Verb == meta.Set {
			method = http.MethodPut
		}
		q, _ := http.NewRequest(method, "http://"+s.addr(to)+"/"+string(c.Key), strings.NewReader(string(c.Value)))
		q.Header.Set("X-Call-Id", string(c.ID))
		q.Header.Set("X-Call-Info", string(items))
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			return "SERVER_ERROR failed\r\n"
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		switch {
		case resp.StatusCode != 200:
			return "SERVER_ERROR failed\r\n"
		case c.Verb == meta.Set:
			return string(meta.AppendReceipt(nil, c.ID, body))
		}
		return string(meta.AppendValue(nil, c.ID, body))
	}
	conn, err := net.Dial("tcp", s.addr(to))
	if err != nil {
		return "SERVER_ERROR failed\r\n"
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(meta.AppendCommand(nil, c, 250))
	r := bufio.NewReader(conn)
	line, _ := r.ReadString('\n')
	switch {
	case strings.HasPrefix(line, "VA"):
		value, _ := r.ReadString('\n')
		return string(meta.AppendValue(nil, c.ID, []byte(strings.TrimSpace(value))))
	case strings.HasPrefix(line, "EN"):
		return s.sendAttempt("origin", c)
	}
	return line
}

// serve answers the commands of a client.
func (s *stub) serve(conn net.Conn) {
	defer conn.Close()
	var unparsed []byte
	for in := make([]byte, 4096); ; {
		n, err := conn.Read(in)
		if err != nil {
			return
		}
		unparsed = append(unparsed, in[:n]...)
		for {
			c, size, _ := meta.ReadCommand(unparsed)
			if size == 0 {
				break
			}
			if c.Verb == meta.Ready {
				io.WriteString(conn, "MN\r\n")
			} else {
				io.WriteString(conn, s.answer(&c))
			}
			unparsed = unparsed[size:]
		}
	}
}

// answer returns the answer to a command, after the stub's fault.
func (s *stub) answer(c *meta.Command) string {
	items, _ := meta.Flag(c.Flags, 'P')
	class, _ := meta.Item(items, "c")
	read, mark, pay := string(class) == "read", string(class) == "mark", string(class) == "pay"
	route := func() string {
		if read {
			return s.sendAttempt("c1", c)
		}
		return s.sendAttempt("origin", c)
	}
	switch {
	case s.fault == "answers twice" && read:
		return strings.Repeat(route(), 2)
	case s.fault == "answers late" && read:
		time.Sleep(380 * time.Millisecond)
	case s.fault == "never answers" && read:
		return ""
	case s.fault == "invents a value" && read:
		return string(meta.AppendValue(nil, c.ID, []byte("v:none")))
	case s.fault == "sends an attempt after the answer" && read:
		go func() { time.Sleep(120 * time.Millisecond); s.sendAttempt("c2", c) }()
		return "SERVER_ERROR failed\r\n"
	case s.fault == "repeats an irreversible write" && pay:
		route()
	case s.fault == "rejects a request that was executed" && pay:
		route()
		return "SERVER_ERROR busy\r\n"
	case s.fault == "repeats a write after its deduplication window" && mark:
		route()
		time.Sleep(600 * time.Millisecond)
	case s.fault == "" && mark: // the origin deduplicates a write that is repeated within the window
		route()
	case s.fault == "sends an attempt after the client has left" && read:
		time.Sleep(250 * time.Millisecond)
	case s.fault == "sends a second attempt beside the first" && read:
		go s.sendAttempt("c2", c)
		go s.sendAttempt("c3", c)
	case s.fault == "sends to a draining cache" && read:
		return s.sendAttempt("c4", c)
	case s.fault == "overloads a cold cache" && read:
		return s.sendAttempt("last", c)
	}
	return route()
}

// The checker's verdict alone decides whether a rehearsal passes. It must therefore report each faulty router under the
// rule that the router breaks, and nothing for the router without a fault.
func TestCheckerReportsEachBrokenRouterByItsRule(t *testing.T) {
	for fault, rule := range map[string]int{
		"":                                  0,
		"answers twice":                     1,
		"answers late":                      1,
		"never answers":                     1,
		"invents a value":                   1,
		"sends an attempt after the answer": 1,
		"sends an attempt after the client has left":     1,
		"repeats an irreversible write":                  2,
		"rejects a request that was executed":            2,
		"repeats a write after its deduplication window": 2,
		"sends a second attempt beside the first":        2,
		"sends to a draining cache":                      3,
		"overloads a cold cache":                         4,
	} {
		t.Run("router "+cmp.Or(fault, "without a fault"), func(t *testing.T) {
			// The router without a fault and the one that breaks rule 4 must keep the request rate. They do not run in
			// parallel with the others.
			if rule%4 > 0 {
				t.Parallel()
			}
			s := parse(t, baseScenario+map[int]string{
				3: "[[event]]\nat_s = 0.3\ndo = \"drain\"\ncaches = [\"c4\"]\nfor_s = 9\n",
				4: "[[event]]\nat_s = 0.2\ndo = \"add\"\n",
			}[rule])
			// The first attempt must last long enough to overlap the second.
			if rule == 2 && strings.Contains(fault, "second") {
				s.Classes[0].WorkMs = 120
				s.Traffic.PerSecond = 20
			}
			if s.Traffic.Leaves, s.Traffic.LeaveMs = 0.3, 100; strings.Contains(fault, "left") {
				s.Traffic.Leaves, s.Classes[0].HardMs = 1, 2000 // no request may be answered after its deadline
			}
			if s.Fleet.Queue = 1000; rule == 4 {
				s.Fleet.FallMultiple = 1.2
			}
			r, err := Run(context.Background(), s, &stub{fault: fault}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if rule == 0 && r.Rules != [4]uint64{} || rule > 0 && r.Rules[rule-1] == 0 {
				t.Errorf("breaches by rule %v, want some of rule %d only if that is not 0; first breaches: %v",
					r.Rules, rule, r.Breaches[:min(5, len(r.Breaches))])
			}
			if rule > 0 && r.Passed() {
				t.Error("the run of a faulty router passed")
			}
		})
	}
}

// An embedded node breaks no rule while connections are reset or closed in the middle of an answer, a cache is silent,
// a node restarts and a cache is killed. With HTTP, one cache serves stale responses instead of resetting connections.
func TestNodeBreaksNoRuleThroughFaults(t *testing.T) {
	const faults = `
[[event]]
at_s = 0.5
do = "fault"
fault = "reset"
caches = ["c1"]
for_s = 0.6
[[event]]
at_s = 1.2
do = "fault"
fault = "half"
caches = ["c2"]
for_s = 0.5
[[event]]
at_s = 1.8
do = "silent"
caches = ["c3"]
for_s = 4.2
[[event]]
at_s = 3.5
do = "node_restart"
nodes = [1]
[[event]]
at_s = 4.2
do = "kill"
caches = ["c4"]
for_s = 0.5
`
	plain := strings.Replace(baseScenario, "seconds = 3", "seconds = 6", 1) + faults
	overHTTP := strings.NewReplacer(
		"[fleet]", "[fleet]\nprotocol = \"http\"",
		"[traffic]", "[traffic]\nprotocol = \"http\"",
		"\"reset\"", "\"stale\"")
	for name, text := range map[string]string{"meta": plain, "http": overHTTP.Replace(plain)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), parse(t, text), Embedded{}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if r.Rules != [4]uint64{} {
				t.Errorf("breaches by rule %v, want none: %v", r.Rules, r.Breaches)
			}
			if r.Classes[0].Asked < 300 || r.Classes[0].InTime < 0.8 || len(r.Events) != 5 {
				t.Errorf("too few requests sent or satisfied, or not five events: %+v, %v", r.Classes, r.Events)
			}
			// Only tests in virtual time check how soon after 1.8 s the silent cache is ejected.
			if at := r.FirstRecordAt("c3", eventlog.EndpointAvoided); at < 1.8 {
				t.Errorf("c3 is ejected at %v s (-1: never), want at 1.8 s or later, when it becomes silent", at)
			}
			met := r.Coverage
			if met.PhaseCount("node_restart", coverage.Serving) != 1 ||
				met.PhaseCount("silent", coverage.Draining) != 1 {
				t.Errorf("coverage of the faults is not counted: %v", met.Uncovered())
			}
			if met.InFlight("silent", policy.Idempotent) == 0 || met.PhaseCount("kill", coverage.Standby) != 0 {
				t.Errorf("coverage of the faults is not counted: %v", met.Uncovered())
			}
		})
	}
}

// A cancelled run returns the context's error, stops its node and closes all listeners. A run whose node exits by
// itself fails with the node's exit reason.
func TestCancelledRunClosesAllAndExitedNodeFailsRun(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	cancelled := &stub{}
	time.AfterFunc(700*time.Millisecond, stop)
	if _, err := Run(ctx, parse(t, baseScenario), cancelled, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled run: error %v, want %v", err, context.Canceled)
	}
	select {
	case <-cancelled.done:
	default:
		t.Error("the node still runs after the run was cancelled")
	}
	for id, addr := range cancelled.addrs {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			c.Close()
			t.Errorf("%s still listens", id)
		}
	}
	exiting := &stub{}
	time.AfterFunc(900*time.Millisecond, func() { exiting.End() })
	r, err := Run(context.Background(), parse(t, baseScenario), exiting, nil)
	if err != nil || r.Passed() || !strings.Contains(fmt.Sprint(r.Expected), "a stub ended") {
		t.Errorf("run whose node exits by itself: error %v, report %v", err, r)
	}
}

// A run with more than two percent of tries sent late has no verdict: the machine was too busy, so that breaches prove
// nothing about the nodes.
func TestRunWithTooManyLateTriesHasNoVerdict(t *testing.T) {
	s := parse(t, baseScenario)
	l := report.NewLog(s, epoch)
	l.TriesSent, l.Late = 100, 3
	if r := report.New(s, "", "", newWorld(s), newChecker(s), l, 0, 0); r.Passed() || r.MachineTooBusy == "" {
		t.Error("run with 3 of 100 tries sent late: has a verdict")
	}
	l.Late = 2
	if r := report.New(s, "", "", newWorld(s), newChecker(s), l, 0, 0); !r.Passed() {
		t.Errorf("run with 2 of 100 tries sent late: did not pass: %v", r.Expected)
	}
}

func newWorld(s *scenario.Scenario) *world.World { return world.New(s.World(nil)) }

func newChecker(s *scenario.Scenario) *checker.Checker {
	var classes []policy.ServiceClass
	for _, g := range s.WorldClasses() {
		classes = append(classes, g.ServiceClass)
	}
	return checker.New(checker.Rules{Classes: classes})
}

// An emulated cache executes deletes and flushes. The answer to a delete tells whether the cache had the key.
func TestEmulatedCacheExecutesPurges(t *testing.T) {
	s := parse(t, baseScenario)
	deployment, err := s.DecodedSettings("")
	if err != nil {
		t.Fatal(err)
	}
	r := &Rig{
		scenario:  s,
		settings:  deployment,
		startedAt: time.Now(),
		world:     newWorld(s),
		checker:   newChecker(s),
		log:       report.NewLog(s, epoch),
		attempts:  map[uint64]*attempt{},
		wake:      make(chan struct{}, 1),
	}
	if err := r.openServer(0); err != nil {
		t.Fatal(err)
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.servers[0].close()
	}()
	r.traffic = world.NewTraffic(s.TrafficPlan())
	r.warmCaches()
	found := 0
	send := func(line string) string {
		t.Helper()
		c, err := net.DialTimeout("tcp", r.servers[0].address.Addr(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, line)
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		got, _ := bufio.NewReader(c).ReadString('\n')
		return got
	}
	for rank := range 50 {
		line := fmt.Sprintf("md %s O%x\r\n", world.KeyOf(rank), rank+1)
		switch got := send(line); got {
		case fmt.Sprintf("HD O%x\r\n", rank+1):
			if found++; send(line) != fmt.Sprintf("NF O%x\r\n", rank+1) {
				t.Errorf("key %s was found again after its deletion", world.KeyOf(rank))
			}
		case fmt.Sprintf("NF O%x\r\n", rank+1):
		default:
			t.Fatalf("delete of %s: answer %q", world.KeyOf(rank), got)
		}
	}
	r.warmCaches()
	if got := send("flush_all\r\n"); got != "OK\r\n" || found == 0 {
		t.Errorf("flush: answer %q; %d keys were found before", got, found)
	}
	for rank := range 50 {
		if got := send(fmt.Sprintf("md %s O1\r\n", world.KeyOf(rank))); got != "NF O1\r\n" {
			t.Errorf("delete of %s after a flush: answer %q", world.KeyOf(rank), got)
		}
	}
}

// A scenario with settings that only the simulation supports is rejected. If the rig ignored them, the scenario could
// meet its expectations by chance.
func TestRunRejectsScenarioForVirtualTimeOnly(t *testing.T) {
	for _, more := range []string{
		"[traffic]\nskew = 0.5\n",
		"[network]\nlate_share = 0.1\nlate_ms = 5\n",
		"[network]\nlost_share = 0.1\n",
	} {
		section, keys, _ := strings.Cut(more, "\n")
		text := baseScenario + more
		if strings.Contains(baseScenario, section+"\n") {
			text = strings.Replace(baseScenario, section+"\n", section+"\n"+keys, 1)
		}
		_, err := Run(context.Background(), parse(t, text), Embedded{}, nil)
		if err == nil || !strings.Contains(err.Error(), "virtual time only") {
			t.Errorf("%q: error %v, want one that contains \"virtual time only\"", more, err)
		}
	}
}
