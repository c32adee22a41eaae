package membership

import (
	"fmt"
	"testing"
	"time"
)

// Views must list processes by node and process, whatever the order in which these became known.
func TestViewListsMembersInOrder(t *testing.T) {
	config := NewConfig(Timings{
		MaxPause:          2 * time.Second,
		HeartbeatInterval: 300 * time.Millisecond,
		RejoinDelay:       2 * time.Second,
		LoopTimeout:       time.Second,
		ForgetAfter:       time.Minute,
	}, 100)
	d := New(config, 50, "m", "127.0.0.1:1", nil)
	for i, node := range []NodeName{"z", "a", "q", "a"} {
		d.Merge(Statement{Process: ProcessID(100 - i), Node: node, Revision: 1, Addr: fmt.Sprintf("127.0.0.1:%d", 2+i)})
	}
	d.LoopAdvanced(1)
	d.Tick(1)
	text := ""
	for _, m := range d.View().Members {
		text += fmt.Sprintf("%s%d ", m.Node, m.Process)
	}
	if text != "a97 a99 m50 q98 z100 " {
		t.Error(text)
	}
}
