package controlserver

import (
	"cmp"
	"errors"
	"math/bits"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fxamacker/cbor/v2"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

const (
	toldEach   = 250 * time.Millisecond // between two tellings of up to where this node has applied
	toldQuiet  = time.Second            // the same where it has not changed: a sign of life
	toldBytes  = 64 << 10               // of entries applied that are told at once, so that more come
	silence    = 2 * time.Second        // without a word, a sign of life being due each half second: the node goes to another machine
	unledFor   = 2 * time.Second        // that a machine may say it hears no leader, then the node goes to another
	mostUnled  = 30 * time.Second       // the same where none hears one: doubled at each machine
	firstAgain = 100 * time.Millisecond // before another machine is tried, jittered from 0; doubled up to mostAgain
)

// FollowerDescriptors are the descriptors that a node needs to follow: its stream, and one more while it goes to another machine.
const FollowerDescriptors = 2

// Applier is what applies the log at a node. accord.Reader is the one; tests have others.
type Applier interface {
	Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error
	Apply([]cbor.RawMessage) error
	CurrentProgress() replicatedlog.Progress
}

// FollowerConfig is what a node follows with.
type FollowerConfig struct {
	Name    string
	Process uint64 // which process of that name
	Label   string
	At      []string // of control machines
	Seed    uint32
	Stale   time.Duration // without a word from a led control machine: the rule stale, see Status
	Reader  Applier       // used by one goroutine at a time
	Log     *logrus.Logger
	Now     func() monotime.Instant
	Dial    func(addr string, within time.Duration) (net.Conn, error) // nil for TCP
	// Told is told what was told of how the node stands; nil for nobody.
	OnProgressSent func(applied replicatedlog.Index)
}

// FollowerStatus is how a node follows, for operators.
type FollowerStatus struct {
	Applied        replicatedlog.Index `json:"applied"`
	Head           replicatedlog.Index `json:"head"` // the newest entry heard of
	Config         replicatedlog.Index `json:"config"`
	Refused        replicatedlog.Index `json:"refused,omitempty"`
	Reason         string              `json:"reason,omitempty"`
	PresumedPurged replicatedlog.Index `json:"presumed,omitempty"` // everything up to here may have been purged
	Purges         uint64              `json:"purges"`
	Unknown        uint64              `json:"unknown,omitempty"`
	Gaps           uint64              `json:"gaps"`
	Moves          uint64              `json:"moves"` // to another stream
	Via            string              `json:"via"`   // the control machine's address; empty between two
	HeardS         float64             `json:"heard_s"`
	Stale          bool                `json:"stale"` // nothing from a led machine for longer than stated: the last configuration stays in force, and purges may be missing
	InBytes        uint64              `json:"bytes_in"`
	OutBytes       uint64              `json:"bytes_out"`
}

// Follower is a node that follows the log.
type Follower struct {
	FollowerConfig
	order   []string // of machines, this node's own
	chance  keyhash.Source
	now     atomic.Pointer[replicatedlog.Progress]
	head    atomic.Uint64
	heard   atomic.Int64 // when a led machine was heard last
	via     atomic.Pointer[string]
	moves   atomic.Uint64
	in, out atomic.Uint64
	closed  chan struct{}
	done    chan struct{}
	once    sync.Once
	stale   bool // it was said; the run's own
}

// StartFollower starts to follow. Nothing waits for it.
func StartFollower(b FollowerConfig) *Follower {
	f := &Follower{FollowerConfig: b, order: slices.Clone(b.At), chance: keyhash.Source{Seed: b.Seed}, closed: make(chan struct{}), done: make(chan struct{})}
	slices.SortFunc(f.order, func(x, y string) int { // each node's own order: a machine's nodes spread over all others when it is gone
		return cmp.Compare(keyhash.Salted(keyhash.String(x), int(b.Seed)), keyhash.Salted(keyhash.String(y), int(b.Seed)))
	})
	f.note()
	f.heard.Store(int64(b.Now()))
	f.via.Store(new(string))
	go f.run()
	return f
}

// Close ends it.
func (f *Follower) Close() {
	f.once.Do(func() { close(f.closed) })
	<-f.done
}

func (f *Follower) note() {
	s := f.Reader.CurrentProgress()
	f.now.Store(&s)
}

// Status is how it follows. It may be asked from anywhere.
func (f *Follower) Status() FollowerStatus {
	s, quiet := f.now.Load(), time.Duration(f.Now()-monotime.Instant(f.heard.Load()))
	return FollowerStatus{Applied: s.Applied, Head: replicatedlog.Index(f.head.Load()), Config: s.Config, Refused: s.Refused, Reason: s.Reason, PresumedPurged: s.PresumedPurged,
		Purges: s.Purges, Unknown: s.Unknown, Gaps: s.Gaps, Moves: f.moves.Load(), Via: *f.via.Load(), HeardS: quiet.Seconds(),
		Stale: quiet > f.Stale, InBytes: f.in.Load(), OutBytes: f.out.Load()}
}

// run goes from machine to machine.
func (f *Follower) run() {
	defer close(f.done)
	unled := unledFor
	for tries, at := 0, 0; ; at++ {
		if tries > 0 || at > 0 {
			wait := time.Duration(f.chance.Float64() * float64(min(mostAgain, firstAgain<<min(tries, 8))))
			select {
			case <-time.After(wait):
			case <-f.closed:
				return
			}
		}
		addr := f.order[at%len(f.order)]
		l, err := call(f.Dial, addr, kindNode, f.Label, longestFrame)
		if err == nil {
			f.moves.Add(1)
			f.via.Store(&addr)
			before := f.heard.Load()
			err = f.over(l, unled)
			_ = l.Close()
			f.via.Store(new(string))
			if f.heard.Load() != before {
				tries, unled = 0, unledFor
			} else {
				unled = min(2*unled, mostUnled)
			}
			if errors.Is(err, replicatedlog.ErrGap) {
				at-- // the same again, from what was applied
			}
		}
		tries = min(tries+1, bits.UintSize)
		f.told()
		select {
		case <-f.closed:
			return
		default:
			f.Log.WithError(err).WithField("machine", addr).Debug("the log of changes is followed elsewhere")
		}
	}
}

// told says once that nothing was heard for too long, and once that it was again.
func (f *Follower) told() {
	if s := f.Status(); s.Stale != f.stale {
		f.stale = s.Stale
		f.Log.WithFields(logrus.Fields{"stale": s.Stale, "heard_s": s.HeardS, "applied": s.Applied, "config": s.Config}).Warn("the log of changes")
	}
}

var errUnled = errors.New("the control machine hears no leader")

// over follows over a stream until it breaks.
func (f *Follower) over(l *line, unled time.Duration) error {
	stop, nudge := make(chan struct{}), make(chan struct{}, 1)
	var told sync.WaitGroup
	hello := f.stands(wordHello)
	hello.Fresh, hello.Log = !f.now.Load().Started, uint64(f.now.Load().Log)
	n, err := l.say(hello, greetBy)
	f.out.Add(uint64(n))
	if err != nil {
		return err
	}
	told.Go(func() { f.tell(l, stop, nudge) })
	defer told.Wait()
	defer close(stop)
	led, untold := time.Now(), 0
	for {
		w, n, err := l.hear(silence)
		f.in.Add(uint64(n))
		if err != nil {
			return err
		}
		switch w.Kind {
		case wordBegin:
			err = f.Reader.Start(replicatedlog.LogID(w.Log), replicatedlog.Index(w.Index), w.Base)
		case wordEntries:
			err = f.Reader.Apply(w.Entries)
		}
		f.note()
		if w.Kind == wordBegin {
			f.head.Store(w.Head)
		}
		f.head.Store(max(f.head.Load(), w.Head))
		if err != nil {
			return err
		}
		if untold += n; untold >= toldBytes {
			untold = 0
			select {
			case nudge <- struct{}{}:
			default:
			}
		}
		if w.Led {
			led = time.Now()
			f.heard.Store(int64(f.Now()))
			f.told()
		} else if time.Since(led) > unled {
			return errUnled
		}
	}
}

// tell says how the node stands: where that has changed, where a lot was applied, and as a sign of life.
func (f *Follower) tell(l *line, stop, nudge chan struct{}) {
	t := time.NewTicker(toldEach)
	defer t.Stop()
	var last replicatedlog.Progress
	for quiet := 0; ; quiet++ {
		select {
		case <-t.C:
		case <-nudge:
		case <-stop:
			return
		case <-f.closed:
			_ = l.Close()
			<-stop
			return
		}
		now := *f.now.Load()
		if now == last && time.Duration(quiet)*toldEach < toldQuiet {
			continue
		}
		w := f.stands(wordApplied)
		if f.OnProgressSent != nil {
			f.OnProgressSent(replicatedlog.Index(w.Rows[0].Applied))
		}
		n, err := l.say(w, writeBy)
		f.out.Add(uint64(n))
		if err != nil {
			_ = l.Close()
		}
		last, quiet = now, 0
	}
}

func (f *Follower) stands(kind uint8) word {
	s := f.now.Load()
	return word{Kind: kind, Rows: []row{{Node: f.Name, Process: f.Process, Applied: uint64(s.Applied), Config: uint64(s.Config), Refused: uint64(s.Refused),
		Presumed: uint64(s.PresumedPurged), Begins: !s.Started, Gaps: s.Gaps, Reason: s.Reason[:min(len(s.Reason), longestReason)]}}}
}
