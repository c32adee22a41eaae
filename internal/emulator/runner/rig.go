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
	// Registry is the model of the capacity of discovery.
	Registry() *world.Registry
	// SetDiscovery takes discovery down or up. While it is down nodes receive no update of the endpoint list.
	SetDiscovery(up bool)
	// EndpointChanged publishes a change of the endpoint list.
	EndpointChanged(e policy.Endpoint)
	// ChangeLink changes what goes wrong from one node to another.
	ChangeLink(from, to int, change func(*netfault.Link))
	// At calls a function at an instant.
	At(at policy.Instant, do func())
	// LogEvent adds a line to the log of the run.
	LogEvent(now policy.Instant, what string)
}

// FaultObserver is a rig that observes which events are in progress.
type FaultObserver interface {
	// EventBegan is called before an event is carried out; the function that it returns is called at the event's end.
	EventBegan(e *scenario.Event) (ended func())
}

// StartTerminator is a rig that can tell a node to end while it starts.
type StartTerminator interface {
	// TerminateNextStart has the node's next process told to end at a delay after its start; another one follows.
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
	// UpgradeNode replaces a node's process by a new one.
	UpgradeNode(node int)
	// StandbyNode puts a node on standby, or ends that.
	StandbyNode(node int, standby bool)
	// ScrapeNode reads a node's metrics until an instant and compares them with what its clients saw.
	ScrapeNode(node int, until policy.Instant)
	// PauseNode stops a node's process (SIGSTOP), or lets it continue.
	PauseNode(node int, stop bool)
	// HangNode blocks a node's event loop while the rest of its process runs, or lets it continue.
	HangNode(node int, stop bool)
	// StartDuplicateNode starts another process with the node's name.
	StartDuplicateNode(node int)
	// OpenIdleClients opens idle client connections to a node until an instant, and opens them again when they are closed.
	OpenIdleClients(node, clients int, until policy.Instant)
	// StallClients has clients stop in the middle of a request, and stay connected.
	StallClients(node, clients int)
	// ReloadNode tells a node several times in a row to reload its configuration.
	ReloadNode(node, times int)
	// FreezeNode stops a node's process for a moment that the rules allow for.
	FreezeNode(node int, duration time.Duration)
}
