package scale

import (
	"fmt"
	"net"
	"testing"
	"time"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/membership/gossip"
)

// freePort returns a port that is free on an address of the first region.
func freePort(t *testing.T) uint16 {
	t.Helper()
	free, err := gossip.Listen("127.10.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Datagrams.Close()
	free.Streams.Close()
	return free.Streams.Addr().(*net.TCPAddr).AddrPort().Port()
}

// openSimulatedNodes starts simulated nodes that detect a fault within a second, and stops them after the test.
func openSimulatedNodes(t *testing.T, nodes int, places Places, rules *networkRules, lists *endpointLists) []*Node {
	t.Helper()
	port := freePort(t)
	file := fleetconfig.Default()
	file.Members.HeartbeatMs = 100
	file.Members.PauseS = 0.8
	file.Members.RejoinS = 0.6
	file.Fleet.Label = "hollow"
	file.Fleet.Seeds = []string{fmt.Sprintf("127.%d.0.1:%d", firstRegion, port)}
	var all []*Node
	for _, at := range AssignPlaces(nodes, 0, places, port) {
		var err error
		if at.List, err = lists.listen(at.Name); err != nil {
			t.Fatal(err)
		}
		own := file
		own.Fleet.Listen = at.Addr
		own.Fleet.Advertise = at.Addr
		n, err := OpenNode(at, &own, nodes, rules)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { n.Close(false) })
		all = append(all, n)
	}
	return all
}

// awaitAll waits until a condition holds for all nodes at the same time.
func awaitAll(t *testing.T, nodes []*Node, what string, holds func(*Node) bool) {
	t.Helper()
	for by := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ok := true
		for _, n := range nodes {
			ok = ok && holds(n)
		}
		if ok {
			return
		}
		if time.Now().After(by) {
			t.Fatal("not reached within 30 s: " + what)
		}
	}
}

// When a region of a nine-node fleet is cut off, the other regions must remove its nodes from their views, and its
// nodes must detect the partition. When the partition has healed, all views must be complete again. Each node must also
// poll its endpoint list.
func TestSimulatedNodesDetectRegionPartitionAndRecovery(t *testing.T) {
	const (
		nodes   = 9
		regions = 3
		off     = 1
	)
	file := defaultFile()
	file.Places = Places{Regions: regions, Sites: regions, Zones: regions}
	file.RegionLinks = RegionLinks{DelayMs: 2, MaxDelayMs: 10, JitterMs: 1, Loss: 0.01}
	rules := &networkRules{faults: file.Faults(7)}
	lists := openEndpointLists(3)
	t.Cleanup(lists.close)
	all := openSimulatedNodes(t, nodes, file.Places, rules, lists)

	knowsAll := func(n *Node) bool {
		return len(n.Membership.View().Nodes) == nodes && !n.Membership.View().MayBePartitioned
	}
	awaitAll(t, all, "all nodes have complete views", knowsAll)
	cut(rules.faults, off, regions, true)
	awaitAll(t, all, "the region is removed from other views, and its nodes detect the partition", func(n *Node) bool {
		view := n.Membership.View()
		if n.Place.Region == off {
			return view.MayBePartitioned
		}
		return len(view.Nodes) == nodes-nodes/regions && !view.MayBePartitioned
	})
	cut(rules.faults, off, regions, false)
	awaitAll(t, all, "all nodes have complete views again", knowsAll)

	for _, n := range all {
		flow := lists.flow(n.Place.Name)
		if flow.OutMessages < 2 || flow.In < float64(len(lists.complete)) || flow.Out == 0 {
			t.Errorf("%s: wrong traffic with discovery: %+v", n.Place.Name, flow)
		}
		heartbeats := n.Membership.Traffic()[0]
		if heartbeats.Out == 0 || heartbeats.InBytes == 0 {
			t.Errorf("%s: no heartbeats were sent or received: %+v", n.Place.Name, heartbeats)
		}
	}
}
