package controlserver

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// maxAgeMs bounds the age in reports. Reports with a higher one are dropped, because it cannot be valid and could
// overflow when converted to nanoseconds.
const maxAgeMs = 1 << 40

// nodeRecord is a node's report with the time at which it was made.
type nodeRecord struct {
	controlwire.NodeReport
	seenAt monotime.Instant
}

// serverRecord is another control server's report on itself and on caches, with the time of its arrival.
type serverRecord struct {
	controlwire.ServerReport
	caches []purge.Progress
	seenAt monotime.Instant
}

// statusTable holds the latest reports on nodes, servers and caches: directly from the nodes that follow this server,
// and from other servers. Reports may be out of date and are lost with the process. Its methods may be called from any
// goroutine.
type statusTable struct {
	server          *Server
	mu              sync.Mutex
	nodes           map[string]nodeRecord   // by name; at most controlwire.MaxNodes
	servers         map[uint64]serverRecord // by id, without this one
	rejectedStreams atomic.Uint64           // closed because too many were open
	invalid         atomic.Uint64           // malformed streams and messages, and messages for others
	bytesIn         atomic.Uint64
	bytesOut        atomic.Uint64
}

func newStatusTable(s *Server) *statusTable {
	return &statusTable{server: s, nodes: map[string]nodeRecord{}, servers: map[uint64]serverRecord{}}
}

// recordNode records a node's report, unless a newer one is known, for example from another server that it followed.
func (t *statusTable) recordNode(report controlwire.NodeReport, seenAt monotime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.nodes[report.Node]
	if ok && known.seenAt > seenAt {
		return
	}
	if !ok && len(t.nodes) >= controlwire.MaxNodes && !t.forgetSilentNodes() {
		return
	}
	t.nodes[report.Node] = nodeRecord{NodeReport: report, seenAt: seenAt}
}

// forgetSilentNodes removes nodes that have not reported for the configured time, and reports whether there is capacity
// for one more. The caller holds the lock.
func (t *statusTable) forgetSilentNodes() bool {
	now := t.server.Now()
	for name, node := range t.nodes {
		if time.Duration(now-node.seenAt) > t.server.File.Bounds.ForgetAfter() {
			delete(t.nodes, name)
		}
	}
	return len(t.nodes) < controlwire.MaxNodes
}

// ageMs returns the time since at in milliseconds.
func ageMs(now, at monotime.Instant) uint64 {
	return uint64(max(0, time.Duration(now-at)) / time.Millisecond)
}

// appliedByAll returns the index up to which every node that has reported within the given time has applied; false if
// there are no such nodes.
func (t *statusTable) appliedByAll(within time.Duration) (least replicatedlog.Index, known bool) {
	now := t.server.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range t.nodes {
		if time.Duration(now-node.seenAt) > within {
			continue
		}
		applied := replicatedlog.Index(node.Applied)
		if !known || applied < least {
			least = applied
			known = true
		}
	}
	return least, known
}

// ownReport returns this server's report on itself and on the caches at which it runs purges; nil for no caches.
func (t *statusTable) ownReport() (controlwire.ServerReport, []purge.Progress) {
	leadership := t.server.loop.leadership.Load()
	self := t.server.File.Self()
	report := controlwire.ServerReport{
		ID:       t.server.id,
		Name:     self.Name,
		Learner:  self.Learner,
		IsLeader: leadership.isLeader,
		Term:     leadership.term,
		BytesIn:  t.bytesIn.Load(),
		BytesOut: t.bytesOut.Load(),
		Invalid:  t.invalid.Load(),
		Rejected: t.rejectedStreams.Load(),
	}
	t.server.sharedLog.describe(&report)
	if t.server.purger == nil {
		return report, nil
	}
	caches, listed := t.server.purger.Progress()
	for i := range caches {
		caches[i].Server = t.server.id
	}
	report.RunsPurges = true
	report.NoCacheList = !listed
	return report, caches
}

// ownTable returns the reports for other servers: on this server, the nodes that follow it, and its caches.
func (t *statusTable) ownTable() controlwire.Message {
	self, caches := t.ownReport()
	table := controlwire.Message{
		Kind:    controlwire.KindStatusTable,
		Servers: []controlwire.ServerReport{self},
		Caches:  caches,
	}
	now := t.server.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range t.nodes {
		if node.Server == t.server.id {
			node.AgeMs = ageMs(now, node.seenAt)
			table.Nodes = append(table.Nodes, node.NodeReport)
		}
	}
	return table
}

// fullTable returns all known reports, for clients.
func (t *statusTable) fullTable() controlwire.Message {
	self, caches := t.ownReport()
	table := controlwire.Message{
		Kind:      controlwire.KindStatusTable,
		HasLeader: t.server.loop.leadership.Load().hasLeader,
		Last:      self.Last,
		Servers:   []controlwire.ServerReport{self},
		Caches:    caches,
	}
	now := t.server.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetSilentNodes()
	for _, node := range t.nodes {
		node.AgeMs = ageMs(now, node.seenAt)
		table.Nodes = append(table.Nodes, node.NodeReport)
	}
	for _, other := range t.server.File.Servers {
		if other.ID == t.server.id {
			continue
		}
		report := controlwire.ServerReport{NeverSeen: true}
		if record, ok := t.servers[other.ID]; ok {
			report = record.ServerReport
			report.AgeMs = ageMs(now, record.seenAt)
			for _, cache := range record.caches {
				cache.AgeMs = report.AgeMs
				table.Caches = append(table.Caches, cache)
			}
		}
		report.ID = other.ID
		report.Name = other.Name
		report.Learner = other.Learner
		table.Servers = append(table.Servers, report)
		table.Last = max(table.Last, report.Last)
	}
	return table
}

// mergePeerTable records another server's reports on itself, its nodes and its caches. Reports beyond the limits are
// dropped.
func (t *statusTable) mergePeerTable(from uint64, table controlwire.Message) {
	now := t.server.Now()
	for _, report := range table.Nodes {
		if !validNode(report) {
			continue
		}
		report.Server = from
		age := time.Duration(report.AgeMs) * time.Millisecond
		t.recordNode(report, now-monotime.Instant(age))
	}
	for _, report := range table.Servers {
		if report.ID != from {
			continue
		}
		caches := validCaches(table.Caches, from)
		t.mu.Lock()
		t.servers[from] = serverRecord{ServerReport: report, caches: caches, seenAt: now}
		t.mu.Unlock()
		if t.server.purger != nil {
			t.server.purger.MergeProgress(caches)
		}
	}
}

func validNode(report controlwire.NodeReport) bool {
	return report.Node != "" && len(report.Node) <= controlwire.MaxNameBytes &&
		len(report.Reason) <= controlwire.MaxReasonBytes && report.AgeMs < maxAgeMs
}

// validCaches returns the reports that are within the limits, attributed to the server that sent them.
func validCaches(caches []purge.Progress, from uint64) []purge.Progress {
	caches = slices.DeleteFunc(caches, func(cache purge.Progress) bool {
		validName := cache.Cache != "" && len(cache.Cache) <= controlwire.MaxNameBytes
		return !validName || len(cache.Reason) > controlwire.MaxReasonBytes
	})
	caches = caches[:min(len(caches), controlwire.MaxCaches)]
	for i := range caches {
		caches[i].Server = from
	}
	return caches
}
