package gossip

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"dahliapin/internal/membership/trace"
)

// maxStateBytes limits the size of the full state received in one exchange.
const maxStateBytes = 20 << 20

// delegate implements the library's callbacks that spread and exchange statements.
type delegate struct{ node *Node }

// NodeMeta implements memberlist.Delegate.
func (delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg implements memberlist.Delegate: it handles a statement that has arrived.
func (d delegate) NotifyMsg(message []byte) {
	d.node.transport.counters.flows[flowStatements].addIn(len(message))
	d.node.mergeStatement(message)
}

// GetBroadcasts implements memberlist.Delegate.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	messages := d.node.queue.GetBroadcasts(overhead, limit)
	for _, message := range messages {
		d.node.transport.counters.flows[flowStatements].addOut(len(message))
	}
	return messages
}

// LocalState implements memberlist.Delegate: it returns all statements that this node has.
func (d delegate) LocalState(bool) []byte {
	d.node.state.mu.Lock()
	defer d.node.state.mu.Unlock()
	state, err := encodeState(d.node.state.statements.all())
	if err != nil {
		return nil
	}
	return state
}

// MergeRemoteState implements memberlist.Delegate: it handles all statements that another node has.
func (d delegate) MergeRemoteState(state []byte, _ bool) {
	statements, err := decodeRemoteState(state)
	if err != nil {
		d.node.unreadable.Add(1)
		return
	}
	for _, message := range statements {
		d.node.mergeStatement(message)
	}
	d.node.state.mu.Lock()
	defer d.node.state.mu.Unlock()
	d.node.state.detector.SyncCompleted()
}

func decodeRemoteState(state []byte) ([]cbor.RawMessage, error) {
	if len(state) > maxStateBytes {
		return nil, errInvalidMessage
	}
	return decodeState(state)
}

// events receives changes of the library's list of members, which are only traced.
type events struct{ node *Node }

// NotifyJoin implements memberlist.EventDelegate.
func (e events) NotifyJoin(member *memberlist.Node) { e.node.traceLibrary(member.Name, true) }

// NotifyLeave implements memberlist.EventDelegate.
func (e events) NotifyLeave(member *memberlist.Node) { e.node.traceLibrary(member.Name, false) }

// NotifyUpdate implements memberlist.EventDelegate.
func (events) NotifyUpdate(*memberlist.Node) {}

// traceLibrary traces that a member joined or left the library's list.
func (n *Node) traceLibrary(name string, joined bool) {
	if n.tracer == nil {
		return
	}
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	members := slices.DeleteFunc(n.state.libraryMembers, func(m string) bool { return m == name })
	if joined {
		members = append(members, name)
	}
	n.state.libraryMembers = members
	line := trace.Line{Kind: trace.Library, ChangedNode: nodeNameOf(name), Joined: joined}
	for _, member := range members {
		line.Members = append(line.Members, nodeNameOf(member))
	}
	slices.Sort(line.Members)
	line.Members = slices.Compact(line.Members)
	n.writeTrace(line)
}

// nodeNameOf returns the node's name within the name of a library member.
func nodeNameOf(libraryName string) string {
	node, _, _ := strings.Cut(libraryName, processSeparator)
	return node
}
