package scenario

import (
	"slices"

	"dahliapin/internal/emulator/coverage"
)

// Events that are operator calls, or affect processes and their clients. They exist in real time on sockets only.
const (
	upgrade       = "node_upgrade"
	standby       = "node_standby"
	scrape        = "node_scrape"
	pause         = "node_pause"
	hang          = "node_hang"
	duplicateNode = "node_twin"   // a second process starts with the configuration of the node
	idleClients   = "node_crowd"  // idle clients use up the node's file descriptors
	stall         = "node_stall"  // clients stop in the middle of a request and keep the connection open
	reload        = "node_reload" // the node reloads its configuration several times in a row
	freeze        = "node_freeze" // the process is paused so briefly that all rules must still hold

	termStart = "node_term_start" // the node is restarted, and its new process receives SIGTERM during the start
)

// The faults between nodes.
const (
	cut       = "between_cut"
	loss      = "between_loss"
	duplicate = "between_twice"
	delay     = "between_late"
)

// maxFreezeS is the longest pause of a process, in seconds, during which all rules must still hold.
const maxFreezeS = 0.15

// eventFields lists the fields of a kind of event. Other fields must not be set.
type eventFields struct {
	caches   bool // names of caches, a part of all caches or a zone
	nodes    bool // numbers of nodes or a part of all nodes
	pairs    bool // sending and receiving nodes
	factor   bool
	share    bool
	count    bool
	delay    bool
	duration bool
}

// fieldsByAction maps the name of each kind of event to its fields.
var fieldsByAction = map[string]eventFields{
	"slow":    {caches: true, factor: true, duration: true},
	"crowd":   {caches: true, share: true, duration: true},
	"pause":   {caches: true, duration: true},
	"kill":    {caches: true},
	"silent":  {caches: true},
	"restart": {caches: true},
	"drain":   {caches: true},
	"fault":   {caches: true, duration: true},
	"errors":  {caches: true, share: true, duration: true},
	"add":     {},
	"shrink":  {},

	"hot":            {share: true, duration: true},
	"burst":          {factor: true, duration: true},
	"origin_slow":    {factor: true, duration: true},
	"discovery_down": {duration: true},
	"discovery_slow": {factor: true, duration: true},

	"node_restart": {nodes: true},
	"node_kill":    {nodes: true},
	upgrade:        {nodes: true},
	standby:        {nodes: true, duration: true},
	scrape:         {nodes: true, duration: true},
	pause:          {nodes: true, duration: true},
	hang:           {nodes: true, duration: true},
	duplicateNode:  {nodes: true},
	idleClients:    {nodes: true, count: true, duration: true},
	stall:          {nodes: true, count: true},
	reload:         {nodes: true, count: true},
	freeze:         {nodes: true, duration: true},
	termStart:      {nodes: true, delay: true},

	cut:       {pairs: true, duration: true},
	loss:      {pairs: true, share: true, duration: true},
	duplicate: {pairs: true, share: true, duration: true},
	delay:     {pairs: true, delay: true, duration: true},
}

// faults are the failure modes of a server's connections.
var faults = []string{"refuse", "reset", "silent", "half", "garbage", stale}

// stale is the fault of an HTTP cache that serves responses which are no longer fresh.
const stale = "stale"

// HasOperatorCalls reports whether the scenario contains operator calls to nodes.
func (s *Scenario) HasOperatorCalls() bool {
	return slices.ContainsFunc(s.Events, func(e Event) bool {
		return e.Do == upgrade || e.Do == standby || e.Do == scrape
	})
}

// NeedsVirtualTime reports whether the scenario uses features that exist in virtual time only.
func (s *Scenario) NeedsVirtualTime() bool {
	return s.Traffic.Skew > 0 || s.Network.LateShare > 0 || s.Network.LostShare > 0
}

// NeedsSockets reports whether the scenario has faults of processes or links. They do not exist in virtual time, where
// the scenario would pass whatever the nodes do.
func (s *Scenario) NeedsSockets() bool {
	return s.HasOperatorCalls() || s.Membership != nil || s.Traffic.UntilKill ||
		slices.ContainsFunc(s.Events, func(e Event) bool {
			return e.Do == pause || e.Do == hang || e.Do == duplicateNode || e.Do == idleClients ||
				e.Do == stall || e.Do == reload || e.Do == freeze || e.Do == termStart
		})
}

// FaultName returns the name under which package coverage counts an event.
func (e *Event) FaultName() coverage.Fault {
	if e.Fault != "" {
		return coverage.Fault(e.Do + ":" + e.Fault)
	}
	return coverage.Fault(e.Do)
}

// ConcernedNodes returns the numbers, from 0, of the nodes that an event affects, or nil for all nodes.
func (s *Scenario) ConcernedNodes(e *Event) []int {
	if !fieldsByAction[e.Do].nodes {
		return nil
	}
	var nodes []int
	for _, number := range s.SelectedNodes(e) {
		nodes = append(nodes, number-1)
	}
	return nodes
}
