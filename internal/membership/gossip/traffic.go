package gossip

import (
	"net"
	"sync/atomic"
)

// counters count the traffic of the sockets since the node joined. Sizes of datagrams include the preface.
type counters struct {
	in       atomic.Uint64 // datagrams received
	inBytes  atomic.Uint64
	reads    atomic.Uint64 // calls that read a batch of datagrams
	out      atomic.Uint64 // datagrams sent
	outBytes atomic.Uint64
	foreign  atomic.Uint64 // datagrams and streams without this fleet's preface
	dropped  atomic.Uint64 // datagrams and streams dropped because a queue or limit was full
	streams  atomic.Uint64 // streams accepted
	flows    [flowKinds]flowCounters
}

// The kinds of messages by which traffic is counted.
const (
	flowHeartbeats = iota
	flowStatements // statements in the library's datagrams
	flowLibrary    // the rest of these datagrams: the library's own messages and the overhead
	flowStreams    // exchanges of the full state
	flowKinds
)

// flowNames are the names that operators see.
var flowNames = [flowKinds]string{"hellos", "statements", "gossip", "streams"}

// flowCounters count the messages of one kind.
type flowCounters struct{ in, inBytes, out, outBytes atomic.Uint64 }

func (c *flowCounters) addIn(bytes int) {
	c.in.Add(1)
	c.inBytes.Add(uint64(bytes))
}

func (c *flowCounters) addOut(bytes int) {
	c.out.Add(1)
	c.outBytes.Add(uint64(bytes))
}

// TrafficStats is the traffic of one kind of message since the node joined. In and Out count datagrams for heartbeats
// and library messages, connections for streams, and single statements for statements; the datagrams that carry
// statements are counted as the library's.
type TrafficStats struct {
	Name     string `json:"name"`
	In       uint64 `json:"in"`
	InBytes  uint64 `json:"in_bytes"`
	Out      uint64 `json:"out"`
	OutBytes uint64 `json:"out_bytes"`
}

// Traffic returns the traffic of each kind. The bytes of all kinds except streams add up to the bytes of all datagrams.
func (n *Node) Traffic() []TrafficStats {
	all := make([]TrafficStats, flowKinds)
	for kind := range all { // statements are read before the library's datagrams, so they never exceed these
		flow := &n.transport.counters.flows[kind]
		all[kind] = TrafficStats{
			Name:     flowNames[kind],
			In:       flow.in.Load(),
			InBytes:  flow.inBytes.Load(),
			Out:      flow.out.Load(),
			OutBytes: flow.outBytes.Load(),
		}
	}
	statements := &all[flowStatements]
	library := &all[flowLibrary]
	library.InBytes -= min(library.InBytes, statements.InBytes)
	library.OutBytes -= min(library.OutBytes, statements.OutBytes)
	return all
}

// countingConn counts the bytes of a stream.
type countingConn struct {
	net.Conn
	flow *flowCounters
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.flow.inBytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.flow.outBytes.Add(uint64(n))
	return n, err
}
