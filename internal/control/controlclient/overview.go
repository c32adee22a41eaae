package controlclient

import (
	"slices"

	"dahliapin/internal/control/replicatedlog"
)

// Overview is the progress of all nodes, control servers and caches. The names in the JSON of it and of the types below
// are those that operators and their scripts use. They differ from the names of the fields, and must not change.
type Overview struct {
	Last        replicatedlog.Index `json:"last"` // the newest entry that any control server has
	HasLeader   bool                `json:"led"`  // a server that answered has a leader
	Nodes       []NodeStatus        `json:"nodes"`
	Servers     []ServerStatus      `json:"machines"`
	Caches      []CacheStatus       `json:"caches,omitempty"`
	NoCacheList bool                `json:"unlisted,omitempty"` // servers run purges, but none that responds has a list
}

// CaughtUp reports whether NodesCaughtUp holds, a list of caches is known unless no server runs purges, and every purge
// is done at each cache in it.
func (o Overview) CaughtUp() bool {
	lacking := func(cache CacheStatus) bool { return cache.Missing > 0 }
	return !o.NoCacheList && o.NodesCaughtUp() && !slices.ContainsFunc(o.Caches, lacking)
}

// NodesCaughtUp reports whether every node has started, has applied all entries, has refused no configuration since the
// one in force and is not silent, and whether there is a leader.
func (o Overview) NodesCaughtUp() bool {
	for _, node := range o.Nodes {
		if node.Missing > 0 || node.Silent || node.NotStarted || node.Refused > 0 {
			return false
		}
	}
	return o.HasLeader
}

// NodeStatus is how far a node has applied the replicated log.
type NodeStatus struct {
	Node           string              `json:"node"`
	Applied        replicatedlog.Index `json:"applied"`
	Missing        uint64              `json:"lacks"`              // entries up to the newest
	Config         replicatedlog.Index `json:"config"`             // in force; 0 for its own, or one of an earlier log
	Refused        replicatedlog.Index `json:"refused,omitempty"`  // of a configuration that it refused
	Reason         string              `json:"reason,omitempty"`   // why it was refused
	PresumedPurged replicatedlog.Index `json:"presumed,omitempty"` // everything up to here may have been purged
	Gaps           uint64              `json:"gaps,omitempty"`     // times that entries did not follow the applied ones
	Server         uint64              `json:"machine"`            // id of the control server that it follows
	LastSeenS      float64             `json:"heard_s"`            // seconds since it reported
	Silent         bool                `json:"silent,omitempty"`   // LastSeenS is over controlwire.NodeTimeout
	NotStarted     bool                `json:"begins,omitempty"`   // it has not received a starting point yet
}

// ServerStatus is the state of a control server. The struct is flat because it is one flat object in the JSON that
// operators get.
type ServerStatus struct {
	ID          uint64              `json:"id"`
	Name        string              `json:"name"`
	Learner     bool                `json:"learner,omitempty"` // it replicates the log without a vote
	IsLeader    bool                `json:"leads,omitempty"`
	Term        uint64              `json:"term"`             // raft's
	Last        replicatedlog.Index `json:"last"`             // newest entry
	Floor       replicatedlog.Index `json:"floor"`            // entries up to here are no longer retained
	Config      replicatedlog.Index `json:"config"`           // newest configuration
	LastSeenS   float64             `json:"heard_s"`          // seconds since its report reached the answering server
	Silent      bool                `json:"silent,omitempty"` // never seen, or not for controlwire.NodeTimeout
	BytesIn     uint64              `json:"bytes_in"`
	BytesOut    uint64              `json:"bytes_out"`
	Invalid     uint64              `json:"foreign"`           // malformed streams and messages, or for other servers
	Rejected    uint64              `json:"turned_away"`       // streams closed because too many were open
	RunsPurges  bool                `json:"purges,omitempty"`  // it carries purges out at caches
	NoCacheList bool                `json:"no_list,omitempty"` // it runs purges but has no list of caches yet
}

// CacheStatus is the progress of purges at a cache. A purge is done once any control server has done it.
type CacheStatus struct {
	Cache        string              `json:"cache"`
	Done         replicatedlog.Index `json:"done"`               // purges up to here are done
	QuickDeleted replicatedlog.Index `json:"first"`              // each key up to here was deleted at least once
	Missing      uint64              `json:"lacks"`              // entries up to the newest
	Overdue      uint64              `json:"late"`               // missing entries that should be done by now
	Flushing     bool                `json:"flushing,omitempty"` // missing entries are not retained: it must be flushed
	Servers      []CacheProgress     `json:"machines"`           // by control server
}

// CacheProgress is the progress of one control server's purges at a cache.
type CacheProgress struct {
	Server      uint64              `json:"machine"` // id of the control server
	Done        replicatedlog.Index `json:"done"`
	Overdue     uint64              `json:"late"`             // entries that should be done by now
	UnansweredS float64             `json:"quiet_s"`          // since the last answer, if one is due or it disconnected
	Reason      string              `json:"reason,omitempty"` // why the last connection ended
	LastSeenS   float64             `json:"heard_s"`          // seconds since the server reported
	Silent      bool                `json:"silent,omitempty"` // the server is silent
}
