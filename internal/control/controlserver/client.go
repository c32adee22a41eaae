package controlserver

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"time"

	purger "dahliapin/internal/control/purger"
	"dahliapin/internal/control/replicatedlog"
)

const (
	askBy     = 900 * time.Millisecond // for a machine to tell of the nodes: an operator is told within a second
	askNext   = time.Second            // without an answer, before the next machine is asked as well: with the same ids, so that it does no harm
	mostAsked = 4                      // machines asked at a time
	askAgain  = 200 * time.Millisecond // between two rounds of all machines while nobody orders
)

// Client is who publishes or asks.
type Client struct {
	At    []string // control machines, asked one after the other
	Label string
	Dial  func(addr string, within time.Duration) (net.Conn, error) // nil for TCP
}

// ErrUnavailable says that no control machine did what was asked.
var ErrUnavailable = errors.New("no control machine answers")

// NewProposal gives a change its id, by which it becomes one entry however often it is put forward.
func NewProposal(kind replicatedlog.Kind, body []byte) replicatedlog.Proposal {
	p := replicatedlog.Proposal{Kind: kind, Body: body}
	_, _ = rand.Read(p.ID[:]) // never fails
	return p
}

// Publish has changes ordered and tells the index of each: they are on disk at a majority of the voters then. It asks one machine after
// the other until one says so, with the same ids. An error says that it is not known whether they are ordered, or that they can't be.
func (c Client) Publish(ctx context.Context, all []replicatedlog.Proposal) ([]replicatedlog.Index, error) {
	for i, p := range all {
		if err := p.Check(); err != nil {
			return nil, fmt.Errorf("number %d: %w", i+1, err)
		}
	}
	var out []replicatedlog.Index
	for _, b := range replicatedlog.Batches(all) {
		at, err := c.batch(ctx, b)
		if err != nil {
			return out, err
		}
		out = append(out, at...)
	}
	return out, nil
}

// batch asks one machine, and the next as well where one says no or nothing for a while: a machine that is cut off can't know yet that it is.
func (c Client) batch(ctx context.Context, b replicatedlog.Batch) (out []replicatedlog.Index, err error) {
	ctx, done := context.WithCancel(ctx)
	defer done()
	err = ErrUnavailable
	w := word{Kind: wordPublish, Batch: b.Encode()}
	type answer struct {
		indexes []uint64
		error
	}
	answers := make(chan answer, mostAsked)
	for asked, waits := 0, 0; ; {
		if waits < min(len(c.At), mostAsked) && ctx.Err() == nil {
			addr := c.At[asked%len(c.At)]
			asked, waits = asked+1, waits+1
			go func() {
				said, fault := c.one(ctx, addr, w, orderBy+writeBy)
				switch {
				case fault != nil:
					fault = fmt.Errorf("%w: %w", ErrUnavailable, fault)
				case said.Kind == wordRefused:
					fault = fmt.Errorf("%s: %s", addr, said.Reason)
				case said.Kind != wordOrdered || len(said.Indexes) != len(b.Proposals):
					fault = fmt.Errorf("%s: %w", addr, errWord)
				}
				answers <- answer{said.Indexes, fault}
			}()
		}
		select {
		case a := <-answers:
			waits--
			if a.error == nil {
				for _, at := range a.indexes {
					out = append(out, replicatedlog.Index(at))
				}
				return out, nil
			}
			if err = a.error; asked%len(c.At) == 0 { // all were asked: not at once again
				select {
				case <-ctx.Done():
				case <-time.After(askAgain):
				}
			}
		case <-time.After(askNext):
		case <-ctx.Done():
			return nil, fmt.Errorf("it is not known whether it is ordered: %w", err)
		}
	}
}

func (c Client) one(ctx context.Context, addr string, w word, by time.Duration) (word, error) {
	l, err := call(c.Dial, addr, kindCaller, c.Label, longestFrame)
	if err != nil {
		return word{}, err
	}
	defer l.Close()
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	if _, err := l.say(w, min(by, writeBy)); err != nil {
		return word{}, err
	}
	said, _, err := l.hear(by)
	return said, err
}

// NodeStatus is how a node stands.
type NodeStatus struct {
	Node     string              `json:"node"`
	Applied  replicatedlog.Index `json:"applied"`
	Lacks    uint64              `json:"lacks"` // entries, up to the newest
	Config   replicatedlog.Index `json:"config"`
	Refused  replicatedlog.Index `json:"refused,omitempty"`
	Reason   string              `json:"reason,omitempty"`
	Presumed replicatedlog.Index `json:"presumed,omitempty"`
	Gaps     uint64              `json:"gaps,omitempty"`
	Machine  uint64              `json:"machine"` // where it was heard
	HeardS   float64             `json:"heard_s"` // since then
	Silent   bool                `json:"silent,omitempty"`
	Begins   bool                `json:"begins,omitempty"` // it has not been told yet where it begins
}

// ServerStatus is how a control machine stands.
type ServerStatus struct {
	ID      uint64              `json:"id"`
	Name    string              `json:"name"`
	Learner bool                `json:"learner,omitempty"`
	Leads   bool                `json:"leads,omitempty"`
	Term    uint64              `json:"term"`
	Last    replicatedlog.Index `json:"last"`
	Floor   replicatedlog.Index `json:"floor"`
	Config  replicatedlog.Index `json:"config"`
	HeardS  float64             `json:"heard_s"`
	Silent  bool                `json:"silent,omitempty"`
	In      uint64              `json:"bytes_in"`
	Out     uint64              `json:"bytes_out"`
	Foreign uint64              `json:"foreign"`           // streams and messages that were not to be read
	Away    uint64              `json:"turned_away"`       // streams, for want of room
	Purges  bool                `json:"purges,omitempty"`  // it carries purges out at caches
	NoList  bool                `json:"no_list,omitempty"` // and has no list of them yet
}

// CacheStatus is how a cache stands: what any control machine has done there is done.
type CacheStatus struct {
	Cache    string              `json:"cache"`
	Done     replicatedlog.Index `json:"done"`               // purges up to here count as done
	First    replicatedlog.Index `json:"first"`              // and up to here were deleted at least once
	Lacks    uint64              `json:"lacks"`              // entries, up to the newest
	Late     uint64              `json:"late"`               // of them, that should be done by now
	Flushing bool                `json:"flushing,omitempty"` // what it lacks is not kept anywhere: all of it has to go
	Machines []CacheProgress     `json:"machines"`
}

// CacheProgress is how one control machine stands with it.
type CacheProgress struct {
	Machine uint64              `json:"machine"`
	Done    replicatedlog.Index `json:"done"`
	Late    uint64              `json:"late"`
	QuietS  float64             `json:"quiet_s"` // since it answered, where something was due
	Reason  string              `json:"reason,omitempty"`
	HeardS  float64             `json:"heard_s"`
	Silent  bool                `json:"silent,omitempty"`
}

// Overview is who has applied what.
type Overview struct {
	Last     replicatedlog.Index `json:"last"` // the newest entry that any control machine has
	Led      bool                `json:"led"`  // the machine that was asked hears a leader
	Nodes    []NodeStatus        `json:"nodes"`
	Machines []ServerStatus      `json:"machines"`
	Caches   []CacheStatus       `json:"caches,omitempty"`
	Unlisted bool                `json:"unlisted,omitempty"` // purges are to be carried out at caches, and no machine that does it has a list of them
}

// CaughtUp tells whether every node has applied all and is heard, and all purges are done at every cache.
func (o Overview) CaughtUp() bool {
	return !o.Unlisted && o.NodesCaughtUp() && !slices.ContainsFunc(o.Caches, func(c CacheStatus) bool { return c.Lacks > 0 })
}

// NodesCaughtUp tells whether every node has applied all and is heard.
func (o Overview) NodesCaughtUp() bool {
	for _, n := range o.Nodes {
		if n.Lacks > 0 || n.Silent || n.Begins || n.Refused > 0 {
			return false
		}
	}
	return o.Led
}

// Overview asks all control machines at once for who has applied what, and takes of each node and machine what was heard last.
func (c Client) Overview() (Overview, error) {
	type said struct {
		word
		error
	}
	all := make(chan said, len(c.At))
	for _, addr := range c.At {
		go func() {
			w, fault := c.one(context.Background(), addr, word{Kind: wordAsk}, askBy)
			if fault == nil && w.Kind != wordTable {
				fault = errWord
			}
			all <- said{w, fault}
		}()
	}
	err, is, whole := ErrUnavailable, false, word{}
	nodes, machines := map[string]row{}, map[uint64]machineRow{}
	type spot struct {
		cache   string
		machine uint64
	}
	caches := map[spot]purger.Progress{}
	for by, wait := time.After(askBy), len(c.At); wait > 0; wait-- {
		var s said
		select {
		case s = <-all:
		case <-by:
			s.error, wait = context.DeadlineExceeded, 1 // whoever else was asked is not waited for
		}
		if s.error != nil {
			err = fmt.Errorf("%w: %w", ErrUnavailable, s.error)
			continue
		}
		is, whole.Led, whole.Head = true, whole.Led || s.Led, max(whole.Head, s.Head)
		for _, r := range s.Rows {
			if was, known := nodes[r.Node]; !known || r.AgoMs < was.AgoMs || r.AgoMs == was.AgoMs && r.Applied > was.Applied {
				nodes[r.Node] = r
			}
		}
		for _, r := range s.Caches {
			if was, known := caches[spot{r.Cache, r.Machine}]; !known || r.AgoMs < was.AgoMs {
				caches[spot{r.Cache, r.Machine}] = r
			}
		}
		for _, r := range s.Machines {
			if was, known := machines[r.ID]; !known || was.Unheard || !r.Unheard && r.AgoMs < was.AgoMs {
				machines[r.ID] = r
			}
		}
	}
	if !is {
		return Overview{}, err
	}
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		whole.Rows = append(whole.Rows, nodes[name])
	}
	whole.Caches = slices.SortedFunc(maps.Values(caches), func(a, b purger.Progress) int {
		return cmp.Or(cmp.Compare(a.Cache, b.Cache), cmp.Compare(a.Machine, b.Machine))
	})
	for _, id := range slices.Sorted(maps.Keys(machines)) {
		whole.Machines = append(whole.Machines, machines[id])
	}
	return overview(whole), nil
}

func overview(w word) Overview {
	o := Overview{Last: replicatedlog.Index(w.Head), Led: w.Led, Nodes: []NodeStatus{}, Machines: []ServerStatus{}}
	const heardWithin = float64(nodeSilence / time.Second)
	for _, r := range w.Rows {
		n := NodeStatus{Node: r.Node, Applied: replicatedlog.Index(r.Applied), Config: replicatedlog.Index(r.Config), Refused: replicatedlog.Index(r.Refused), Reason: r.Reason,
			Presumed: replicatedlog.Index(r.Presumed), Gaps: r.Gaps, Machine: r.Machine, Begins: r.Begins, HeardS: float64(r.AgoMs) / 1000}
		if n.Silent = n.HeardS > heardWithin; w.Head > r.Applied {
			n.Lacks = w.Head - r.Applied
		}
		o.Nodes = append(o.Nodes, n)
	}
	for _, r := range w.Machines {
		h := float64(r.AgoMs) / 1000
		o.Machines = append(o.Machines, ServerStatus{r.ID, r.Name, r.Learner, r.Leads, r.Term, replicatedlog.Index(r.Head), replicatedlog.Index(r.Floor), replicatedlog.Index(r.Config), h, r.Unheard || h > heardWithin, r.In, r.Out, r.Foreign, r.Away, r.Purges, r.NoList})
	}
	o.Caches, o.Unlisted = cacheRows(w, heardWithin)
	return o
}

// cacheRows puts together what machines tell of caches, in their order. What is done stays done, also if who did it is silent now; which caches
// there are, and what is late, only who is heard can say.
func cacheRows(w word, heardWithin float64) (all []CacheStatus, unlisted bool) {
	heard, does := map[uint64]bool{}, false
	for _, m := range w.Machines {
		heard[m.ID] = !m.Unheard && float64(m.AgoMs)/1000 <= heardWithin
		does, unlisted = does || m.Purges, unlisted || m.Purges && !m.NoList && heard[m.ID]
	}
	latest := map[string]int64{} // process of each cache: what was done at one before it is no matter
	for _, r := range w.Caches {
		latest[r.Cache] = max(latest[r.Cache], r.Started)
	}
	for _, r := range w.Caches {
		n := len(all)
		if n == 0 || all[n-1].Cache != r.Cache {
			all = append(all, CacheStatus{Cache: r.Cache, Late: math.MaxUint64, Flushing: true})
			n++
		}
		c, at := &all[n-1], CacheProgress{r.Machine, replicatedlog.Index(r.Done), r.Late, float64(r.QuietMs) / 1000, r.Reason, float64(r.AgoMs) / 1000, !heard[r.Machine]}
		if r.Foreign || r.Started < latest[r.Cache] {
			at.Done, r.First = 0, 0
		}
		c.Done, c.First = max(c.Done, at.Done), max(c.First, replicatedlog.Index(r.First))
		if !at.Silent {
			c.Late, c.Flushing = min(c.Late, r.Late), c.Flushing && r.Flushing
		}
		c.Machines = append(c.Machines, at)
	}
	all = slices.DeleteFunc(all, func(c CacheStatus) bool {
		return !slices.ContainsFunc(c.Machines, func(m CacheProgress) bool { return !m.Silent })
	})
	for i := range all {
		all[i].Lacks = max(w.Head, uint64(all[i].Done)) - uint64(all[i].Done)
	}
	return all, does && !unlisted
}
