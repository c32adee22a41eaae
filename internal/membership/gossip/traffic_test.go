package gossip

import "testing"

// Each byte must be counted as one kind of message: the bytes of datagrams add up to the total, and statements and
// exchanges are distinguished from the library's own messages.
func TestTrafficIsCountedByKind(t *testing.T) {
	nodes := startNodes(t, 3, nil)
	eventually(t, "all know all", haveSameView(nodes, 3))
	nodes[2].SetPresence(Leaving) // causes statements
	eventually(t, "the node that left is not a member", haveSameView(nodes[:2], 2))
	for _, node := range nodes {
		eventually(t, "the counters add up", func() bool { // traffic continues meanwhile
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
