package gossip

import (
	"fmt"
	"testing"

	"dahliapin/internal/membership"
)

// A newer statement of a process must replace the older one in the queue, and leave those of others. A stored statement
// must not be decoded again.
func TestNewerStatementsReplaceOlderOnes(t *testing.T) {
	node := startNodes(t, 1, nil)[0]
	eventually(t, "the name is claimed", func() bool { return node.View().Incarnation > 0 })
	statement := func(process membership.ProcessID, revision membership.Revision) []byte {
		t.Helper()
		message, err := encodeStatement(membership.Statement{
			Process:  process,
			Node:     membership.NodeName(fmt.Sprint("x", process)),
			Revision: revision,
			Addr:     "127.0.0.1:1",
		})
		if err != nil {
			t.Fatal(err)
		}
		return message
	}
	queued := node.queue.NumQueued()
	for revision := range membership.Revision(5) {
		delegate{node}.NotifyMsg(statement(7, revision+1))
		delegate{node}.NotifyMsg(statement(9, revision+1))
	}
	if got := node.queue.NumQueued(); got > queued+2 || got < 2 {
		t.Errorf("%d statements queued, %d before", got, queued)
	}
	if !node.isStored(statement(7, 5)) || node.isStored(statement(7, 4)) || node.isStored(statement(8, 1)) {
		t.Error("isStored does not distinguish stored statements from others")
	}
	node.state.mu.Lock()
	defer node.state.mu.Unlock()
	statements := &node.state.statements
	if len(statements.hashes) != statements.len() {
		t.Errorf("%d hashes of %d statements", len(statements.hashes), statements.len())
	}
}
