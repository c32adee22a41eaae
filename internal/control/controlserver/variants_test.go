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

// evidence is what a small fleet leaves for the judge.
type evidence struct {
	mu      sync.Mutex
	kept    [4][]logtrace.Kept
	orders  []logtrace.Ordered
	records []logtrace.Record
}

func (e *evidence) put(r logtrace.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.At = boottime()
	e.records = append(e.records, r)
}

func (e *evidence) keeps(i int) func([]replicatedlog.Proposal) {
	return func(all []replicatedlog.Proposal) {
		k := logtrace.Kept{At: boottime()}
		for _, p := range all {
			k.Marks = append(k.Marks, p.ContentHash())
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.kept[i] = append(e.kept[i], k)
	}
}

func (e *evidence) publish(f *fleet, p replicatedlog.Proposal) {
	o := logtrace.Ordered{Mark: p.ContentHash(), Config: p.Kind == replicatedlog.Config, Sent: boottime()}
	o.Index = uint64(f.publish([]replicatedlog.Proposal{p})[0])
	o.Acked = boottime()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
}

// sound is a reader that keeps the rules and writes down what it does. The broken ones stand on it.
type sound struct {
	*replicatedlog.Applier
	e      *evidence
	number uint32
	begins bool
	mark   uint64
}

func (s *sound) note(at replicatedlog.Index, p replicatedlog.Proposal) {
	if s.begins {
		s.mark = p.ContentHash()
		return
	}
	s.e.put(logtrace.Record{Index: uint64(at), Mark: p.ContentHash(), Node: s.number, What: logtrace.Applied})
}

func (s *sound) PresumePurged(replicatedlog.Index) {}
func (s *sound) Purge(at replicatedlog.Index, key string) {
	s.note(at, replicatedlog.Proposal{Kind: replicatedlog.Purge, Body: []byte(key)})
}
func (s *sound) Configure(at replicatedlog.Index, text []byte) error {
	s.note(at, replicatedlog.Proposal{Kind: replicatedlog.Config, Body: text})
	return nil
}

func (s *sound) Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error {
	s.begins = true
	err := s.Applier.Start(log, at, config)
	if s.begins = false; err == nil {
		s.e.put(logtrace.Record{Index: uint64(at), Mark: s.mark, Node: s.number, What: logtrace.Began})
	}
	return err
}

// unheeding takes an old configuration, or none, for the one in force where it begins.
type unheeding struct{ *sound }

func (u unheeding) Start(log replicatedlog.LogID, at replicatedlog.Index, _ cbor.RawMessage) error {
	return u.sound.Start(log, at, nil)
}

// gapped loses a frame and goes on with the next as if nothing were missing.
type gapped struct {
	*sound
	frames  int
	applied replicatedlog.Index
}

func (g *gapped) Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error {
	g.applied = at
	return g.sound.Start(log, at, config)
}

func (g *gapped) Apply(raw []cbor.RawMessage) error {
	if len(raw) > 0 { // else it is a sign of life
		if g.frames++; g.frames == 3 {
			return nil
		}
	}
	for _, b := range raw {
		if e, err := replicatedlog.DecodeEntry(b); err == nil {
			g.note(e.Index, e.Proposal)
			g.applied = e.Index
		}
	}
	return nil
}

func (g *gapped) CurrentProgress() replicatedlog.Progress {
	s := g.sound.CurrentProgress()
	s.Applied = g.applied
	return s
}

// hasty tells of entries when they have come, and applies them later.
type hasty struct {
	*sound
	heard replicatedlog.Index
	later []cbor.RawMessage
}

func (h *hasty) Apply(raw []cbor.RawMessage) error {
	now := append(h.later, raw...)
	if h.later = nil; len(now) > 0 && len(raw) > 0 { // the newest waits for the next frame
		h.later, now = now[len(now)-1:], now[:len(now)-1]
	}
	for _, b := range h.later {
		if e, err := replicatedlog.DecodeEntry(b); err == nil {
			h.heard = e.Index
		}
	}
	return h.sound.Apply(now)
}

func (h *hasty) CurrentProgress() replicatedlog.Progress {
	s := h.sound.CurrentProgress()
	s.Applied = max(s.Applied, h.heard)
	return s
}

// late says for a while yet that it is one entry back, so that its next stream brings that one again, and it does not look.
type late struct{ gapped }

func (l *late) CurrentProgress() replicatedlog.Progress {
	s := l.gapped.CurrentProgress()
	s.Applied = max(1, s.Applied) - 1
	return s
}

// lazy is a disk that says that all is kept, and keeps it a while later.
type lazy struct {
	*store.Store
	done sync.WaitGroup
}

func (l *lazy) Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	tell := l.Store.OnPersisted
	l.Store.OnPersisted = nil
	err := l.Store.Save(hard, entries, snap) // in memory, as far as a judge can know: what is told of is on disk
	l.Store.OnPersisted = tell
	l.done.Go(func() {
		time.Sleep(200 * time.Millisecond)
		tell(entries)
	})
	return err
}

func (l *lazy) Close() error {
	l.done.Wait()
	return l.Store.Close()
}

// The judge finds nothing where the rules are kept, and each of these rules when it is broken: by code that runs, not by made-up traces.
func TestTheJudgeCatchesBrokenVariants(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name   string
		reader func(*sound) logfollower.Applier
		disk   bool // lazy ones
		again  bool // who publishes gives a change another id when it tries again
		want   []string
	}{
		{name: "sound"},
		{name: "a gap passed over", reader: func(s *sound) logfollower.Applier { return &gapped{sound: s} }, want: []string{checker.Missing}},
		{name: "acknowledged before a majority", disk: true, want: []string{checker.EarlyAck, checker.EarlyInForce}},
		{name: "an old beginning", reader: func(s *sound) logfollower.Applier { return unheeding{s} }, want: []string{checker.OldBeginning}},
		{name: "told too early", reader: func(s *sound) logfollower.Applier { return &hasty{sound: s} }, want: []string{checker.EarlyTold}},
		{name: "applied again", reader: func(s *sound) logfollower.Applier { return &late{gapped{sound: s, frames: 100}} }, want: []string{checker.Doubled}},
		{name: "doubled on retry", again: true, want: []string{checker.Doubled}},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			e := &evidence{}
			f := newFleet(t, nil, func(i int, b *Config) {
				b.OnPersisted = e.keeps(i)
				if v.disk {
					s, err := store.Open(b.File.Control.Data, store.Owner{ID: uint64(i + 1), Label: "l"}, []uint64{1, 2, 3}, []uint64{4}, true)
					if err != nil {
						t.Fatal(err)
					}
					s.OnPersisted = decodePersisted(b.OnPersisted)
					b.Storage = &lazy{Store: s}
				}
			})
			one := controlclient.NewProposal(replicatedlog.Config, []byte("the first"))
			e.publish(f, one)
			for _, m := range f.ms {
				for by := time.Now().Add(10 * time.Second); m.Last() < 1 && time.Now().Before(by); {
					time.Sleep(time.Millisecond)
				}
			}
			var nodes []*logfollower.Follower
			var starts []*startRecorder
			for i := range uint32(2) {
				s := &sound{e: e, number: i}
				s.Applier = replicatedlog.NewApplier(s)
				var r logfollower.Applier = s
				if v.reader != nil && i == 0 {
					r = v.reader(s)
				}
				started := &startRecorder{Applier: r}
				starts = append(starts, started)
				n := logfollower.Start(logfollower.Config{Name: fmt.Sprint("n", i), Label: "l", Servers: f.all(), Seed: i, StaleAfter: time.Second, Applier: started, Log: quietly(), Now: boottime, Dial: f.dial,
					OnProgressSent: func(at replicatedlog.Index) { e.put(logtrace.Record{Index: uint64(at), Node: i, What: logtrace.Told}) }})
				t.Cleanup(n.Close)
				nodes = append(nodes, n)
			}
			for by := time.Now().Add(10 * time.Second); !starts[0].started.Load() || !starts[1].started.Load(); time.Sleep(time.Millisecond) {
				if time.Now().After(by) {
					t.Fatal("they never began")
				}
			}
			for i := range 12 {
				p := controlclient.NewProposal(replicatedlog.Purge, fmt.Append(nil, "key-", i))
				e.publish(f, p)
				if i == 7 {
					if v.again {
						p = controlclient.NewProposal(p.Kind, p.Body)
					}
					f.publish([]replicatedlog.Proposal{p}) // its answer was lost, say
				}
				if i == 5 {
					f.mu.Lock() // streams break, and come again
					for j := range f.ms {
						for _, c := range f.open[nodeAt(j)] {
							_ = c.Close()
						}
					}
					f.mu.Unlock()
				}
				time.Sleep(2 * deliveryInterval)
			}
			time.Sleep(2*controlwire.ProgressInterval + 300*time.Millisecond)
			for _, n := range nodes {
				n.Close()
			}
			for i := range f.ms {
				f.stop(i)
			}
			j := checker.New(3, nil)
			for i := range 3 {
				for _, k := range e.kept[i] {
					j.Kept(i, k)
				}
			}
			for _, o := range e.orders {
				j.Order(o)
			}
			for _, r := range e.records {
				j.Saw(r)
			}
			r := j.Report(2)
			var got []string
			for _, b := range r.Breaches {
				got = append(got, b.What)
			}
			if v.want == nil && got != nil {
				t.Errorf("%+v", r)
			}
			for _, want := range v.want {
				if !slices.Contains(got, want) {
					t.Errorf("not caught: %s, but %q", want, got)
				}
			}
		})
	}
}
