package proxy

import (
	"slices"
	"sync/atomic"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// metricsPublisher holds the node's counters, and the snapshot for operators. Only the event loop accesses anything but
// the snapshot. Once the loop has ended, Proxy.Counters also reads the counters.
type metricsPublisher struct {
	counters     metrics.Counters
	byClass      []metrics.ClassSnapshot          // by service class
	attemptsSent uint64                           // attempts whose last byte the kernel has accepted
	endpoints    *endpointStats                   // nil if no snapshots are published
	snapshot     atomic.Pointer[metrics.Snapshot] // written by the loop, read by any goroutine
}

func newClassSnapshots(s *settings.Settings) []metrics.ClassSnapshot {
	classes := make([]metrics.ClassSnapshot, len(s.Policy.Classes))
	for name, class := range s.Names.Classes() {
		classes[class].Name = name
	}
	return classes
}

func (m *metricsPublisher) countSatisfied(class policy.ClassID) {
	m.counters.Satisfied++
	m.byClass[class].Satisfied++
}

func (m *metricsPublisher) countRejected(class policy.ClassID) {
	m.counters.Rejected++
	m.byClass[class].Rejected++
}

func (m *metricsPublisher) countFailed(class policy.ClassID) {
	m.counters.Failed++
	m.byClass[class].Failed++
}

// publishMetrics publishes a new snapshot. It is called ten times a second, and there may be thousands of endpoints, so
// it visits only those that are not in StateInUse.
func (p *Proxy) publishMetrics() {
	stats := p.metrics.endpoints
	if stats == nil {
		return
	}
	snapshot := &metrics.Snapshot{
		At:       time.Now(),
		Serving:  p.lifecycle.phase == Serving,
		Phase:    p.lifecycle.phase.String(),
		Classes:  slices.Clone(p.metrics.byClass),
		Attempts: p.metrics.attemptsSent,
		Pending:  p.inflight.pending,
		Members:  p.endpoints.members,
	}
	now := p.now()
	for id := range stats.states {
		if p.endpoints.byID[id] != nil && stats.isAvoided(now, id) {
			snapshot.Unavailable++
		}
	}
	p.metrics.snapshot.Store(snapshot)
}
