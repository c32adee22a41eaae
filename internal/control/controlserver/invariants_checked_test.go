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

// testVoters is the number of voters, whose disks the checker inspects.
const testVoters = 3

// traceRecorder records what a cluster does, for the checker.
type traceRecorder struct {
	mu        sync.Mutex
	persisted [testServers][]logtrace.DurableEntries // by server
	ordered   []logtrace.PublishedChange
	records   []logtrace.NodeEvent // of the nodes
}

func (e *traceRecorder) add(r logtrace.NodeEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.At = bootTime()
	e.records = append(e.records, r)
}

// onPersisted records the proposals that are on a server's disk.
func (e *traceRecorder) onPersisted(server int) func([]replicatedlog.Proposal) {
	return func(proposals []replicatedlog.Proposal) {
		written := logtrace.DurableEntries{At: bootTime()}
		for _, p := range proposals {
			written.Marks = append(written.Marks, p.ContentHash())
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.persisted[server] = append(e.persisted[server], written)
	}
}

// publish publishes a proposal, and records when it was sent and acknowledged.
func (e *traceRecorder) publish(c *cluster, p replicatedlog.Proposal) {
	o := logtrace.PublishedChange{Mark: p.ContentHash(), Config: p.Kind == replicatedlog.Config, Sent: bootTime()}
	o.Index = uint64(c.publish([]replicatedlog.Proposal{p})[0])
	o.Acked = bootTime()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordered = append(e.ordered, o)
}

// report runs the checker over the trace of two nodes.
func (e *traceRecorder) report() checker.Report {
	traceChecker := checker.New(testVoters, nil)
	for server := range testVoters {
		for _, written := range e.persisted[server] {
			traceChecker.AddStored(server, written)
		}
	}
	for _, o := range e.ordered {
		traceChecker.AddPublished(o)
	}
	for _, r := range e.records {
		traceChecker.AddNodeRecord(r)
	}
	return traceChecker.Report(2)
}

// correctApplier keeps the invariants and records what it does. The broken appliers wrap it.
type correctApplier struct {
	*replicatedlog.Applier
	recorder *traceRecorder
	node     uint32
	starting bool
	started  uint64 // content hash of the configuration that it started with
}

func newCorrectApplier(e *traceRecorder, node uint32) *correctApplier {
	a := &correctApplier{recorder: e, node: node}
	a.Applier = replicatedlog.NewApplier(a)
	return a
}

func (a *correctApplier) note(at replicatedlog.Index, p replicatedlog.Proposal) {
	if a.starting {
		a.started = p.ContentHash()
		return
	}
	a.recorder.add(logtrace.NodeEvent{Index: uint64(at), Mark: p.ContentHash(), Node: a.node, Kind: logtrace.Applied})
}

func (a *correctApplier) PresumePurged(replicatedlog.Index) {}

func (a *correctApplier) Purge(at replicatedlog.Index, key string) {
	a.note(at, replicatedlog.Proposal{Kind: replicatedlog.Purge, Body: []byte(key)})
}

func (a *correctApplier) Configure(at replicatedlog.Index, text []byte) error {
	a.note(at, replicatedlog.Proposal{Kind: replicatedlog.Config, Body: text})
	return nil
}

func (a *correctApplier) Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error {
	a.starting = true
	err := a.Applier.Start(log, at, config)
	a.starting = false
	if err == nil {
		a.recorder.add(logtrace.NodeEvent{Index: uint64(at), Mark: a.started, Node: a.node, Kind: logtrace.Began})
	}
	return err
}

// ignoresStartConfig ignores the configuration in force that a start message contains, and keeps its own or none.
type ignoresStartConfig struct{ *correctApplier }

func (a ignoresStartConfig) Start(log replicatedlog.LogID, at replicatedlog.Index, _ cbor.RawMessage) error {
	return a.correctApplier.Start(log, at, nil)
}

// losesFrame drops its third frame and continues with the next one without reporting a gap.
type losesFrame struct {
	*correctApplier
	frames  int // so far, without heartbeats
	applied replicatedlog.Index
}

func (a *losesFrame) Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error {
	a.applied = at
	return a.correctApplier.Start(log, at, config)
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
	progress := a.correctApplier.CurrentProgress()
	progress.Applied = a.applied
	return progress
}

// reportsEarly reports entries on arrival, but applies the newest one only with the next frame.
type reportsEarly struct {
	*correctApplier
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
	return a.correctApplier.Apply(now)
}

func (a *reportsEarly) CurrentProgress() replicatedlog.Progress {
	progress := a.correctApplier.CurrentProgress()
	progress.Applied = max(progress.Applied, a.arrived)
	return progress
}

// appliesAgain reports one entry less than it has applied, so that its next stream delivers that entry again, and
// applies it twice.
type appliesAgain struct{ losesFrame }

func newAppliesAgain(correct *correctApplier) *appliesAgain {
	return &appliesAgain{losesFrame{correctApplier: correct, frames: 100}} // it drops none
}

func (a *appliesAgain) CurrentProgress() replicatedlog.Progress {
	progress := a.losesFrame.CurrentProgress()
	progress.Applied = max(1, progress.Applied) - 1
	return progress
}

// asyncStore reports entries to OnPersisted only some time after Save has returned, as if they reached the disk late.
type asyncStore struct {
	*store.Store
	writes sync.WaitGroup
}

func (d *asyncStore) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	report := d.Store.OnPersisted
	d.Store.OnPersisted = nil
	err := d.Store.Save(hard, entries, snapshot) // for the checker only reported entries are on disk
	d.Store.OnPersisted = report
	d.writes.Go(func() {
		time.Sleep(200 * time.Millisecond)
		report(entries)
	})
	return err
}

func (d *asyncStore) Close() error {
	d.writes.Wait()
	return d.Store.Close()
}

// openAsyncStore opens a server's data directory as an asyncStore.
func openAsyncStore(t *testing.T, i int, config *Config) *asyncStore {
	t.Helper()
	owner := store.Owner{ID: uint64(i + 1), Label: testLabel}
	s, err := store.Open(config.File.Control.Data, owner, []uint64{1, 2, 3}, []uint64{4}, true)
	if err != nil {
		t.Fatal(err)
	}
	s.OnPersisted = decodePersisted(config.OnPersisted)
	return &asyncStore{Store: s}
}

// checkedVariant describes how one of two nodes, the servers or the client are broken; the zero value is correct.
type checkedVariant struct {
	name       string
	applier    func(*correctApplier) logfollower.Applier // of the first node
	asyncStore bool                                      // of all servers
	newID      bool                                      // the client gives a retried proposal a new id
	want       []string                                  // breaches that the checker has to find
}

// The checker must find no breach in a correct run, and the expected ones in each broken variant. The traces come from
// running code, not from made-up records.
func TestCheckerFindsBrokenVariants(t *testing.T) {
	t.Parallel()
	for _, v := range []checkedVariant{
		{name: "correct"},
		{
			name:    "a gap is not reported",
			applier: func(a *correctApplier) logfollower.Applier { return &losesFrame{correctApplier: a} },
			want:    []string{checker.Missing},
		},
		{
			name:       "acknowledged before a majority has persisted it",
			asyncStore: true,
			want:       []string{checker.EarlyAck, checker.EarlyInForce},
		},
		{
			name:    "start with an old configuration",
			applier: func(a *correctApplier) logfollower.Applier { return ignoresStartConfig{a} },
			want:    []string{checker.StaleStart},
		},
		{
			name:    "reported too early",
			applier: func(a *correctApplier) logfollower.Applier { return &reportsEarly{correctApplier: a} },
			want:    []string{checker.EarlyReport},
		},
		{
			name:    "applied again",
			applier: func(a *correctApplier) logfollower.Applier { return newAppliesAgain(a) },
			want:    []string{checker.Duplicated},
		},
		{name: "ordered twice on a retry", newID: true, want: []string{checker.Duplicated}},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			report := v.run(t)
			var found []string
			for _, breach := range report.Breaches {
				found = append(found, breach.What)
			}
			if v.want == nil && found != nil {
				t.Errorf("breaches in a correct run: %+v", report)
			}
			for _, want := range v.want {
				if !slices.Contains(found, want) {
					t.Errorf("breach not found: %s; found %q", want, found)
				}
			}
		})
	}
}

// run publishes a configuration and twelve purges, one of them twice, to two nodes whose streams are closed once.
func (v *checkedVariant) run(t *testing.T) checker.Report {
	e := &traceRecorder{}
	c := newCluster(t, nil, func(i int, config *Config) {
		config.OnPersisted = e.onPersisted(i)
		if v.asyncStore {
			config.Storage = openAsyncStore(t, i, config)
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
		if i == 7 { // as after a lost answer
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
func (v *checkedVariant) startNodes(t *testing.T, c *cluster, e *traceRecorder) []*logfollower.Follower {
	t.Helper()
	var nodes []*logfollower.Follower
	var starts []*startRecorder
	for i := range uint32(2) {
		correct := newCorrectApplier(e, i)
		var applier logfollower.Applier = correct
		if v.applier != nil && i == 0 {
			applier = v.applier(correct)
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
				e.add(logtrace.NodeEvent{Index: uint64(at), Node: i, Kind: logtrace.Acknowledged})
			},
		})
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
		starts = append(starts, started)
	}
	waitStarted(t, starts...)
	return nodes
}
