package controlclient

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/purge"
)

// statusTimeout bounds the wait for status tables, so that operators get the overview within a second even if a server
// is down.
const statusTimeout = 900 * time.Millisecond

// Overview requests the status tables of all control servers in parallel and merges them. It returns ErrUnavailable if
// none answers in time.
func (c Client) Overview() (Overview, error) {
	type answer struct {
		table controlwire.Message
		err   error
	}
	answers := make(chan answer, len(c.Servers))
	for _, addr := range c.Servers {
		go func() {
			request := controlwire.Message{Kind: controlwire.KindStatusRequest}
			table, err := c.exchange(context.Background(), addr, request, statusTimeout)
			if err == nil && table.Kind != controlwire.KindStatusTable {
				err = controlwire.ErrMalformed
			}
			answers <- answer{table: table, err: err}
		}()
	}

	merged := newMergedTable()
	deadline := time.After(statusTimeout)
	answered := false
	lastErr := ErrUnavailable
collect:
	for range c.Servers {
		var got answer
		select {
		case got = <-answers:
		case <-deadline:
			lastErr = fmt.Errorf("%w: %w", ErrUnavailable, context.DeadlineExceeded)
			break collect // the remaining servers are left out
		}
		if got.err != nil {
			lastErr = fmt.Errorf("%w: %w", ErrUnavailable, got.err)
			continue
		}
		answered = true
		merged.add(got.table)
	}
	if !answered {
		return Overview{}, lastErr
	}
	return summarize(merged.table()), nil
}

// cacheReportKey identifies one control server's report on one cache.
type cacheReportKey struct {
	cache  string
	server uint64
}

// mergedTable merges the status tables of several servers: it keeps the newest report on each node, server and cache.
type mergedTable struct {
	hasLeader bool
	last      uint64 // newest entry that any server has
	nodes     map[string]controlwire.NodeReport
	servers   map[uint64]controlwire.ServerReport
	caches    map[cacheReportKey]purge.Progress
}

func newMergedTable() *mergedTable {
	return &mergedTable{
		nodes:   map[string]controlwire.NodeReport{},
		servers: map[uint64]controlwire.ServerReport{},
		caches:  map[cacheReportKey]purge.Progress{},
	}
}

func (m *mergedTable) add(table controlwire.Message) {
	m.hasLeader = m.hasLeader || table.HasLeader
	m.last = max(m.last, table.Last)
	for _, report := range table.Nodes {
		known, ok := m.nodes[report.Node]
		newer := report.AgeMs < known.AgeMs || report.AgeMs == known.AgeMs && report.Applied > known.Applied
		if !ok || newer {
			m.nodes[report.Node] = report
		}
	}
	for _, report := range table.Caches {
		key := cacheReportKey{cache: report.Cache, server: report.Server}
		known, ok := m.caches[key]
		if !ok || report.AgeMs < known.AgeMs {
			m.caches[key] = report
		}
	}
	for _, report := range table.Servers {
		known, ok := m.servers[report.ID]
		newer := !report.NeverSeen && report.AgeMs < known.AgeMs
		if !ok || known.NeverSeen || newer {
			m.servers[report.ID] = report
		}
	}
}

// table returns the merged reports as one table, sorted by name and id.
func (m *mergedTable) table() controlwire.Message {
	table := controlwire.Message{HasLeader: m.hasLeader, Last: m.last}
	for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
		table.Nodes = append(table.Nodes, m.nodes[name])
	}
	table.Caches = slices.SortedFunc(maps.Values(m.caches), func(a, b purge.Progress) int {
		return cmp.Or(cmp.Compare(a.Cache, b.Cache), cmp.Compare(a.Server, b.Server))
	})
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		table.Servers = append(table.Servers, m.servers[id])
	}
	return table
}
