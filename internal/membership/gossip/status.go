package gossip

import (
	"fmt"

	"dahliapin/internal/membership"
)

// Status is the state of a node in its fleet, as operators see it: one flat JSON object.
type Status struct {
	Node             membership.NodeName    `json:"node"`
	Process          string                 `json:"process"`
	Incarnation      membership.Incarnation `json:"life"` // 0 until it has claimed its name
	View             uint64                 `json:"view"` // number of changes of the set of members at this node
	Fingerprint      string                 `json:"mark"` // fingerprint of the view
	MayBePartitioned bool                   `json:"cut_off"`
	Members          int                    `json:"members"`
	Suspected        int                    `json:"suspected"`
	DatagramsIn      uint64                 `json:"datagrams_in"`
	BytesIn          uint64                 `json:"bytes_in"`
	DatagramsOut     uint64                 `json:"datagrams_out"`
	BytesOut         uint64                 `json:"bytes_out"`
	StreamsIn        uint64                 `json:"streams_in"`
	Foreign          uint64                 `json:"foreign"` // messages without this fleet's preface
	Unreadable       uint64                 `json:"unread"`  // messages of this fleet that could not be decoded
	Dropped          uint64                 `json:"dropped"` // messages dropped because a queue or limit was full
	Flows            []TrafficStats         `json:"flows"`
}

// MemberStatus describes one known process, as operators see it.
type MemberStatus struct {
	Node        membership.NodeName    `json:"node"`
	Process     string                 `json:"process"`
	Incarnation membership.Incarnation `json:"life"`
	Addr        string                 `json:"addr"`
	Status      string                 `json:"standing"`
	Since       float64                `json:"since_s"` // in run time of the answering process
	HeardBy     int                    `json:"heard_by"`
	MissedBy    int                    `json:"missed_by"`
}

// hexID returns the ID of a process as operators and the library see it.
func hexID(p membership.ProcessID) string { return fmt.Sprintf("%016x", uint64(p)) }

// FleetStatus returns the state of this node in its fleet, and whether it takes part: it has claimed its name and is
// not cut off.
func (n *Node) FleetStatus() (s Status, takesPart bool) {
	view := n.View()
	counters := &n.transport.counters
	s = Status{
		Node:             membership.NodeName(n.Name),
		Process:          hexID(n.process),
		Incarnation:      view.Incarnation,
		View:             view.Number,
		Fingerprint:      fmt.Sprintf("%016x", view.Fingerprint),
		MayBePartitioned: view.MayBePartitioned,
		Members:          len(view.Nodes),
		DatagramsIn:      counters.in.Load(),
		BytesIn:          counters.inBytes.Load(),
		DatagramsOut:     counters.out.Load(),
		BytesOut:         counters.outBytes.Load(),
		StreamsIn:        counters.streams.Load(),
		Foreign:          counters.foreign.Load(),
		Unreadable:       n.unreadable.Load(),
		Dropped:          counters.dropped.Load(),
		Flows:            n.Traffic(),
	}
	for _, m := range view.Members {
		if m.Status == membership.Suspected {
			s.Suspected++
		}
	}
	return s, !view.MayBePartitioned && view.Incarnation > 0
}

// FleetMembers returns the known processes, ordered by node and process.
func (n *Node) FleetMembers() []MemberStatus {
	all := []MemberStatus{}
	for _, m := range n.View().Members {
		all = append(all, MemberStatus{
			Node:        m.Node,
			Process:     hexID(m.Process),
			Incarnation: m.Incarnation,
			Addr:        m.Addr,
			Status:      m.Status.String(),
			Since:       m.Since.Seconds(),
			HeardBy:     m.HeardBy,
			MissedBy:    m.MissedBy,
		})
	}
	return all
}
