package controlserver

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/control/replicatedlog/store"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/scale/logscale/checker"
)

// voters of the test cluster, whose disks the checker looks at.
const testVoters = 3

// evidence is what a cluster leaves for the checker.
type evidence struct {
	mu        sync.Mutex
	persisted [testServers][]logtrace.Kept // by server
	ordered   []logtrace.Ordered
	records   []logtrace.Record // of the nodes
}

func (e *evidence) add(r logtrace.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.At = bootTime()
	e.records = append(e.records, r)
}

// onPersisted notes what is on a server's disk.
func (e *evidence) onPersisted(server int) func([]replicatedlog.Proposal) {
	return func(proposals []replicatedlog.Proposal) {
		kept := logtrace.Kept{At: bootTime()}
		for _, p := range proposals {
			kept.Marks = append(kept.Marks, p.ContentHash())
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.persisted[server] = append(e.persisted[server], kept)
	}
}

// publish has a proposal ordered, and notes when it was sent and acknowledged.
func (e *evidence) publish(c *cluster, p replicatedlog.Proposal) {
	o := logtrace.Ordered{Mark: p.ContentHash(), Config: p.Kind == replicatedlog.Config, Sent: bootTime()}
	o.Index = uint64(c.publish([]replicatedlog.Proposal{p})[0])
	o.Acked = bootTime()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordered = append(e.ordered, o)
}

// report is what the checker makes of the evidence of two nodes.
func (e *evidence) report() checker.Report {
	judge := checker.New(testVoters, nil)
	for server := range testVoters {
		for _, kept := range e.persisted[server] {
			judge.Kept(server, kept)
		}
	}
	for _, o := range e.ordered {
		judge.Order(o)
	}
	for _, r := range e.records {
		judge.Saw(r)
	}
	return judge.Report(2)
}

// soundApplier keeps the rules and notes what it does. The broken ones are made of it.
type soundApplier struct {
	*replicatedlog.Applier
	evidence *evidence
	node     uint32
	starting bool
	started  uint64 // content hash of the configuration that it started with
}

func newSoundApplier(e *evidence, node uint32) *soundApplier {
	a := &soundApplier{evidence: e, node: node}
	a.Applier = replicatedlog.NewApplier(a)
	return a
}

func (a *soundApplier) note(at replicatedlog.Index, p replicatedlog.Proposal) {
	if a.starting {
		a.started = p.ContentHash()
		return
	}
	a.evidence.add(logtrace.Record{Index: uint64(at), Mark: p.ContentHash(), Node: a.node, What: logtrace.Applied})
}

func (a *soundApplier) PresumePurged(replicatedlog.Index) {}

func (a *soundApplier) Purge(at replicatedlog.Index, key string) {
	a.note(at, replicatedlog.Proposal{Kind: replicatedlog.Purge, Body: []byte(key)})
}

func (a *soundApplier) Configure(at replicatedlog.Index, text []byte) error {
	a.note(at, replicatedlog.Proposal{Kind: replicatedlog.Config, Body: text})
	return nil
}

func (a *soundApplier) Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error {
	a.starting = true
	err := a.Applier.Start(log, at, config)
	a.starting = false
	if err == nil {
		a.evidence.add(logtrace.Record{Index: uint64(at), Mark: a.started, Node: a.node, What: logtrace.Began})
	}
	return err
}

// ignoresStartConfig goes on with the configuration that it has, or none, where it is told which one is in force.
type ignoresStartConfig struct{ *soundApplier }

func (a ignoresStartConfig) Start(log replicatedlog.LogID, at replicatedlog.Index, _ cbor.RawMessage) error {
	return a.soundApplier.Start(log, at, nil)
}

// losesFrame loses its third frame and goes on with the next as if nothing were missing.
type losesFrame struct {
	*soundApplier
	frames  int // so far, without heartbeats
	applied replicatedlog.Index
}

func (a *losesFrame) Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error {
	a.applied = at
	return a.soundApplier.Start(log, at, config)
}

func (a *losesFrame) Apply(encoded []cbor.RawMessage) error {
	if len(encoded) > 0 {
		a.frames++
		if a.frames == 3 {
			return nil
		}
	}
	for _, one := range encoded {
		if e, err := replicatedlog.DecodeEntry(one); err == nil {
			a.note(e.Index, e.Proposal)
			a.applied = e.Index
		}
	}
	return nil
}

func (a *losesFrame) CurrentProgress() replicatedlog.Progress {
	progress := a.soundApplier.CurrentProgress()
	progress.Applied = a.applied
	return progress
}

// reportsEarly reports entries when they have arrived, and applies the newest only with the next frame.
type reportsEarly struct {
	*soundApplier
	arrived replicatedlog.Index
	pending []cbor.RawMessage
}

func (a *reportsEarly) Apply(encoded []cbor.RawMessage) error {
	now := append(a.pending, encoded...)
	a.pending = nil
	if len(now) > 0 && len(encoded) > 0 {
		a.pending = now[len(now)-1:]
		now = now[:len(now)-1]
	}
	for _, one := range a.pending {
		if e, err := replicatedlog.DecodeEntry(one); err == nil {
			a.arrived = e.Index
		}
	}
	return a.soundApplier.Apply(now)
}

func (a *reportsEarly) CurrentProgress() replicatedlog.Progress {
	progress := a.soundApplier.CurrentProgress()
	progress.Applied = max(progress.Applied, a.arrived)
	return progress
}

// appliesAgain reports one entry less than it has applied, so that its next stream brings that one again, and does
// not notice.
type appliesAgain struct{ losesFrame }

func newAppliesAgain(sound *soundApplier) *appliesAgain {
	return &appliesAgain{losesFrame{soundApplier: sound, frames: 100}} // it loses none
}

func (a *appliesAgain) CurrentProgress() replicatedlog.Progress {
	progress := a.losesFrame.CurrentProgress()
	progress.Applied = max(1, progress.Applied) - 1
	return progress
}

// lazyDisk says that everything is on disk, and has it there a while later.
type lazyDisk struct {
	*store.Store
	writes sync.WaitGroup
}

func (d *lazyDisk) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	report := d.Store.OnPersisted
	d.Store.OnPersisted = nil
	err := d.Store.Save(hard, entries, snapshot) // for the checker only what is reported is on disk
	d.Store.OnPersisted = report
	d.writes.Go(func() {
		time.Sleep(200 * time.Millisecond)
		report(entries)
	})
	return err
}

func (d *lazyDisk) Close() error {
	d.writes.Wait()
	return d.Store.Close()
}

// openLazyDisk opens a server's folder as a lazyDisk.
func openLazyDisk(t *testing.T, i int, config *Config) *lazyDisk {
	t.Helper()
	owner := store.Owner{ID: uint64(i + 1), Label: testLabel}
	s, err := store.Open(config.File.Control.Data, owner, []uint64{1, 2, 3}, []uint64{4}, true)
	if err != nil {
		t.Fatal(err)
	}
	s.OnPersisted = decodePersisted(config.OnPersisted)
	return &lazyDisk{Store: s}
}

// judgedVariant is how one of two nodes, the servers or the client are broken; the zero one is sound.
type checkedVariant struct {
	name     string
	applier  func(*soundApplier) logfollower.Applier // of the first node
	lazyDisk bool                                    // of all servers
	newID    bool                                    // a client that tries again gives the change another id
	want     []string                                // breaches that are to be found
}

// The checker finds no breach where the rules are kept, and each of these where it is broken: by code that runs, not
// by made-up traces.
func TestCheckerFindsBrokenVariants(t *testing.T) {
	t.Parallel()
	for _, v := range []checkedVariant{
		{name: "sound"},
		{
			name:    "a gap is passed over",
			applier: func(a *soundApplier) logfollower.Applier { return &losesFrame{soundApplier: a} },
			want:    []string{checker.Missing},
		},
		{
			name:     "acknowledged before a majority has it",
			lazyDisk: true,
			want:     []string{checker.EarlyAck, checker.EarlyInForce},
		},
		{
			name:    "an old configuration at the start",
			applier: func(a *soundApplier) logfollower.Applier { return ignoresStartConfig{a} },
			want:    []string{checker.OldBeginning},
		},
		{
			name:    "reported too early",
			applier: func(a *soundApplier) logfollower.Applier { return &reportsEarly{soundApplier: a} },
			want:    []string{checker.EarlyTold},
		},
		{
			name:    "applied again",
			applier: func(a *soundApplier) logfollower.Applier { return newAppliesAgain(a) },
			want:    []string{checker.Doubled},
		},
		{name: "ordered twice on a retry", newID: true, want: []string{checker.Doubled}},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			report := v.run(t)
			var found []string
			for _, breach := range report.Breaches {
				found = append(found, breach.What)
			}
			if v.want == nil && found != nil {
				t.Errorf("%+v", report)
			}
			for _, want := range v.want {
				if !slices.Contains(found, want) {
					t.Errorf("not found: %s, but %q", want, found)
				}
			}
		})
	}
}

// run publishes a configuration and twelve purges, one of them twice, to two nodes whose streams break once.
func (v *checkedVariant) run(t *testing.T) checker.Report {
	e := &evidence{}
	c := newCluster(t, nil, func(i int, config *Config) {
		config.OnPersisted = e.onPersisted(i)
		if v.lazyDisk {
			config.Storage = openLazyDisk(t, i, config)
		}
	})
	e.publish(c, newConfig("the first"))
	for _, server := range c.servers {
		eventually(t, 10*time.Second, "all servers have the first entry", func() bool { return server.Last() >= 1 })
	}
	nodes := v.startNodes(t, c, e)
	for i := range 12 {
		p := controlclient.NewProposal(replicatedlog.Purge, fmt.Append(nil, "key-", i))
		e.publish(c, p)
		if i == 7 { // as if its answer was lost
			if v.newID {
				p = controlclient.NewProposal(p.Kind, p.Body)
			}
			c.publish([]replicatedlog.Proposal{p})
		}
		if i == 5 {
			c.breakNodeStreams()
		}
		time.Sleep(2 * deliveryInterval)
	}
	time.Sleep(2*controlwire.ProgressInterval + 300*time.Millisecond)
	for _, n := range nodes {
		n.Close()
	}
	for i := range c.servers {
		c.stop(i)
	}
	return e.report()
}

// startNodes starts two nodes, the first one broken.
func (v *checkedVariant) startNodes(t *testing.T, c *cluster, e *evidence) []*logfollower.Follower {
	t.Helper()
	var nodes []*logfollower.Follower
	var starts []*startRecorder
	for i := range uint32(2) {
		sound := newSoundApplier(e, i)
		var applier logfollower.Applier = sound
		if v.applier != nil && i == 0 {
			applier = v.applier(sound)
		}
		started := &startRecorder{Applier: applier}
		n := logfollower.Start(logfollower.Config{
			Name:       fmt.Sprint("n", i),
			Label:      testLabel,
			Servers:    c.nodeAddrs(),
			Seed:       i,
			StaleAfter: time.Second,
			Applier:    started,
			Log:        silentLogger(),
			Now:        bootTime,
			Dial:       c.dial,
			OnProgressSent: func(at replicatedlog.Index) {
				e.add(logtrace.Record{Index: uint64(at), Node: i, What: logtrace.Told})
			},
		})
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
		starts = append(starts, started)
	}
	waitStarted(t, starts...)
	return nodes
}
