package runner

import (
	"time"

	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// Rig is the shell of a run: it knows what an event means to connections, nodes and the endpoint list. Nodes and servers
// are numbered from 0.
type Rig interface {
	ServerRig
	NodeRig
	// Registry is what discovery can bear.
	Registry() *world.Registry
	// SetDiscovery says whether the list is told to nodes.
	SetDiscovery(up bool)
	// EndpointChanged says that the endpoint list has changed.
	EndpointChanged(e policy.Endpoint)
	// ChangeLink changes what goes wrong between two nodes, in one direction.
	ChangeLink(from, to int, change func(*netfault.Link))
	// At calls a function at an instant.
	At(at policy.Instant, do func())
	// LogEvent adds a line to the log of the run.
	LogEvent(now policy.Instant, what string)
}

// FaultObserver is a rig that follows which events are under way.
type FaultObserver interface {
	// EventBegan is told of an event before anything is done for it; what it returns is called at the event's end.
	EventBegan(e *scenario.Event) (ended func())
}

// StartTerminator is a rig that can tell a node to end while it starts.
type StartTerminator interface {
	// TerminateNextStart has the node's next process told to end so long after it was started; another one follows.
	TerminateNextStart(node int, after time.Duration)
}

// ServerRig acts on connections to servers.
type ServerRig interface {
	// ResetConnections resets all connections to a server.
	ResetConnections(server int)
	// SetFault sets what goes wrong on a server's connections; "" for nothing.
	SetFault(server int, kind string)
}

// NodeRig acts on nodes.
type NodeRig interface {
	// EndNode tells a node to end (SIGTERM), or kills it.
	EndNode(node int, orderly bool)
	// StartNode starts a node's next process.
	StartNode(node int)
	// UpgradeNode has another process take the node's place.
	UpgradeNode(node int)
	// StandbyNode puts a node on standby, or ends that.
	StandbyNode(node int, standby bool)
	// ScrapeNode reads a node's metrics until an instant and compares them with what its clients saw.
	ScrapeNode(node int, until policy.Instant)
	// PauseNode stops a node's process (SIGSTOP), or lets it go on.
	PauseNode(node int, stop bool)
	// HangNode blocks a node's event loop while the rest of its process runs, or lets it go on.
	HangNode(node int, stop bool)
	// StartDuplicateNode starts another process with the node's name.
	StartDuplicateNode(node int)
	// CrowdNode has clients connect, stay silent, and come back when they are closed.
	CrowdNode(node, clients int, until policy.Instant)
	// StallClients has clients stop in the middle of a request, and stay connected.
	StallClients(node, clients int)
	// ReloadNode tells a node several times in a row to read its configuration again.
	ReloadNode(node, times int)
	// FreezeNode stops a node's process for a moment that the rules allow for.
	FreezeNode(node int, duration time.Duration)
}
