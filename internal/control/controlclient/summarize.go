package controlclient

import (
	"math"
	"slices"
	"time"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
)

// summarize converts a merged status table to an Overview.
func summarize(table controlwire.Message) Overview {
	overview := Overview{
		Last:      replicatedlog.Index(table.Last),
		HasLeader: table.HasLeader,
		Nodes:     []NodeStatus{},
		Servers:   []ServerStatus{},
	}
	for _, report := range table.Nodes {
		overview.Nodes = append(overview.Nodes, nodeStatus(report, table.Last))
	}
	for _, report := range table.Servers {
		overview.Servers = append(overview.Servers, serverStatus(report))
	}
	responsive, noCacheList := responsiveServers(table.Servers)
	overview.Caches = cacheStatuses(table, responsive)
	overview.NoCacheList = noCacheList
	return overview
}

func seconds(ms uint64) float64 { return float64(ms) / 1000 }

func isSilent(ageMs uint64) bool {
	return seconds(ageMs) > float64(controlwire.NodeTimeout/time.Second)
}

func nodeStatus(report controlwire.NodeReport, last uint64) NodeStatus {
	return NodeStatus{
		Node:           report.Node,
		Applied:        replicatedlog.Index(report.Applied),
		Missing:        last - min(last, report.Applied),
		Config:         replicatedlog.Index(report.Config),
		Refused:        replicatedlog.Index(report.Refused),
		Reason:         report.Reason,
		PresumedPurged: replicatedlog.Index(report.PresumedPurged),
		Gaps:           report.Gaps,
		Server:         report.Server,
		LastSeenS:      seconds(report.AgeMs),
		Silent:         isSilent(report.AgeMs),
		NotStarted:     report.NotStarted,
	}
}

func serverStatus(report controlwire.ServerReport) ServerStatus {
	return ServerStatus{
		ID:          report.ID,
		Name:        report.Name,
		Learner:     report.Learner,
		IsLeader:    report.IsLeader,
		Term:        report.Term,
		Last:        replicatedlog.Index(report.Last),
		Floor:       replicatedlog.Index(report.Floor),
		Config:      replicatedlog.Index(report.Config),
		LastSeenS:   seconds(report.AgeMs),
		Silent:      report.NeverSeen || isSilent(report.AgeMs),
		BytesIn:     report.BytesIn,
		BytesOut:    report.BytesOut,
		Invalid:     report.Invalid,
		Rejected:    report.Rejected,
		RunsPurges:  report.RunsPurges,
		NoCacheList: report.NoCacheList,
	}
}

// responsiveServers returns the ids of the servers that are not silent. noCacheList reports whether any server runs
// purges at caches while no responsive one has a list of caches.
func responsiveServers(servers []controlwire.ServerReport) (responsive map[uint64]bool, noCacheList bool) {
	responsive = map[uint64]bool{}
	runsPurges := false
	hasList := false
	for _, server := range servers {
		responsive[server.ID] = !server.NeverSeen && !isSilent(server.AgeMs)
		runsPurges = runsPurges || server.RunsPurges
		hasList = hasList || server.RunsPurges && !server.NoCacheList && responsive[server.ID]
	}
	return responsive, runsPurges && !hasList
}

// cacheStatuses merges the servers' reports on each cache; the reports on one cache must be adjacent. A completed purge
// stays done even if the server that did it is silent now. The set of caches and the overdue entries are taken only
// from servers that are not silent.
func cacheStatuses(table controlwire.Message, responsive map[uint64]bool) []CacheStatus {
	newestProcess := map[string]int64{} // by cache; purges done at an earlier process do not count
	for _, report := range table.Caches {
		newestProcess[report.Cache] = max(newestProcess[report.Cache], report.Incarnation)
	}
	var caches []CacheStatus
	for _, report := range table.Caches {
		n := len(caches)
		if n == 0 || caches[n-1].Cache != report.Cache {
			caches = append(caches, CacheStatus{Cache: report.Cache, Overdue: math.MaxUint64, Flushing: true})
			n++
		}
		if report.OtherLog || report.Incarnation < newestProcess[report.Cache] {
			report.Done = 0
			report.QuickDeleted = 0
		}
		caches[n-1].merge(report, responsive[report.Server])
	}
	caches = slices.DeleteFunc(caches, func(cache CacheStatus) bool {
		reportedNow := func(at CacheProgress) bool { return !at.Silent }
		return !slices.ContainsFunc(cache.Servers, reportedNow)
	})
	for i := range caches {
		done := uint64(caches[i].Done)
		caches[i].Missing = max(table.Last, done) - done
	}
	return caches
}

// merge adds one server's report. Overdue and Flushing count only if the server is responsive.
func (c *CacheStatus) merge(report purge.Progress, responsive bool) {
	progress := CacheProgress{
		Server:      report.Server,
		Done:        replicatedlog.Index(report.Done),
		Overdue:     report.Overdue,
		UnansweredS: seconds(report.UnansweredMs),
		Reason:      report.Reason,
		LastSeenS:   seconds(report.AgeMs),
		Silent:      !responsive,
	}
	c.Done = max(c.Done, progress.Done)
	c.QuickDeleted = max(c.QuickDeleted, replicatedlog.Index(report.QuickDeleted))
	if responsive {
		c.Overdue = min(c.Overdue, report.Overdue)
		c.Flushing = c.Flushing && report.Flushing
	}
	c.Servers = append(c.Servers, progress)
}
