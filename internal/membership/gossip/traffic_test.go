package gossip

import "testing"

// Each byte is counted in one kind: those of datagrams add up to all that were counted, and statements and exchanges
// are told apart from the library's own messages.
func TestTrafficIsCountedByKind(t *testing.T) {
	nodes := startNodes(t, 3, nil)
	eventually(t, "all know all", haveSameView(nodes, 3))
	nodes[2].SetPresence(Leaving) // there are statements then
	eventually(t, "the one that left is out", haveSameView(nodes[:2], 2))
	for _, node := range nodes {
		eventually(t, "what is counted adds up", func() bool { // it goes on meanwhile
			status, _ := node.FleetStatus()
			return addsUp(status)
		})
	}
}

func addsUp(status Status) bool {
	var inBytes, outBytes uint64
	for _, flow := range status.Flows[:flowStreams] {
		if flow.In == 0 || flow.InBytes == 0 || flow.Out == 0 || flow.OutBytes == 0 {
			return false
		}
		inBytes += flow.InBytes
		outBytes += flow.OutBytes
	}
	heartbeats := status.Flows[flowHeartbeats]
	library := status.Flows[flowLibrary]
	streams := status.Flows[flowStreams]
	return inBytes == status.BytesIn &&
		outBytes == status.BytesOut &&
		heartbeats.In+library.In == status.DatagramsIn &&
		heartbeats.Out+library.Out == status.DatagramsOut &&
		heartbeats.OutBytes > 2*heartbeats.Out*prefaceBytes &&
		streams.In == status.StreamsIn &&
		streams.In+streams.Out > 0 &&
		streams.InBytes > 0 &&
		streams.OutBytes > 0
}
