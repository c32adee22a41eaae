package logfollower

import (
	"slices"
	"testing"
)

// When a server fails, its nodes move to the next server in their orders. These must spread over all other servers, and
// a node's order must not depend on the order of servers in the configuration.
func TestServerOrderSpreadsNodes(t *testing.T) {
	servers := []string{"10.0.0.1:2", "10.0.0.2:2", "10.0.0.3:2", "10.0.0.4:2"}
	reversed := slices.Clone(servers)
	slices.Reverse(reversed)
	const nodes = 480
	secondAfter := map[string]map[string]int{} // by the first server, how many nodes have which one next
	for seed := range uint32(nodes) {
		order := serverOrder(servers, seed)
		if !slices.Equal(order, serverOrder(reversed, seed)) {
			t.Fatalf("seed %d: the order depends on that in the configuration", seed)
		}
		if secondAfter[order[0]] == nil {
			secondAfter[order[0]] = map[string]int{}
		}
		secondAfter[order[0]][order[1]]++
	}
	for _, first := range servers {
		if len(secondAfter[first]) != len(servers)-1 {
			t.Errorf("the nodes of %s move to %v", first, secondAfter[first])
		}
		for second, count := range secondAfter[first] {
			if share := nodes / len(servers) / (len(servers) - 1); count < share/2 {
				t.Errorf("only %d nodes of %s move to %s", count, first, second)
			}
		}
	}
}
