package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dahliapin/internal/emulator/realtime"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/freeport"
)

var (
	variantSeeds = flag.Int64("variant-seeds", 0,
		"number of seeds, of 20 s each, within which each broken variant must be caught; 0 for CI's short form")
	variantShrink = flag.Int("variant-shrink", 0, "maximum number of runs to shrink a schedule that caught a variant")
	variantNames  = flag.String("variants", "", "part of the names of the broken variants to run; empty for all")
)

// nodeConfiguration is the parsed configuration of a node, as far as variants change it.
type nodeConfiguration struct {
	fields   map[string]any
	settings map[string]any
}

// eachClass calls do with each service class of the settings.
func (c *nodeConfiguration) eachClass(do func(class map[string]any)) {
	for _, class := range c.settings["service_grades"].([]any) {
		do(class.(map[string]any))
	}
}

// setIn sets a value in a section of the settings.
func (c *nodeConfiguration) setIn(part, key string, value any) {
	c.settings[part].(map[string]any)[key] = value
}

// brokenNode is a variant of a node that breaks a rule. A nil function or replacer changes nothing.
type brokenNode struct {
	name string
	// configure changes the node's configuration, so that it acts on settings that differ from the deployment's.
	configure func(*nodeConfiguration)
	// wrap changes how the process reacts to signals and other actions on it.
	wrap func(realtime.Process) realtime.Process
	// rewriteList changes the endpoint list that the node receives.
	rewriteList *strings.Replacer
	// answers changes the bytes that clients receive.
	answers func(answer []byte, count int) []byte
}

// variants are the broken nodes, each with one fault. The last two break a rule only where two faults overlap.
var variants = []brokenNode{
	{name: "exits on SIGTERM without draining", wrap: func(p realtime.Process) realtime.Process {
		return nonDrainingProcess{p}
	}},
	{name: "ignores SIGTERM", wrap: func(p realtime.Process) realtime.Process {
		return &faultyProcess{Process: p, ignoresTerm: true}
	}},
	{name: "dies on a reload", wrap: func(p realtime.Process) realtime.Process {
		return &faultyProcess{Process: p, diesAtReload: true}
	}},
	{name: "stays suspended after a freeze", wrap: func(p realtime.Process) realtime.Process {
		return &faultyProcess{Process: p, stuckAfterFreeze: true}
	}},
	{name: "retries irreversible requests", configure: func(c *nodeConfiguration) {
		c.eachClass(func(class map[string]any) { class["effect"] = "idempotent" })
	}},
	{name: "retries after the deduplication window", configure: func(c *nodeConfiguration) {
		c.eachClass(func(class map[string]any) { class["key_ttl_s"] = 100 })
	}},
	{name: "retries outside the deduplication scope", configure: func(c *nodeConfiguration) {
		c.eachClass(func(class map[string]any) { class["group"] = "all" })
	}},
	{name: "sends one answer in 500 long after its deadline", answers: func(answer []byte, count int) []byte {
		if count%500 == 0 {
			time.Sleep(lateAnswerDelay)
		}
		return answer
	}},
	{name: "hedges where it is forbidden", configure: func(c *nodeConfiguration) {
		c.setIn("bounds", "second_copies", true)
	}},
	{name: "treats cold caches as warm", configure: func(c *nodeConfiguration) {
		c.setIn("rules", "cold_from", 1)
		c.setIn("rules", "overload_factor", 1000)
	}},
	{name: "ignores that caches drain", rewriteList: strings.NewReplacer("terminating", "in_service")},
	{name: "loses one answer in 500", answers: func(answer []byte, count int) []byte {
		if count%500 == 0 {
			return nil
		}
		return answer
	}},
	{name: "sends a wrong byte in one answer in 500", answers: func(answer []byte, count int) []byte {
		if count%500 == 0 {
			answer[len(answer)-3] ^= 1
		}
		return answer
	}},
	{name: "exits without draining on SIGTERM soon after a freeze", wrap: func(p realtime.Process) realtime.Process {
		return &faultyProcess{Process: p, killedAfterFreeze: true}
	}},
	{name: "stays suspended after a freeze soon after a reload", wrap: func(p realtime.Process) realtime.Process {
		return &faultyProcess{Process: p, stuckAfterReload: true}
	}},
}

// lateAnswerDelay exceeds any deadline that a soak draws and the lateness that it allows.
const lateAnswerDelay = 4 * time.Second

// overlapWindow is the time within which two faults count as overlapping, for the variants that need two.
const overlapWindow = 4 * time.Second

// stuckTime is how long a process that is stuck after a freeze stays suspended.
const stuckTime = 3 * time.Second

// faultyProcess is a process that handles signals incorrectly.
type faultyProcess struct {
	realtime.Process
	ignoresTerm, diesAtReload, stuckAfterFreeze bool
	killedAfterFreeze, stuckAfterReload         bool

	mu                   sync.Mutex
	reloadedAt, frozenAt time.Time
}

// isRecent reports whether a fault occurred within overlapWindow.
func (s *faultyProcess) isRecent(at *time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(*at) < overlapWindow
}

// recordFault records the time of a fault.
func (s *faultyProcess) recordFault(at *time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*at = time.Now()
}

// End requests that the process shuts down.
func (s *faultyProcess) End() {
	switch {
	case s.ignoresTerm:
	case s.killedAfterFreeze && s.isRecent(&s.frozenAt):
		s.Kill()
	default:
		s.Process.End()
	}
}

// Reload makes the process read its configuration again.
func (s *faultyProcess) Reload() {
	if s.diesAtReload {
		s.Kill()
		return
	}
	s.recordFault(&s.reloadedAt)
	s.Process.(realtime.Reloader).Reload()
}

// Pause suspends the process or resumes it. A variant that is stuck resumes only after stuckTime.
func (s *faultyProcess) Pause(stop bool) {
	process := s.Process.(realtime.Pauser)
	s.recordFault(&s.frozenAt)
	if !stop && (s.stuckAfterFreeze || s.stuckAfterReload && s.isRecent(&s.reloadedAt)) {
		time.AfterFunc(stuckTime, func() { process.Pause(false) })
		return
	}
	process.Pause(stop)
}

// Hang blocks the event loop of the process, or releases it.
func (s *faultyProcess) Hang(stop bool) { s.Process.(realtime.Pauser).Hang(stop) }

// brokenNodes starts nodes of a broken variant.
type brokenNodes struct {
	realtime.Starter
	t       *testing.T
	variant *brokenNode

	mu       sync.Mutex
	backends map[string]string // address that a node listens on, by the address that clients connect to
}

// Start starts a node of the variant.
func (b *brokenNodes) Start(o realtime.NodeSpec) (realtime.Process, error) {
	var c nodeConfiguration
	if err := json.Unmarshal(o.Configuration, &c.fields); err != nil {
		return nil, err
	}
	c.settings = c.fields["settings"].(map[string]any)
	if b.variant.configure != nil {
		b.variant.configure(&c)
	}
	if b.variant.rewriteList != nil {
		c.fields["discovery"] = b.listProxy(c.fields["discovery"].(string))
	}
	if b.variant.answers != nil {
		c.fields["listen"] = b.answerProxy(c.fields["listen"].(string))
	}
	var err error
	if o.Configuration, err = json.Marshal(c.fields); err != nil {
		return nil, err
	}
	process, err := b.Starter.Start(o)
	if err != nil || b.variant.wrap == nil {
		return process, err
	}
	return b.variant.wrap(process), nil
}

// listProxy starts a proxy that rewrites the answers of discovery, and returns its address.
func (b *brokenNodes) listProxy(discovery string) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: discovery})
	proxy.ErrorLog = nil
	proxy.ModifyResponse = func(r *http.Response) error {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return err
		}
		text = []byte(b.variant.rewriteList.Replace(string(text)))
		r.Body = io.NopCloser(bytes.NewReader(text))
		r.ContentLength = int64(len(text))
		r.Header.Set("Content-Length", fmt.Sprint(len(text)))
		return nil
	}
	server := httptest.NewServer(proxy)
	b.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// answerProxy starts a proxy at the address that clients connect to, which changes the answers of the node. It returns
// the address that the node has to listen on, which is the same for all processes of a node.
func (b *brokenNodes) answerProxy(address string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if backend := b.backends[address]; backend != "" {
		return backend
	}
	backend, err := freeport.Free()
	if err != nil {
		b.t.Error(err)
		return address
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		b.t.Error(err)
		return address
	}
	b.t.Cleanup(func() { listener.Close() })
	b.backends[address] = backend
	go b.acceptAndProxy(listener, backend)
	return backend
}

func (b *brokenNodes) acceptAndProxy(listener net.Listener, backend string) {
	var count atomic.Int64
	change := func(answer []byte) []byte {
		if !bytes.HasPrefix(answer, []byte("VA ")) && !bytes.HasPrefix(answer, []byte("HD")) {
			return answer
		}
		return b.variant.answers(answer, int(count.Add(1)))
	}
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go proxyConnection(client, backend, change)
	}
}

// proxyConnection forwards one connection, and changes the answers, one read at a time.
func proxyConnection(client net.Conn, backend string, change func([]byte) []byte) {
	defer client.Close()
	node, err := net.Dial("tcp", backend)
	if err != nil {
		return
	}
	defer node.Close()
	go func() {
		_, _ = io.Copy(node, client) // when the client closes, the node's connection is closed
		node.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := node.Read(buffer)
		if err != nil {
			return
		}
		if _, err := client.Write(change(buffer[:n])); err != nil {
			return
		}
	}
}

// newVariantRunner returns a function that runs schedules against nodes of a variant.
func newVariantRunner(t *testing.T, v *brokenNode) scheduleRunner {
	return func(s *scenario.Scenario) (*report.Report, error) {
		processes := &realtime.Processes{Program: os.Args[0], Dir: t.TempDir()}
		starter := &brokenNodes{Starter: processes, t: t, variant: v, backends: map[string]string{}}
		return realtime.Run(context.Background(), s, starter, nil)
	}
}

// breachSearch is the outcome of running schedules until one breaks a rule.
type breachSearch struct {
	schedule     *scenario.Scenario // the first one that broke a rule
	report       *report.Report     // on it; nil if none did
	inconclusive int                // runs before it that were inconclusive, as the machine was too busy
}

// findBreach runs schedules until one breaks a rule.
func findBreach(t *testing.T, schedules []*scenario.Scenario, run scheduleRunner) breachSearch {
	t.Helper()
	var found breachSearch
	for _, s := range schedules {
		r, err := run(s)
		if err != nil {
			t.Fatal(err)
		}
		if r.MachineTooBusy != "" {
			found.inconclusive++
			t.Logf("%s: inconclusive: %s", s.Name, r.MachineTooBusy)
		}
		if isBroken(r) {
			found.schedule, found.report = s, r
			break
		}
	}
	return found
}

// describeBreach returns which rules were broken and which expectations were not met.
func describeBreach(r *report.Report) string {
	text := fmt.Sprint("rules ", r.Rules)
	for _, e := range r.Expected {
		if !e.Met {
			text += "; not met: " + e.What + ": " + e.Got
		}
	}
	if len(r.Breaches) > 0 {
		text += "; first " + r.Breaches[0].String()
	}
	return text
}

// TestSoakCatchesBrokenNodes checks that a soak finds broken nodes: without that, it proves nothing. Each variant has
// to be caught within the given number of seeds, and the schedule that caught it can be shrunk to the events that the
// variant needs. CI runs one variant, for a short time.
func TestSoakCatchesBrokenNodes(t *testing.T) {
	t.Setenv(runAsProgramEnv, "1")
	if *variantSeeds == 0 {
		if testing.Short() {
			t.Skip("runs for 10 s")
		}
		schedules := scenario.Soaks(1, ciVariantSeeds, ciVariantTime.Seconds())
		first := slices.IndexFunc(schedules, func(s *scenario.Scenario) bool { return hasEvent(s, ciVariantEvent) })
		if first < 0 {
			t.Fatalf("%d schedules have no %s", ciVariantSeeds, ciVariantEvent)
		}
		catchVariant(t, findVariant(t, ciVariant), schedules[first:first+1])
		return
	}
	schedules := scenario.Soaks(1, *variantSeeds, soakFor.Seconds())
	for i := range variants {
		v := &variants[i]
		if !strings.Contains(v.name, *variantNames) {
			continue
		}
		t.Run(v.name, func(t *testing.T) { catchVariant(t, v, schedules) })
	}
}

// The variant that CI runs: one that fails at each reload, with the first schedule that has a reload.
const (
	ciVariant      = "dies on a reload"
	ciVariantEvent = "node_reload"
	ciVariantSeeds = 20
	ciVariantTime  = 10 * time.Second
)

func findVariant(t *testing.T, name string) *brokenNode {
	t.Helper()
	for i := range variants {
		if variants[i].name == name {
			return &variants[i]
		}
	}
	t.Fatalf("there is no variant %q", name)
	return nil
}

// catchVariant runs schedules against a variant until one breaks a rule, and shrinks that one if -variant-shrink is
// set. If no schedule broke a rule and some runs were inconclusive, the test is skipped, as the runs prove nothing.
func catchVariant(t *testing.T, v *brokenNode, schedules []*scenario.Scenario) {
	t.Helper()
	run := newVariantRunner(t, v)
	found := findBreach(t, schedules, run)
	if found.report == nil && found.inconclusive > 0 {
		t.Skipf("not caught within %d schedules, %d of them inconclusive", len(schedules), found.inconclusive)
	}
	if found.report == nil {
		t.Fatalf("not caught within %d schedules", len(schedules))
	}
	t.Logf("caught by %s: %s", found.schedule.Name, describeBreach(found.report))
	if *variantShrink == 0 {
		return
	}
	var output bytes.Buffer
	limits := shrinkLimits{maxRuns: *variantShrink, duration: time.Hour}
	dir := t.TempDir()
	if err := shrinkBroken(&output, found.schedule, found.report, limits, dir, run); err != nil {
		t.Error(err)
	}
	path := filepath.Join(dir, found.schedule.Name+shrunkSuffix+".toml")
	shrunk, _ := os.ReadFile(path) // missing if no smaller schedule failed in the same way
	t.Logf("%s%s", &output, shrunk)
}

// variantDeployment is a deployment of two nodes for the schedules of TestShortSchedulesCatchBrokenNodes.
const variantDeployment = `
[allowed]
mode = "through"
second_copies = false
slack_ms = 200
late_answer_ms = 500
[traffic]
per_second = 150
[[grade]]
name = "mark"
share = 1
benefit = 1
effect = "labelled"
write = true
soft_ms = 300
hard_ms = 2500
work_ms = 2
window_s = 0.2
[fleet]
nodes = 2
caches = 6
`

// coldCacheDeployment is one in which a cold cache fails if it gets the share of the traffic of a warm one.
const coldCacheDeployment = `seconds = 8
[allowed]
second_copies = false
slack_ms = 200
late_answer_ms = 500
[discovery]
notice_s = [0.05, 0.1]
[traffic]
per_second = 300
keys = 2000
[[grade]]
name = "read"
share = 1
benefit = 1
soft_ms = 500
hard_ms = 1000
work_ms = 20
[fleet]
nodes = 2
caches = 6
cold_from = 0.05
cold_s = 60
fall_multiple = 2
fall_s = 1
`

// TestShortSchedulesCatchBrokenNodes checks that nodes break a rule that were not caught by schedules of a soak before
// these were drawn for them, each by the least that it needs.
func TestShortSchedulesCatchBrokenNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 20 s")
	}
	t.Setenv(runAsProgramEnv, "1")
	for _, test := range []struct {
		variant  string
		rule     int
		schedule string
	}{
		{"stays suspended after a freeze soon after a reload", 1, "seconds = 5" + variantDeployment + `
[[event]]
at_s = 1
do = "node_reload"
nodes = [1]
count = 1
[[event]]
at_s = 1.5
do = "node_freeze"
nodes = [1]
for_s = 0.05
`},
		{"retries after the deduplication window", 2, "seconds = 4" + variantDeployment + `
[[event]]
at_s = 1
do = "pause"
part = 0.5
for_s = 1.5
[[event]]
at_s = 2
do = "restart"
part = 0.5
`},
		{"treats cold caches as warm", 4, coldCacheDeployment + `
[[event]]
at_s = 1
do = "restart"
part = 0.3
`},
	} {
		t.Run(test.variant, func(t *testing.T) {
			t.Parallel() // its processes wait most of their time
			s, err := scenario.Parse("short.toml", []byte(test.schedule))
			if err != nil {
				t.Fatal(err)
			}
			run := newVariantRunner(t, findVariant(t, test.variant))
			if r := runScheduleUntilConclusive(t, s, run); r.Rules[test.rule-1] == 0 {
				t.Errorf("rule %d is not broken: %s", test.rule, describeBreach(r))
			}
			correct := newVariantRunner(t, &brokenNode{name: "none"})
			if r := runScheduleUntilConclusive(t, s, correct); isBroken(r) {
				t.Errorf("correct nodes: %s", describeBreach(r))
			}
		})
	}
}

// runScheduleUntilConclusive runs a schedule until the machine was not too busy for a verdict. It fails the test after
// maxScenarioRuns runs.
func runScheduleUntilConclusive(t *testing.T, s *scenario.Scenario, run scheduleRunner) *report.Report {
	t.Helper()
	for range maxScenarioRuns {
		r, err := run(s)
		if err != nil {
			t.Fatal(err)
		}
		if r.MachineTooBusy == "" {
			return r
		}
		t.Logf("inconclusive: %s", r.MachineTooBusy)
	}
	t.Fatalf("not judged: the machine was too busy in %d runs", maxScenarioRuns)
	return nil
}
