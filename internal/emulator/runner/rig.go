package runner

import (
	"time"

	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// Rig runs the nodes and clients of a scenario, in virtual time or on sockets. Its methods carry out the effects of
// events on connections, nodes and the endpoint list. Nodes and servers are numbered from 0.
type Rig interface {
	ServerRig
	NodeRig
	// Registry returns the model of the capacity of discovery.
	Registry() *world.Registry
	// SetDiscovery takes discovery down or up. While it is down, nodes receive no updates of the endpoint list.
	SetDiscovery(up bool)
	// EndpointChanged publishes a change of the endpoint list.
	EndpointChanged(e policy.Endpoint)
	// ChangeLink changes the faults on the link from one node to another.
	ChangeLink(from, to int, change func(*netfault.Link))
	// At schedules a function call at an instant.
	At(at policy.Instant, do func())
	// LogEvent adds a line to the log of the run.
	LogEvent(now policy.Instant, what string)
}

// FaultObserver is a rig that records which events are in progress.
type FaultObserver interface {
	// EventBegan is called before an event is carried out; the function that it returns is called when the event ends.
	EventBegan(e *scenario.Event) (ended func())
}

// StartTerminator is a rig that can terminate a node while it starts.
type StartTerminator interface {
	// TerminateNextStart sends SIGTERM to the node's next process at a delay after its start, and starts another one
	// afterwards.
	TerminateNextStart(node int, after time.Duration)
}

// ServerRig acts on connections to servers.
type ServerRig interface {
	// ResetConnections resets all connections to a server.
	ResetConnections(server int)
	// SetFault sets the fault on a server's connections; "" for none.
	SetFault(server int, kind string)
}

// NodeRig acts on nodes and on their clients.
type NodeRig interface {
	// EndNode terminates a node: with SIGTERM if orderly, otherwise with SIGKILL.
	EndNode(node int, orderly bool)
	// StartNode starts a node's next process.
	StartNode(node int)
	// UpgradeNode starts a new process of a node, which replaces the old one.
	UpgradeNode(node int)
	// StandbyNode puts a node on standby or makes it active again.
	StandbyNode(node int, standby bool)
	// ScrapeNode reads a node's metrics until an instant and compares them with the counts of its clients.
	ScrapeNode(node int, until policy.Instant)
	// PauseNode stops a node's process (SIGSTOP) or continues it.
	PauseNode(node int, stop bool)
	// HangNode blocks a node's event loop, while the rest of its process runs, or unblocks it.
	HangNode(node int, stop bool)
	// StartDuplicateNode starts a second process under the node's name.
	StartDuplicateNode(node int)
	// OpenIdleClients has clients open idle connections to a node until an instant, and reconnect when the node closes
	// them.
	OpenIdleClients(node, clients int, until policy.Instant)
	// StallClients has clients send only the beginning of a request and stay connected.
	StallClients(node, clients int)
	// ReloadNode makes a node reload its configuration several times in a row.
	ReloadNode(node, times int)
	// FreezeNode stops a node's process for a time so short that the node must still obey all rules.
	FreezeNode(node int, duration time.Duration)
}
