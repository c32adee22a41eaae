package gossip

import (
	"fmt"

	"dahliapin/internal/membership"
)

// Status is how a node stands in its fleet, for operators.
type Status struct {
	Node        membership.NodeName    `json:"node"`
	Process     string                 `json:"process"`
	Incarnation membership.Incarnation `json:"life"` // which process of the node's; 0 before it has taken its name
	View        uint64                 `json:"view"` // changes of who is a member, here
	Mark        string                 `json:"mark"` // the same wherever the same nodes are members
	CutOff      bool                   `json:"cut_off"`
	Members     int                    `json:"members"`
	Suspected   int                    `json:"suspected"`
	In          uint64                 `json:"datagrams_in"`
	InBytes     uint64                 `json:"bytes_in"`
	Out         uint64                 `json:"datagrams_out"`
	OutBytes    uint64                 `json:"bytes_out"`
	Streams     uint64                 `json:"streams_in"`
	Foreign     uint64                 `json:"foreign"` // of no node of this fleet
	Unread      uint64                 `json:"unread"`  // of a node, and not to be read
	Dropped     uint64                 `json:"dropped"` // for want of room
	Flows       []TrafficStats         `json:"flows"`
}

// MemberStatus is one process that is known.
type MemberStatus struct {
	Node        membership.NodeName    `json:"node"`
	Process     string                 `json:"process"`
	Incarnation membership.Incarnation `json:"life"`
	Addr        string                 `json:"addr"`
	Status      string                 `json:"standing"`
	Since       float64                `json:"since_s"` // by the time that the asked process has run
	Hears       int                    `json:"heard_by"`
	Misses      int                    `json:"missed_by"`
}

func hex(p membership.ProcessID) string { return fmt.Sprintf("%016x", uint64(p)) }

// FleetStatus is how this node stands, and whether it takes part.
func (p *Node) FleetStatus() (any, bool) {
	v := p.View()
	s := Status{Node: membership.NodeName(p.Name), Process: hex(p.process), Incarnation: v.Incarnation, View: v.Number, Mark: fmt.Sprintf("%016x", v.Fingerprint), CutOff: v.CutOff,
		Members: len(v.Nodes), In: p.t.count.in.Load(), InBytes: p.t.count.inBytes.Load(), Out: p.t.count.out.Load(),
		OutBytes: p.t.count.outBytes.Load(), Streams: p.t.count.streams.Load(), Foreign: p.t.count.foreign.Load(), Unread: p.bad.Load(),
		Dropped: p.t.count.dropped.Load(), Flows: p.Traffic()}
	for _, m := range v.Members {
		if m.Status == membership.Suspected {
			s.Suspected++
		}
	}
	return s, !v.CutOff && v.Incarnation > 0
}

// FleetMembers are the processes that are known.
func (p *Node) FleetMembers() any {
	all := []MemberStatus{}
	for _, m := range p.View().Members {
		all = append(all, MemberStatus{m.Node, hex(m.Process), m.Incarnation, m.Addr, m.Status.String(), m.Since.Seconds(), m.Hears, m.Misses})
	}
	return all
}
