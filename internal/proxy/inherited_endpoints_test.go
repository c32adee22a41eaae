package proxy

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dahliapin/internal/freeport"
	"dahliapin/internal/proxy/handover"
)

// The versions of the list in these tests.
const (
	knownVersion = 7 // of the configuration, and of a discovery that comes back with older news
	toldVersion  = 9 // that the first process receives
)

// versionedDiscovery is a discovery that answers each poll with its complete list, except that a poll for updates since
// its version or a later one waits.
type versionedDiscovery struct {
	addr string

	mu      sync.Mutex
	version int
	entries []string
	silent  bool
	changed chan struct{} // closed at each change
	polls   []string      // the queries of the polls, "" for the complete list
}

func startVersionedDiscovery(t *testing.T) *versionedDiscovery {
	t.Helper()
	d := &versionedDiscovery{changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.addr = l.Addr().String()
	server := &http.Server{Handler: d}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return d
}

// set changes the list. A silent discovery answers no poll.
func (d *versionedDiscovery) set(silent bool, version int, entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.version = version
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

func listText(version int, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, version, strings.Join(entries, ","))
}

func (d *versionedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, isUpdate := strconv.Atoi(query.Get("since"))
	wait, _ := time.ParseDuration(query.Get("timeout_ms") + "ms")
	expired := time.After(wait)
	d.mu.Lock()
	d.polls = append(d.polls, r.URL.RawQuery)
	d.mu.Unlock()
	for {
		d.mu.Lock()
		changed, silent := d.changed, d.silent
		isNewer := isUpdate != nil || since < d.version
		text := listText(d.version, d.entries...)
		d.mu.Unlock()
		if !silent && isNewer {
			fmt.Fprint(w, text)
			return
		}
		select {
		case <-changed:
		case <-expired:
			if !silent {
				fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`, d.version)
				return
			}
			expired = nil
		case <-r.Context().Done():
			return
		}
	}
}

// successionTest is a fleet of caches, and a node whose processes replace each other.
type successionTest struct {
	t         *testing.T
	path      string // of the handover socket
	listen    [2]string
	discovery *versionedDiscovery
	caches    map[string]string // addresses by name
	calls     map[string]*atomic.Int64
	coldStart int64 // when the cache "restarted" was started again, in Unix milliseconds
	requests  atomic.Int64
	wallStep  time.Duration // of the wall clock, in the processes that are started from now on
}

func newSuccessionTest(t *testing.T) *successionTest {
	t.Helper()
	s := &successionTest{
		t:         t,
		path:      filepath.Join(t.TempDir(), "handover.sock"),
		discovery: startVersionedDiscovery(t),
		caches:    map[string]string{},
		calls:     map[string]*atomic.Int64{},
		coldStart: time.Now().UnixMilli(),
	}
	for i := range s.listen {
		var err error
		if s.listen[i], err = freeport.Free(); err != nil {
			t.Fatal(err)
		}
	}
	g := &harness{t: t, cacheCommands: make(chan string, 99999), cacheConnClosed: make(chan bool, 99999)}
	for _, name := range []string{"steady", "drained", "removed", "added", "restarted"} {
		count := &atomic.Int64{}
		s.calls[name] = count
		s.caches[name] = g.listen(func(c net.Conn) {
			g.serveCache(c, func(line string) string {
				count.Add(1)
				return helloValue(line)
			})
		})
	}
	return s
}

func (s *successionTest) entry(name, lifecycle string, startedMs int64) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"machineType":"box","lifecycle":%q,"zone":"z","cell":3,`+
		`"weight":1.0,"startedAtMs":%d}`, name, s.caches[name], lifecycle, startedMs)
}

// olderEntries are the entries of the list before the first process received news.
func (s *successionTest) olderEntries() []string {
	return []string{
		s.entry("steady", "in_service", 0), s.entry("drained", "in_service", 0),
		s.entry("removed", "in_service", 0), s.entry("restarted", "in_service", 0),
	}
}

// toldEntries are the entries of the list that the first process has received.
func (s *successionTest) toldEntries() []string {
	return []string{
		s.entry("steady", "in_service", 0), s.entry("drained", "terminating", 0),
		s.entry("added", "in_service", 0), s.entry("restarted", "in_service", s.coldStart),
	}
}

// start starts a process that replaces the one before, if there is one. It is stopped at the end of the test.
func (s *successionTest) start(configure ...func(*Config)) *Proxy {
	s.t.Helper()
	var inherited *handover.Inherited
	for by := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) { // the offer may not be open yet
		var err error
		if inherited, err = handover.Inherit(s.path); err != nil {
			s.t.Fatal(err)
		}
		if inherited != nil || s.requests.Load() == 0 || time.Now().After(by) {
			break
		}
	}
	s.requests.Add(1)
	http := testListener
	http.Listen = s.listen[1]
	config := Config{
		Listen:             s.listen[0],
		Discovery:          s.discovery.addr,
		DescriptorLimit:    200,
		MemoryLimit:        64 << 20,
		Settings:           decodeTestSettings(s.t),
		Log:                discardLog(),
		LastKnownEndpoints: []byte(listText(knownVersion, s.olderEntries()...)),
		Inherited:          inherited,
		HandoverPath:       s.path,
	}
	config.Settings.Policy.SlowStartDuration = time.Minute
	config.Listeners.Listeners = append(config.Listeners.Listeners, http)
	for _, change := range configure {
		change(&config)
	}
	p, err := New(config)
	if err != nil {
		s.t.Fatal(err)
	}
	step := s.wallStep
	p.clock.wall = func() time.Time { return time.Now().Add(step) }
	ended := make(chan bool)
	go func() {
		p.Run()
		close(ended)
	}()
	s.t.Cleanup(func() {
		p.Shutdown()
		<-ended
	})
	return p
}

// offerWithoutProcess offers listeners without a process that serves them or answers requests for its state.
func (s *successionTest) offerWithoutProcess() *handover.Offer {
	s.t.Helper()
	var offered []net.Listener
	for _, addr := range s.listen {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { l.Close() })
		offered = append(offered, l)
	}
	offer, err := handover.Open(s.path, offered, func(handover.Stage) {})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(offer.Close)
	return offer
}

// inLoop returns the result of a function that is called in a process's event loop.
func inLoop[T any](t *testing.T, p *Proxy, f func() T) T {
	t.Helper()
	result := make(chan T, 1)
	p.runInLoop(func() { result <- f() })
	return receive(t, result)
}

func (s *successionTest) waitUntil(p *Proxy, what string, reached func() bool) {
	s.t.Helper()
	for by := time.Now().Add(testTimeout); !inLoop(s.t, p, reached); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			s.t.Fatal("timed out waiting until ", what)
		}
	}
}

func (s *successionTest) waitUntilServing(p *Proxy) {
	s.t.Helper()
	s.waitUntil(p, "the process serves", func() bool { return p.lifecycle.phase == Serving })
}

// startTold starts the first process, gives it the told list, and makes discovery silent.
func (s *successionTest) startTold() *Proxy {
	s.t.Helper()
	s.discovery.set(false, toldVersion, s.toldEntries()...)
	p := s.start()
	s.waitUntil(p, "the list is applied", func() bool { return p.endpoints.byID["added"] != nil })
	s.discovery.set(true, toldVersion, s.toldEntries()...)
	return p
}

// replace starts a successor, waits until it serves, and ends its predecessor.
func (s *successionTest) replace(predecessor *Proxy, configure ...func(*Config)) *Proxy {
	s.t.Helper()
	p := s.start(configure...)
	s.waitUntilServing(p)
	predecessor.Shutdown()
	s.waitUntil(p, "the predecessor has exited", func() bool { return p.takeover.predecessorExited })
	return p
}

// expectTold checks that a process sends nothing to caches that are draining or have been removed, uses those that were
// added, and takes a restarted one for as old as it is. Requests come over meta commands and over HTTP.
func (s *successionTest) expectTold(p *Proxy) {
	s.t.Helper()
	for _, count := range s.calls {
		count.Store(0)
	}
	g := &harness{t: s.t, Proxy: p, addr: p.Addr(0)}
	c, r := g.client()
	ask := g.httpClient(1)
	for range 60 {
		n := s.requests.Add(1)
		fmt.Fprintf(c, "mg k%d v Om%d Pc=read,d=900\r\n", n, n)
		g.expect(r, fmt.Sprintf("VA 5 Om%d", n), "hello")
		line := fmt.Sprintf("GET /p/k%d", n)
		g.expectResponses(ask(requestHead(line, fmt.Sprintf("X-Id: h%d", n)), "GET"), "200 hello 5")
	}
	for name, mayBeUsed := range map[string]bool{"steady": true, "added": true, "drained": false, "removed": false} {
		if calls := s.calls[name].Load(); (calls > 0) != mayBeUsed {
			s.t.Errorf("the cache %s has got %d calls", name, calls)
		}
	}
	age := inLoop(s.t, p, func() time.Duration {
		restarted := p.endpoints.byID["restarted"]
		if restarted == nil {
			return -1
		}
		return p.now().Since(restarted.start.at)
	})
	want := time.Since(time.UnixMilli(s.coldStart))
	if age < 0 || age > want+time.Second || age < want-time.Second {
		s.t.Errorf("the restarted cache counts as %v old, it is %v", age, want)
	}
}

// Guards against a process that forgets what its predecessor was told while discovery is down: it served by the list of
// the configuration, so it sent to caches that drained or had gone, not to new ones, and took cold ones for warm.
func TestSuccessorKnowsWhatItsPredecessorWasTold(t *testing.T) {
	t.Run("replaced once", func(t *testing.T) {
		t.Parallel()
		s := newSuccessionTest(t)
		s.expectTold(s.replace(s.startTold()))
	})
	t.Run("replaced twice", func(t *testing.T) {
		t.Parallel()
		s := newSuccessionTest(t)
		s.expectTold(s.replace(s.replace(s.startTold())))
	})
	t.Run("without a list in its configuration", func(t *testing.T) {
		t.Parallel()
		s := newSuccessionTest(t)
		withoutList := func(config *Config) { config.LastKnownEndpoints = nil }
		s.expectTold(s.replace(s.startTold(), withoutList))
	})
	t.Run("wall clock stepped", func(t *testing.T) {
		t.Parallel()
		s := newSuccessionTest(t)
		first := s.startTold()
		s.wallStep = time.Hour
		s.expectTold(s.replace(first))
	})
	t.Run("predecessor killed as soon as it has passed on its list", func(t *testing.T) {
		t.Parallel()
		s := newSuccessionTest(t)
		first := s.startTold()
		next := s.start()
		s.waitUntil(next, "the list is inherited", func() bool { return next.endpoints.byID["added"] != nil })
		first.Shutdown()
		s.waitUntilServing(next)
		s.expectTold(next)
	})
	t.Run("told after the successor has the list", func(t *testing.T) {
		t.Parallel()
		s := newSuccessionTest(t)
		s.discovery.set(false, knownVersion, s.olderEntries()...)
		first := s.start()
		s.waitUntilServing(first)
		silent := startVersionedDiscovery(t) // the successor's polls are not answered
		silent.set(true, 0)
		next := s.start(func(config *Config) { config.Discovery = silent.addr })
		s.waitUntilServing(next)
		s.discovery.set(false, toldVersion, s.toldEntries()...)
		s.waitUntil(next, "the list is inherited", func() bool { return next.endpoints.byID["added"] != nil })
		s.expectTold(next)
	})
}

// A SIGHUP moves the predecessor to another discovery, which has versions of its own. Its successor must know what that
// one has told, and must not compare it with versions of the one before.
func TestSuccessorKnowsWhatItsPredecessorWasToldAfterReload(t *testing.T) {
	for name, newerNews := range map[string]bool{"told by the new address": true, "new address is silent": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSuccessionTest(t)
			first := s.startTold()
			other := startVersionedDiscovery(t)
			const otherVersion = 2 // lower than those of the first discovery
			if newerNews {
				other.set(false, otherVersion, s.toldEntries()...)
			} else {
				other.set(true, otherVersion)
			}
			first.SetDiscovery(other.addr)
			if newerNews {
				s.waitUntil(first, "the new list is applied", func() bool {
					version, _ := first.endpoints.watch.poller.Version()
					return version == otherVersion
				})
				other.set(true, otherVersion)
			}
			s.discovery = other
			next := s.replace(first)
			s.expectTold(next)
			other.set(false, otherVersion+1, s.toldEntries()...)
			s.waitUntil(next, "news arrive", func() bool {
				version, _ := next.endpoints.watch.poller.Version()
				return version == otherVersion+1
			})
			s.expectTold(next)
		})
	}
}

// A predecessor of an earlier version passes on no list, although it serves by a newer one than the configuration has.
// Its successor waits for discovery as long as it may, and serves by the configuration only then, or once the
// predecessor has ended.
func TestSuccessorOfEarlierVersionWaitsForDiscovery(t *testing.T) {
	for _, end := range []string{"discovery answers", "predecessor ends", "time is over"} {
		t.Run(end, func(t *testing.T) {
			t.Parallel()
			s := newSuccessionTest(t)
			s.discovery.set(true, toldVersion, s.toldEntries()...)
			offer := s.offerWithoutProcess()
			p := s.start() // its request for the state is not answered
			if p.config.Inherited == nil {
				t.Fatal("nothing inherited")
			}
			time.Sleep(2 * lastKnownListDelay)
			if phase := inLoop(t, p, func() Phase { return p.lifecycle.phase }); phase != Starting {
				t.Fatalf("the successor is %v by a list that may be old", phase)
			}
			switch end {
			case "discovery answers":
				s.discovery.set(false, toldVersion, s.toldEntries()...)
				s.waitUntilServing(p)
				s.expectTold(p)
			case "predecessor ends":
				offer.Close()
				s.waitUntilServing(p)
			case "time is over":
				s.waitUntilServing(p)
				if took := inLoop(t, p, p.now).Since(clockEpoch); took < inheritedStateTimeout {
					t.Errorf("serves after %v", took)
				}
			}
		})
	}
}
