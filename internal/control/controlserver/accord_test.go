package controlserver

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/control/replicatedlog/store"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

func quietly() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func boottime() monotime.Instant {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return monotime.Instant(t.Nano())
}

// fleet is some control machines in this process, whose streams can be cut.
type fleet struct {
	t    *testing.T
	dirs []string
	mu   sync.Mutex
	ms   []*Server
	cut  map[string]bool // addresses that are not reached
	open map[string][]net.Conn
	bent func(i int, b *Config) // a broken variant
	file func(*fleetconfig.ControlFile)
}

func peerAt(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }
func nodeAt(i int) string { return fmt.Sprintf("10.0.0.%d:2", i+1) }

func newFleet(t *testing.T, file func(*fleetconfig.ControlFile), bent func(int, *Config)) *fleet {
	f := &fleet{t: t, cut: map[string]bool{}, open: map[string][]net.Conn{}, ms: make([]*Server, 4), bent: bent, file: file}
	for range f.ms {
		f.dirs = append(f.dirs, t.TempDir())
	}
	for i := range f.ms {
		f.start(i, true)
	}
	t.Cleanup(func() {
		for i := range f.ms {
			f.stop(i)
		}
	})
	return f
}

func (f *fleet) start(i int, first bool) {
	f.t.Helper()
	file := fleetconfig.DefaultControl()
	file.Control = fleetconfig.Control{ID: uint64(i + 1), Label: "l", Peers: "127.0.0.1:0", Nodes: "127.0.0.1:0", Data: f.dirs[i]}
	file.Bounds.ElectMs = 500
	for j := range f.ms {
		file.Machines = append(file.Machines, fleetconfig.Machine{ID: uint64(j + 1), Name: fmt.Sprintf("c%d", j+1), Addr: peerAt(j), Learner: j == 3})
	}
	if f.file != nil {
		f.file(&file)
	}
	b := Config{File: &file, New: first, Log: quietly(), Now: boottime, Dial: func(addr string, within time.Duration) (net.Conn, error) {
		if f.isCut(peerAt(i)) { // a machine that is cut off reaches nobody
			return nil, errors.New("cut")
		}
		return f.dial(addr, within)
	}}
	if f.bent != nil {
		f.bent(i, &b)
	}
	m, err := Open(b)
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.ms[i] = m
	f.mu.Unlock()
}

func (f *fleet) stop(i int) {
	f.mu.Lock()
	m := f.ms[i]
	f.ms[i] = nil
	f.mu.Unlock()
	if m != nil {
		m.Close()
	}
}

func (f *fleet) isCut(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[addr]
}

// dial reaches a machine by the address that is stated for it.
func (f *fleet) dial(addr string, within time.Duration) (net.Conn, error) {
	f.mu.Lock()
	to := ""
	for i, m := range f.ms {
		if m != nil && addr == peerAt(i) {
			to = m.PeersAddr()
		} else if m != nil && addr == nodeAt(i) {
			to = m.Addr()
		}
	}
	cut := f.cut[addr]
	f.mu.Unlock()
	if to == "" || cut {
		return nil, errors.New("nobody there")
	}
	c, err := net.DialTimeout("tcp", to, within)
	if err == nil {
		f.mu.Lock()
		f.open[addr] = append(f.open[addr], c)
		f.mu.Unlock()
	}
	return c, err
}

// sever cuts a machine off from the others, not from nodes, or brings it back.
func (f *fleet) sever(i int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[peerAt(i)] = cut
	for _, c := range f.open[peerAt(i)] {
		if cut {
			_ = c.Close()
		}
	}
	if m := f.ms[i]; m != nil && cut {
		for _, p := range m.peers {
			for _, c := range f.open[p.Addr] {
				_ = c.Close() // others' streams to it come again
			}
		}
	}
}

func (f *fleet) leader() int {
	for by := time.Now().Add(10 * time.Second); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
		for i, m := range f.ms {
			if m != nil && m.Leads() && !f.isCut(peerAt(i)) {
				return i
			}
		}
	}
	f.t.Fatal("nobody leads")
	return 0
}

func (f *fleet) all() (at []string) {
	for i := range f.ms {
		at = append(at, nodeAt(i))
	}
	return at
}

func (f *fleet) publish(all []replicatedlog.Proposal, at ...string) []replicatedlog.Index {
	f.t.Helper()
	if len(at) == 0 {
		at = f.all()
	}
	ctx, done := context.WithTimeout(context.Background(), 20*time.Second)
	defer done()
	got, err := controlclient.Client{Servers: at, Label: "l", Dial: f.dial}.Publish(ctx, all)
	if err != nil {
		f.t.Fatal(err)
	}
	return got
}

// follower keeps what it did by the log.
type follower struct {
	*logfollower.Follower
	recorder *startRecorder
	mu       sync.Mutex
	index    []replicatedlog.Index
	did      []string
	presumed []replicatedlog.Index
	cut      bool
}

func (n *follower) PresumePurged(upTo replicatedlog.Index) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.presumed = append(n.presumed, upTo)
}

func (n *follower) Purge(at replicatedlog.Index, key string) { _ = n.Configure(at, []byte(key)) }

func (n *follower) Configure(at replicatedlog.Index, text []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.index, n.did = append(n.index, at), append(n.did, string(text))
	if strings.HasPrefix(string(text), "bad") {
		return errors.New("it can't be used")
	}
	return nil
}

// startRecorder notes that an Applier was told where to start.
type startRecorder struct {
	logfollower.Applier
	started atomic.Bool
}

func (r *startRecorder) Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error {
	err := r.Applier.Start(log, at, config)
	if err == nil {
		r.started.Store(true)
	}
	return err
}

func (f *fleet) follow(name string, seed uint32) *follower {
	n := &follower{}
	n.recorder = &startRecorder{Applier: replicatedlog.NewApplier(n)}
	n.Follower = logfollower.Start(logfollower.Config{Name: name, Label: "l", Servers: f.all(), Seed: seed, StaleAfter: time.Second, Applier: n.recorder, Log: quietly(), Now: boottime,
		Dial: func(addr string, within time.Duration) (net.Conn, error) {
			n.mu.Lock()
			cut := n.cut
			n.mu.Unlock()
			if cut {
				return nil, errors.New("cut")
			}
			c, err := f.dial(addr, within)
			if err != nil {
				return nil, err
			}
			return &cuttable{c, n}, nil
		}})
	f.t.Cleanup(n.Close)
	return n
}

// cuttable is a stream that breaks once its node is cut off.
type cuttable struct {
	net.Conn
	n *follower
}

func (c *cuttable) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.n.cut {
		_ = c.Conn.Close()
		return 0, errors.New("cut")
	}
	return n, err
}

// upTo waits until a follower has applied up to an index.
func (f *fleet) upTo(n *follower, at replicatedlog.Index) {
	f.t.Helper()
	for by := time.Now().Add(15 * time.Second); n.Status().Applied < at; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(by) {
			f.t.Fatalf("%s: %+v, wanted up to %d", n.Name, n.Status(), at)
		}
	}
}

func purges(from, n int) (all []replicatedlog.Proposal) {
	for i := range n {
		all = append(all, controlclient.NewProposal(replicatedlog.Purge, fmt.Appendf(nil, "key-%d", from+i)))
	}
	return all
}

func (n *follower) have(t *testing.T, from replicatedlog.Index, want ...string) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.Equal(n.did, want) {
		first := 0
		for first < min(len(want), len(n.did)) && want[first] == n.did[first] {
			first++
		}
		t.Errorf("%s did %d, wanted %d; the same up to %d: %q", n.Name, len(n.did), len(want), first, n.did[min(first, len(n.did)):min(first+3, len(n.did))])
	}
	for i, at := range n.index {
		if at != from+replicatedlog.Index(i) {
			t.Errorf("%s: entry %d at %d", n.Name, at, i)
			return
		}
	}
}

func bodies(all ...[]replicatedlog.Proposal) (out []string) {
	for _, some := range all {
		for _, p := range some {
			out = append(out, string(p.Body))
		}
	}
	return out
}

// Each change becomes one entry, however often it is put forward and at whichever machine; every node has each in order, while the leader
// ends and comes back with its disk, and a node is cut off meanwhile.
func TestChangesReachAllInOrderWhileALeaderEnds(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil, nil)
	var nodes []*follower
	for i := range 24 {
		nodes = append(nodes, f.follow(fmt.Sprintf("n%02d", i), uint32(i)))
	}
	for _, n := range nodes {
		for by := time.Now().Add(10 * time.Second); !n.recorder.started.Load() && time.Now().Before(by); {
			time.Sleep(5 * time.Millisecond)
		}
	}
	one, burst, last := purges(0, 5), purges(100, 1000), purges(2000, 7)
	for i := range one {
		at := f.publish(one[i:i+1], nodeAt(i%4))
		if again := f.publish(one[i:i+1], nodeAt((i+1)%4)); at[0] != replicatedlog.Index(i+1) || again[0] != at[0] {
			t.Errorf("ordered at %v, again at %v", at, again)
		}
	}
	was := f.leader()
	f.stop(was)
	nodes[0].mu.Lock()
	nodes[0].cut = true
	nodes[0].mu.Unlock()
	if at := f.publish(burst); at[0] != 6 || at[999] != 1005 {
		t.Errorf("a burst was ordered from %d to %d", at[0], at[999])
	}
	f.start(was, false)
	f.publish(last, nodeAt(was))
	nodes[0].mu.Lock()
	nodes[0].cut = false
	nodes[0].mu.Unlock()
	for _, n := range nodes {
		f.upTo(n, 1012)
		n.have(t, 1, bodies(one, burst, last)...)
		if s := n.Status(); s.Gaps != 0 || s.Purges != 1012 {
			t.Errorf("%+v", s)
		}
	}
	used := map[string]int{}
	for _, n := range nodes {
		used[n.Status().Server]++
	}
	if len(used) < 3 {
		t.Errorf("the nodes are at %v", used)
	}
	time.Sleep(2 * controlwire.ProgressInterval)
	o, err := controlclient.Client{Servers: f.all(), Label: "l", Dial: f.dial}.Overview()
	if err != nil || !o.CaughtUp() || len(o.Nodes) != 24 || o.Last != 1012 || len(o.Servers) != 4 {
		t.Errorf("%v: %+v", err, o)
	}
	if err := f.ms[was].Fault(); err != nil {
		t.Error(err)
	}
}

// A machine that is cut off from the voters, and not from nodes, orders nothing, and its nodes leave it.
func TestNodesLeaveAMachineThatHearsNoLeader(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil, nil)
	var nodes []*follower
	for i := range 4 {
		nodes = append(nodes, f.follow(fmt.Sprintf("n%d", i), uint32(i)))
	}
	f.publish(purges(0, 1))
	for _, n := range nodes {
		f.upTo(n, 1-min(1, n.Status().PresumedPurged))
	}
	gone := f.leader()
	lone := f.ms[gone]
	n := &follower{} // a node that had rather be there than anywhere
	n.Follower = logfollower.Start(logfollower.Config{Name: "there", Label: "l", Servers: f.all(), Seed: f.seedFor(gone), StaleAfter: time.Second, Applier: replicatedlog.NewApplier(n), Log: quietly(), Now: boottime, Dial: f.dial})
	t.Cleanup(n.Close)
	f.upTo(n, 1-min(1, n.Status().PresumedPurged))
	nodes = append(nodes, n)
	f.sever(gone, true)
	began := time.Now()
	f.publish(purges(1, 1), append([]string{nodeAt(gone)}, f.others(gone)...)...)
	if took := time.Since(began); took > controlwire.OrderTimeout/2 {
		t.Errorf("it took %v, by a machine that can't order first", took)
	}
	for _, n := range nodes {
		f.upTo(n, 2)
	}
	if lone.Last() != 1 {
		t.Errorf("a machine without a majority has %d", lone.Last())
	}
	lone.loop.publishes <- newPublishCall(purges(9, 1))
	time.Sleep(700 * time.Millisecond)
	if lone.Last() != 1 || lone.Leads() {
		t.Errorf("alone it has %d, leads: %t", lone.Last(), lone.Leads())
	}
	f.sever(gone, false)
	at := f.publish(purges(2, 1))
	for _, n := range nodes {
		f.upTo(n, at[0])
	}
	f.upTo(nodes[0], 4) // what waited there was ordered, too, once it could be
}

// A machine and a node that are behind what is kept begin anew: the latest configuration, and all before may have been purged.
func TestWhoIsBehindWhatIsKeptBeginsAnew(t *testing.T) {
	t.Parallel()
	f := newFleet(t, func(c *fleetconfig.ControlFile) { c.Bounds.Entries = 1024 }, nil)
	n := f.follow("n", 1)
	f.publish([]replicatedlog.Proposal{controlclient.NewProposal(replicatedlog.Config, []byte("first")), controlclient.NewProposal(replicatedlog.Config, []byte("bad one"))})
	f.upTo(n, 2)
	if s := n.Status(); s.Config > 1 || s.PresumedPurged < 2 && (s.Refused != 2 || s.Reason == "") {
		t.Errorf("%+v", s)
	}
	n.mu.Lock()
	n.cut, n.did, n.index = true, nil, nil
	n.mu.Unlock()
	behind := (f.leader() + 1) % 3
	f.stop(behind)
	f.publish([]replicatedlog.Proposal{controlclient.NewProposal(replicatedlog.Config, []byte("second"))}, f.others(behind)...)
	late := purges(0, 2000)
	f.publish(late, f.others(behind)...)
	if s := n.Status(); s.Stale != (s.HeardS > 1) {
		t.Errorf("%+v", s)
	}
	f.start(behind, false)
	n.mu.Lock()
	n.cut = false
	n.mu.Unlock()
	f.upTo(n, 2003)
	floor := n.Status().PresumedPurged
	if floor < 2003-1024 || floor > 2003-1 {
		t.Errorf("it began at %d", floor)
	}
	if n.Status().Config != 3 {
		t.Errorf("%+v", n.Status())
	}
	n.mu.Lock()
	n.index[0] = floor // the configuration, which is as of there
	n.mu.Unlock()
	n.have(t, floor, append([]string{"second"}, bodies(late)[floor-3:]...)...)
	for by := time.Now().Add(10 * time.Second); f.ms[behind].Last() < 2003; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("the machine that was off has %d", f.ms[behind].Last())
		}
	}
}

// seedFor is of a node that follows at a machine first.
func (f *fleet) seedFor(i int) uint32 {
	for seed := uint32(0); ; seed++ {
		first := slices.MinFunc(f.all(), func(x, y string) int {
			return cmp.Compare(keyhash.Salted(keyhash.String(x), int(seed)), keyhash.Salted(keyhash.String(y), int(seed)))
		})
		if first == nodeAt(i) {
			return seed
		}
	}
}

func (f *fleet) others(i int) []string { return slices.Delete(f.all(), i, i+1) }

// What all nodes have applied is not kept on; a node that is off holds it until it was not heard for as long as stated.
func TestWhatAllHaveIsNotKept(t *testing.T) {
	t.Parallel()
	f := newFleet(t, func(c *fleetconfig.ControlFile) { c.Bounds.Entries, c.Bounds.HoldS = 3000, 3600 }, nil)
	one, off := f.follow("one", 1), f.follow("off", 2)
	f.publish(purges(0, 10))
	f.upTo(one, 10)
	f.upTo(off, 10)
	off.mu.Lock()
	off.cut = true
	off.mu.Unlock()
	f.publish(purges(10, 2690))
	f.upTo(one, 2700)
	time.Sleep(2*controlwire.ProgressInterval + 2*statusInterval)
	trim := func(runs time.Duration) {
		m := f.ms[f.leader()]
		done := make(chan bool)
		m.loop.call(func() {
			m.loop.startedAt, m.loop.lastTrim = time.Now().Add(-runs), time.Time{}
			m.loop.trim()
			close(done)
		})
		<-done
	}
	floors := func() (all []replicatedlog.Index) {
		for _, m := range f.ms {
			_, floor, _ := m.log.Position()
			all = append(all, floor)
		}
		return all
	}
	kept := func(why string) {
		t.Helper()
		time.Sleep(300 * time.Millisecond)
		if slices.Max(floors()) > 0 {
			t.Errorf("kept after %v, %s", floors(), why)
		}
	}
	trim(2 * time.Hour)
	kept("although a node lacks it that was heard within the hour")
	unheard := func() { // again and again below: a table that a machine told before comes to another after it
		for _, m := range f.ms {
			m.status.mu.Lock()
			if was, is := m.status.nodes["off"]; is {
				was.heardAt -= monotime.Instant(2 * time.Hour)
				m.status.nodes["off"] = was
			}
			m.status.mu.Unlock()
		}
	}
	unheard()
	trim(0)
	kept("by a leader that has just begun, and may not know of all")
	for by := time.Now().Add(10 * time.Second); !slices.Equal(floors(), []replicatedlog.Index{1200, 1200, 1200, 1200}); time.Sleep(100 * time.Millisecond) {
		unheard()
		if trim(2 * time.Hour); time.Now().After(by) {
			t.Fatalf("kept after %v", floors())
		}
	}
}

// broken is a disk that takes nothing more from some time on.
type broken struct {
	Storage
	mu   sync.Mutex
	full bool
}

func (b *broken) Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.full {
		return errors.New("no space left")
	}
	return b.Storage.Save(hard, entries, snap)
}

// A machine whose disk takes nothing more acknowledges nothing more and ends; the others go on.
func TestAMachineWhoseDiskIsFullEnds(t *testing.T) {
	t.Parallel()
	var disks [4]*broken
	f := newFleet(t, nil, func(i int, b *Config) {
		s, err := store.Open(b.File.Control.Data, store.Owner{ID: uint64(i + 1), Label: "l"}, []uint64{1, 2, 3}, []uint64{4}, true)
		if err != nil {
			t.Fatal(err)
		}
		disks[i] = &broken{Storage: s}
		b.Storage = disks[i]
	})
	f.publish(purges(0, 1))
	i := f.leader()
	disks[i].mu.Lock()
	disks[i].full = true
	disks[i].mu.Unlock()
	if at := f.publish(purges(1, 1)); at[0] != 2 {
		t.Errorf("ordered at %d", at)
	}
	select {
	case <-f.ms[i].Done():
	case <-time.After(5 * time.Second):
		t.Fatal("it goes on")
	}
	if err := f.ms[i].Fault(); err == nil || !strings.Contains(err.Error(), "no space left") {
		t.Errorf("it ended for %v", err)
	}
}

// What is no part of the log is dropped with a count, and another fleet's before it is read.
func TestStrangersAreDropped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil, nil)
	f.publish(purges(0, 1))
	m := f.ms[0]
	before := m.status.invalid.Load()
	for _, said := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), controlwire.Preface(controlwire.StreamFollower, "another"), controlwire.Preface('x', "l"),
		append(controlwire.Preface(controlwire.StreamFollower, "l"), 0xff, 0xff, 0xff, 0xff), append(controlwire.Preface(controlwire.StreamFollower, "l"), 0, 0, 0, 1, 0xff)} {
		for _, at := range []string{m.Addr(), m.PeersAddr()} {
			c, err := net.Dial("tcp", at)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = c.Write(said)
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			if n, err := c.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("% x: %d bytes, %v", said, n, err)
			}
			_ = c.Close()
		}
	}
	if got := m.status.invalid.Load() - before; got != 10 {
		t.Errorf("%d of 10 were counted", got)
	}
	if o, err := (controlclient.Client{Servers: []string{m.Addr()}, Label: "l"}).Overview(); err != nil || o.Servers[0].Invalid != before+10 || o.Servers[0].BytesOut == 0 {
		t.Errorf("told: %v, %+v", err, o)
	}
}

// Where all disks were lost and a new log begins, nodes that had more of the old one begin anew, rather than to pass its first entries over.
func TestNodesBeginAnewWithAnotherLog(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil, nil)
	n := f.follow("n", 1)
	f.publish(purges(0, 20))
	f.upTo(n, 20)
	for i := range f.ms {
		f.stop(i)
		f.dirs[i] = t.TempDir()
	}
	n.mu.Lock()
	n.did, n.index = nil, nil
	n.mu.Unlock()
	for i := range f.ms {
		f.start(i, true)
	}
	for by := time.Now().Add(10 * time.Second); n.Status().Applied > 5; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%+v", n.Status())
		}
	}
	began := n.Status().PresumedPurged
	late := purges(100, 5)
	f.publish(late)
	f.upTo(n, 5)
	n.have(t, began+1, bodies(late)[began:]...)
}

// Where nothing is published, signs of life come each second however often a node says up to where it has applied.
func TestSignsOfLifeComeWhateverIsAcknowledged(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil, nil)
	f.publish(purges(0, 1))
	l, err := controlwire.Dial(nil, f.ms[f.leader()].Addr(), controlwire.StreamFollower, "l", controlwire.MaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		w := controlwire.Message{Kind: controlwire.KindHello, Fresh: true, Nodes: []controlwire.NodeReport{{Node: "n"}}}
		for ; ; time.Sleep(controlwire.HeartbeatInterval / 3) {
			if _, err := l.Send(w, controlwire.WriteTimeout); err != nil {
				return
			}
			w.Kind = controlwire.KindProgress
		}
	}()
	for range 4 { // the beginning, and three signs of life
		if _, _, err := l.Receive(2 * controlwire.HeartbeatInterval); err != nil {
			t.Fatal(err)
		}
	}
}
