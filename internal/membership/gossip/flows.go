package gossip

import (
	"net"
	"sync/atomic"
)

// The kinds of messages between nodes, as their bytes are counted.
const (
	hellos     = iota // signs of life
	statements        // what members say, as it rides in the library's datagrams
	gossip            // all else in these: the library's own words, and what each datagram costs
	streams           // all that each has heard, exchanged now and then
	flowKinds
)

var flowNames = [flowKinds]string{"hellos", "statements", "gossip", "streams"}

// TrafficStats is what one kind of message has taken of the sockets until now. Of hellos and gossip the messages are datagrams, of streams
// connections; statements are counted each, and the datagrams that carry them are those of gossip.
type TrafficStats struct {
	Name     string `json:"name"`
	In       uint64 `json:"in"`
	InBytes  uint64 `json:"in_bytes"`
	Out      uint64 `json:"out"`
	OutBytes uint64 `json:"out_bytes"`
}

type tally struct{ in, inBytes, out, outBytes atomic.Uint64 }

func (t *tally) came(bytes int) {
	t.in.Add(1)
	t.inBytes.Add(uint64(bytes))
}

func (t *tally) went(bytes int) {
	t.out.Add(1)
	t.outBytes.Add(uint64(bytes))
}

// Traffic are all kinds.
func (p *Node) Traffic() []TrafficStats {
	all := make([]TrafficStats, flowKinds)
	for kind := range all { // statements first: they are never more than the gossip that carries them
		c := &p.t.count.flows[kind]
		all[kind] = TrafficStats{flowNames[kind], c.in.Load(), c.inBytes.Load(), c.out.Load(), c.outBytes.Load()}
	}
	all[gossip].InBytes -= min(all[gossip].InBytes, all[statements].InBytes)
	all[gossip].OutBytes -= min(all[gossip].OutBytes, all[statements].OutBytes)
	return all
}

// countedConn counts what a stream carries.
type countedConn struct {
	net.Conn
	flow *tally
}

func (c *countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.flow.inBytes.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.flow.outBytes.Add(uint64(n))
	return n, err
}
