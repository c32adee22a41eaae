package controlserver

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dahliapin/internal/config/fleetconfig"
	caches "dahliapin/internal/control/purge"
	purger "dahliapin/internal/control/purger"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/control/replicatedlog/store"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

const (
	tick           = 100 * time.Millisecond // raft's unit of time; the leader's signs of life are one apart
	mostInbox      = 1024                   // raft's messages that wait for the loop; who brings more waits
	mostAsks       = 256                    // calls to publish that wait for the loop
	mostWaiting    = 16_384                 // proposals that wait to be ordered; more are refused
	mostWaitBytes  = 16 << 20               // of them
	mostTurn       = 512                    // messages and calls taken together into one write to disk
	appendBytes    = 256 << 10              // of entries in one of raft's messages
	appendAhead    = 256                    // such messages on the way to a machine
	aheadBytes     = 16 << 20               // of them
	uncommitted    = 64 << 20               // bytes of entries that a leader has and no majority
	orderBy        = 10 * time.Second       // for a proposal to be ordered, then it is told as not known
	proposeAgain   = time.Second            // a proposal not ordered by then is put forward again: the leader may have gone
	gatherFor      = 20 * time.Millisecond  // between two deliveries to nodes: entries that come meanwhile go together
	ledWithin      = 2 * time.Second        // since the leader was heard, for a machine to say that it is led
	snapshotEach   = 8192                   // entries of raft's between two snapshots
	snapshotBytes  = 16 << 20               // or bytes of them
	trimEach       = 10 * time.Second       // between two looks at what all nodes have applied
	trimLeast      = 1024                   // entries that are worth a trim
	mostRemembered = 16_384                 // entries of which it is remembered when this machine was asked for them: as many as wait, far more than come while a fill lasts
	tablesEach     = 300 * time.Millisecond // between two tellings of the own nodes' table to other machines
)

// Storage is where a machine keeps its log.
type Storage interface {
	raft.Storage
	// Save returns once all of it is on disk.
	Save(*pb.HardState, []*pb.Entry, *pb.Snapshot) error
	SizeSinceSnapshot(applied uint64) (entries uint64, bytes int)
	Compact(applied uint64, state []byte) error
	Close() error
}

// Config is what a control machine is started with.
type Config struct {
	File *fleetconfig.ControlFile
	New  bool // an empty data folder is the first start
	Log  *logrus.Logger
	Now  func() monotime.Instant // by a clock that runs through suspends
	// Kept is told of proposals once they are on this machine's disk, in the loop: for a judge. nil for nobody.
	OnPersisted func([]replicatedlog.Proposal)
	Disk        Storage // nil for the file's folder
	Dial        func(addr string, within time.Duration) (net.Conn, error)
	// Counted is told up to where purges count as done at a cache, whenever that has changed: for a judge. nil for nobody.
	OnPurgeProgress func(caches.CacheID, caches.Cursor)
}

// ask is a call to publish.
type ask struct {
	all    []replicatedlog.Proposal
	index  []uint64
	left   int
	until  time.Time
	answer chan *ask // gets it once all are ordered, or it has a reason
	reason string
}

// wait is a proposal that is not ordered yet.
type wait struct {
	replicatedlog.Proposal
	came  uint64 // its place among all that waited
	since monotime.Instant
	put   time.Time // when it was put forward; zero for not yet
	asked []place
}

type place struct {
	ask *ask
	at  int
}

// lead is what the loop last knew of the leader.
type lead struct {
	led, leads bool
	term       uint64
}

// Server is one control machine.
type Server struct {
	Config
	id     uint64
	disk   Storage
	raw    *raft.RawNode
	peers  map[uint64]*peer
	table  *table
	purger *purger.Purger // nil where purges are not carried out at caches
	nodes  net.Listener
	others net.Listener
	inbox  chan *pb.Message
	asks   chan *ask
	calls  chan func() // into the loop
	dirty  chan struct{}
	closed chan struct{}
	done   sync.WaitGroup
	once   sync.Once
	fault  atomic.Pointer[error]
	lead   atomic.Pointer[lead]
	fresh  atomic.Pointer[chan struct{}] // closed when there is something to deliver
	pace   *pacer
	conns  conns
	began  time.Time

	mu    sync.RWMutex
	state *replicatedlog.State
	asked []asked // for purges at caches; by index, at most mostRemembered

	// the loop's own
	waits     map[replicatedlog.ProposalID]*wait
	waitBytes int
	came      uint64
	applied   uint64 // raft's index
	heardLead time.Time
	trimmed   time.Time
	named     time.Time
}

// Open starts a control machine.
func Open(b Config) (*Server, error) {
	self := b.File.Self()
	var voters, learners []uint64
	for _, m := range b.File.Machines {
		if m.Learner {
			learners = append(learners, m.ID)
		} else {
			voters = append(voters, m.ID)
		}
	}
	bounds := replicatedlog.DefaultBounds
	bounds.Entries, bounds.Bytes = b.File.Bounds.Entries, int(b.File.Bounds.KeptMB*(1<<20))
	bounds.MinEntries = min(bounds.MinEntries, bounds.Entries/2)
	m := &Server{Config: b, id: self.ID, disk: b.Disk, peers: map[uint64]*peer{}, inbox: make(chan *pb.Message, mostInbox), asks: make(chan *ask, mostAsks),
		calls: make(chan func(), mostInbox), dirty: make(chan struct{}, 1), closed: make(chan struct{}), pace: &pacer{rate: b.File.Bounds.PaceMB * (1 << 20)},
		waits: map[replicatedlog.ProposalID]*wait{}, state: replicatedlog.New(bounds), began: time.Now(), conns: conns{all: map[net.Conn]bool{}}}
	m.table = newTable(m)
	m.lead.Store(&lead{})
	ch := make(chan struct{})
	m.fresh.Store(&ch)
	if m.disk == nil {
		s, err := store.Open(b.File.Control.Data, store.Owner{ID: self.ID, Label: b.File.Control.Label}, voters, learners, b.New || self.Learner)
		if err != nil {
			return nil, err
		}
		if b.OnPersisted != nil {
			s.OnPersisted = m.OnDisk
		}
		m.disk = s
	}
	if err := m.start(bounds); err != nil {
		_ = m.disk.Close()
		return nil, err
	}
	if t := b.File.Purges; t != nil {
		var err error
		if m.purger, err = purger.Open(purger.Config{Terms: t, Machines: len(b.File.Machines), Log: log{m}, Dir: b.File.Control.Data, Logger: b.Log,
			Now: b.Now, OnProgress: b.OnPurgeProgress, Seed: uint32(keyhash.Salted(keyhash.String(b.File.Control.Label), int(self.ID)))}); err != nil {
			_, _, _ = m.nodes.Close(), m.others.Close(), m.disk.Close()
			return nil, err
		}
	}
	for _, other := range b.File.Machines {
		if other.ID != m.id {
			m.peers[other.ID] = newPeer(m, other)
		}
	}
	m.done.Add(4)
	go m.loop()
	go m.gather()
	go m.accept(m.nodes, m.File.Bounds.Followers+mostCallers, m.serve)
	go m.accept(m.others, mostPeerStreams, m.hearPeer)
	m.Log.WithFields(logrus.Fields{"name": self.Name, "id": m.id, "peers": m.others.Addr().String(), "nodes": m.nodes.Addr().String(), "last": m.Last()}).Info("control machine listening")
	return m, nil
}

// start reads what the disk has, and listens.
func (m *Server) start(bounds replicatedlog.Bounds) error {
	snap, err := m.disk.Snapshot()
	if err != nil {
		return err
	}
	if len(snap.GetData()) > 0 {
		if m.state, err = replicatedlog.Restore(snap.GetData(), bounds); err != nil {
			return err
		}
	}
	m.applied = snap.GetMetadata().GetIndex()
	election := max(2, int(m.File.Bounds.Election()/tick))
	m.raw, err = raft.NewRawNode(&raft.Config{ID: m.id, ElectionTick: election, HeartbeatTick: 1, Storage: m.disk, Applied: m.applied,
		MaxSizePerMsg: appendBytes, MaxCommittedSizePerReady: aheadBytes, MaxUncommittedEntriesSize: uncommitted, MaxInflightMsgs: appendAhead,
		MaxInflightBytes: aheadBytes, CheckQuorum: true, PreVote: true, Logger: quiet{m.Log}})
	if err != nil {
		return err
	}
	if m.others, err = net.Listen("tcp", m.File.Control.Peers); err != nil {
		return fmt.Errorf("cannot listen for control machines on %s: %w", m.File.Control.Peers, err)
	}
	if m.nodes, err = net.Listen("tcp", m.File.Control.Nodes); err != nil {
		_ = m.others.Close()
		return fmt.Errorf("cannot listen for nodes on %s: %w", m.File.Control.Nodes, err)
	}
	return nil
}

// OnDisk tells a judge what is on this machine's disk now.
func (m *Server) OnDisk(entries []*pb.Entry) {
	for _, e := range entries {
		if b, err := replicatedlog.DecodeBatch(e.GetData()); err == nil && len(b.Proposals) > 0 && m.OnPersisted != nil {
			m.OnPersisted(b.Proposals)
		}
	}
}

// Addr is where nodes are heard.
func (m *Server) Addr() string { return m.nodes.Addr().String() }

// Last is the newest entry that it has.
func (m *Server) Last() replicatedlog.Index {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Last()
}

// log is what the machine has, for who carries purges out.
type log struct{ *Server }

func (l log) Position() (replicatedlog.LogID, replicatedlog.Index, replicatedlog.Index) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.ID(), l.state.Floor(), l.state.Last()
}

func (l log) Entry(i replicatedlog.Index) (replicatedlog.Entry, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.Entry(i)
}

func (l log) RequestedAt(i replicatedlog.Index) (monotime.Instant, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	n, is := slices.BinarySearchFunc(l.asked, i, func(a asked, i replicatedlog.Index) int { return cmp.Compare(a.index, i) })
	if !is {
		return 0, false
	}
	return l.asked[n].at, true
}

// asked is when this machine was first asked to have an entry ordered.
type asked struct {
	index replicatedlog.Index
	at    monotime.Instant
}

// noteAsked remembers it of a batch's entries; the state's lock is held, and it is the loop that asks.
func (m *Server) noteAsked(b replicatedlog.Batch, at []replicatedlog.Index) {
	for i, p := range b.Proposals {
		if w := m.waits[p.ID]; w != nil && (len(m.asked) == 0 || m.asked[len(m.asked)-1].index < at[i]) {
			m.asked = append(m.asked, asked{at[i], w.since})
		}
	}
	if over := len(m.asked) - mostRemembered; over > 0 {
		m.asked = slices.Delete(m.asked, 0, over)
	}
}

func (l log) Changed() <-chan struct{} { return *l.fresh.Load() }

// Done is closed once the machine has ended; Fault then tells why it had to, or nil.
func (m *Server) Done() <-chan struct{} { return m.closed }

// Fault tells why it had to end by itself.
func (m *Server) Fault() error {
	if err := m.fault.Load(); err != nil {
		return *err
	}
	return nil
}

// Close ends it.
func (m *Server) Close() {
	m.end(nil)
	m.done.Wait()
	if m.purger != nil {
		m.purger.Close()
	}
	_ = m.disk.Close()
}

func (m *Server) end(err error) {
	m.once.Do(func() {
		if err != nil {
			m.fault.Store(&err)
			m.Log.WithError(err).Error("this control machine ends")
		}
		close(m.closed)
		_ = m.nodes.Close()
		_ = m.others.Close()
		m.conns.close()
	})
}

// loop is raft's: what came while the disk was written is taken together, with one write for all of it.
func (m *Server) loop() {
	defer m.done.Done()
	defer func() {
		if r := recover(); r != nil { // raft's own way to say that what it was given can't be
			m.end(fmt.Errorf("raft: %v", r))
		}
	}()
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		var put []replicatedlog.Proposal
		select {
		case <-t.C:
			m.raw.Tick()
			put = m.again(put)
			m.trim()
		case in := <-m.inbox:
			m.step(in)
		case a := <-m.asks:
			put = m.take(a, put)
		case f := <-m.calls:
			f()
		case <-m.closed:
			return
		}
		for n := 0; n < mostTurn; n++ {
			select {
			case in := <-m.inbox:
				m.step(in)
				continue
			case a := <-m.asks:
				put = m.take(a, put)
				continue
			case f := <-m.calls:
				f()
				continue
			default:
			}
			break
		}
		m.propose(put)
		for m.raw.HasReady() {
			if err := m.ready(); err != nil {
				m.end(err)
				return
			}
		}
		m.note()
	}
}

func (m *Server) step(in *pb.Message) {
	if status := m.raw.BasicStatus(); status.Lead != raft.None && in.GetFrom() == status.Lead {
		m.heardLead = time.Now()
	}
	_ = m.raw.Step(in) // what can't be taken, as from one that is no member, is dropped
}

// note hands out what is known of the leader.
func (m *Server) note() {
	s := m.raw.BasicStatus()
	now := lead{leads: s.RaftState == raft.StateLeader, term: s.GetTerm()}
	now.led = now.leads || s.Lead != raft.None && time.Since(m.heardLead) < ledWithin
	if was := *m.lead.Load(); was != now {
		if was.leads != now.leads {
			m.Log.WithFields(logrus.Fields{"leads": now.leads, "term": now.term}).Info("leader changed here")
		}
		m.lead.Store(&now)
	}
}

// take notes a call's proposals, and puts those forward that are not on their way.
func (m *Server) take(a *ask, put []replicatedlog.Proposal) []replicatedlog.Proposal {
	bytes := 0
	for _, p := range a.all {
		bytes += len(p.Body)
	}
	if len(m.waits)+len(a.all) > mostWaiting || m.waitBytes+bytes > mostWaitBytes {
		a.reason = "busy: too many changes wait to be ordered"
		a.answer <- a
		return put
	}
	a.index, a.left, a.until = make([]uint64, len(a.all)), len(a.all), time.Now().Add(orderBy)
	for i, p := range a.all {
		w := m.waits[p.ID]
		if w == nil {
			m.came++
			w = &wait{Proposal: p, came: m.came, since: m.Now()}
			m.waits[p.ID] = w
			m.waitBytes += len(p.Body)
			put = append(put, p)
		}
		w.asked = append(w.asked, place{a, i})
	}
	return put
}

// again puts proposals forward once more that are not ordered yet, and gives up those whose callers have gone.
func (m *Server) again(put []replicatedlog.Proposal) []replicatedlog.Proposal {
	if len(m.waits) == 0 {
		return put
	}
	now := time.Now()
	var late []*wait
	for id, w := range m.waits {
		gone := true
		for _, p := range w.asked {
			if now.Before(p.ask.until) {
				gone = false
			} else if p.ask.reason == "" {
				p.ask.reason = "not ordered in time, and may be yet: no leader is heard, or no majority of the voters"
				p.ask.answer <- p.ask
			}
		}
		switch {
		case gone:
			delete(m.waits, id)
			m.waitBytes -= len(w.Body)
		case now.Sub(w.put) >= proposeAgain:
			late = append(late, w)
		}
	}
	slices.SortFunc(late, func(a, b *wait) int { return cmp.Compare(a.came, b.came) }) // one caller's stay in their order
	for _, w := range late {
		put = append(put, w.Proposal)
	}
	return put
}

// propose hands proposals to raft, which brings them to the leader. Without one they stay for the next turns.
func (m *Server) propose(all []replicatedlog.Proposal) {
	now := time.Now()
	for _, b := range replicatedlog.Batches(all) {
		if m.raw.Propose(b.Encode()) != nil {
			continue // no leader, or too much on its way
		}
		for _, p := range b.Proposals {
			if w := m.waits[p.ID]; w != nil {
				w.put = now
			}
		}
	}
}

// ready does what raft wants done: first the disk, then messages, then what is agreed.
func (m *Server) ready() error {
	rd := m.raw.Ready()
	if err := m.disk.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		return err
	}
	if rd.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := m.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	for _, out := range rd.Messages {
		if p := m.peers[out.GetTo()]; p != nil {
			p.send(out)
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := m.apply(e); err != nil {
			return err
		}
	}
	m.raw.Advance(rd)
	if n, bytes := m.disk.SizeSinceSnapshot(m.applied); n >= snapshotEach || bytes >= snapshotBytes && n > 0 {
		m.mu.RLock()
		text := m.state.Snapshot()
		m.mu.RUnlock()
		return m.disk.Compact(m.applied, text)
	}
	return nil
}

func (m *Server) restore(snap *pb.Snapshot) error {
	bounds := replicatedlog.DefaultBounds
	bounds.Entries, bounds.Bytes = m.File.Bounds.Entries, int(m.File.Bounds.KeptMB*(1<<20))
	bounds.MinEntries = min(bounds.MinEntries, bounds.Entries/2)
	s := replicatedlog.New(bounds)
	if len(snap.GetData()) > 0 {
		var err error
		if s, err = replicatedlog.Restore(snap.GetData(), bounds); err != nil {
			return err
		}
	}
	m.mu.Lock()
	m.state = s
	m.mu.Unlock()
	m.applied = snap.GetMetadata().GetIndex()
	m.stir()
	return nil
}

// apply takes an agreed entry of raft's, and answers those who wait for what is in it.
func (m *Server) apply(e *pb.Entry) error {
	m.applied = e.GetIndex()
	if e.GetType() != pb.EntryNormal || len(e.GetData()) == 0 {
		return nil // of raft's own: a new leader's first
	}
	b, err := replicatedlog.DecodeBatch(e.GetData())
	if err != nil {
		return fmt.Errorf("entry %d of the replicated log: %w", e.GetIndex(), err)
	}
	m.mu.Lock()
	at := m.state.Apply(b)
	if m.purger != nil {
		m.noteAsked(b, at)
	}
	m.mu.Unlock()
	for i, p := range b.Proposals {
		w := m.waits[p.ID]
		if w == nil {
			continue
		}
		delete(m.waits, p.ID)
		m.waitBytes -= len(w.Body)
		for _, on := range w.asked {
			on.ask.index[on.at] = uint64(at[i])
			if on.ask.left--; on.ask.left == 0 && on.ask.reason == "" {
				on.ask.answer <- on.ask
			}
		}
	}
	m.stir()
	return nil
}

func (m *Server) stir() {
	select {
	case m.dirty <- struct{}{}:
	default:
	}
}

// gather wakes who delivers to nodes, not more often than gatherFor.
func (m *Server) gather() {
	defer m.done.Done()
	for {
		select {
		case <-m.dirty:
		case <-m.closed:
			return
		}
		time.Sleep(gatherFor)
		next := make(chan struct{})
		close(*m.fresh.Swap(&next))
	}
}

// trim has the leader say up to where every node has applied, so that all machines stop keeping it; and, of a new log, which it is.
func (m *Server) trim() {
	if m.lead.Load().leads && m.state.ID() == 0 && time.Since(m.named) > proposeAgain {
		var id [8]byte
		_, _ = rand.Read(id[:]) // never fails
		m.named = time.Now()
		_ = m.raw.Propose(replicatedlog.Batch{Log: replicatedlog.LogID(binary.LittleEndian.Uint64(id[:]) | 1)}.Encode())
	}
	hold := m.File.Bounds.Hold()
	if time.Since(m.trimmed) < trimEach || !m.lead.Load().leads || time.Since(m.began) < hold { // a node may be cut off since before this process began
		return
	}
	m.trimmed = time.Now()
	all, is := m.table.least(hold)
	m.mu.RLock()
	floor := m.state.Floor()
	m.mu.RUnlock()
	if m.purger != nil { // what a cache lacks is kept for it, as far as the bounds go
		if least, some := m.purger.DoneEverywhere(); some {
			all = min(all, least)
		}
	}
	if is && all > floor+trimLeast {
		_ = m.raw.Propose(replicatedlog.Batch{Trim: all}.Encode()) // the next look tries again
	}
}

var errClosed = errors.New("the control machine ends")

// call runs something in the loop, or not at all once it has ended or is far behind.
func (m *Server) call(f func()) {
	select {
	case m.calls <- f:
	case <-m.closed:
	}
}

// publish waits until proposals are ordered.
func (m *Server) publish(all []replicatedlog.Proposal) ([]uint64, error) {
	a := &ask{all: all, answer: make(chan *ask, 2)}
	select {
	case m.asks <- a:
	default:
		return nil, errors.New("busy: too many calls to publish")
	}
	select {
	case <-a.answer:
	case <-m.closed:
		return nil, errClosed
	}
	if a.reason != "" {
		return nil, errors.New(a.reason)
	}
	for i, at := range a.index {
		if at == 0 {
			return nil, fmt.Errorf("%w: number %d of %d", replicatedlog.ErrProposal, i+1, len(all))
		}
	}
	return a.index, nil
}

func marshal(m *pb.Message) ([]byte, error) { return proto.Marshal(m) }

func unmarshal(b []byte) (*pb.Message, error) {
	m := &pb.Message{}
	return m, proto.Unmarshal(b, m)
}

// quiet has raft say its warnings in the log, and the rest to nobody.
type quiet struct{ *logrus.Logger }

func (quiet) Debug(...any)                {}
func (quiet) Debugf(string, ...any)       {}
func (quiet) Info(...any)                 {}
func (quiet) Infof(string, ...any)        {}
func (q quiet) Warning(v ...any)          { q.Logger.Debug(v...) }
func (quiet) Warningf(string, ...any)     {}
func (q quiet) Error(v ...any)            { q.Logger.Error(v...) }
func (q quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
