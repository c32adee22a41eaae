package node

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/membership/gossip"
)

// follow starts to follow the fleet's log of changes, if the fleet's file names control servers. The event loop never
// waits for it.
func (n *Node) follow() {
	changes := &n.config.fleet.Changes
	if len(changes.Servers) == 0 {
		return
	}
	var process [8]byte
	_, _ = rand.Read(process[:]) // never fails
	seed := keyhash.Salted(keyhash.String(n.config.Name), int(n.config.Seed))
	n.follower.Store(logfollower.Start(logfollower.Config{
		Name:       n.config.Name,
		Process:    binary.LittleEndian.Uint64(process[:]),
		Label:      n.config.fleet.Fleet.Label,
		Servers:    changes.Servers,
		Seed:       uint32(seed),
		StaleAfter: changes.StaleAfter(),
		Applier:    replicatedlog.NewApplier(logTarget{n}),
		Log:        n.log,
		Now:        gossip.BootTime,
	}))
}

// logTarget carries out the entries of the log of changes at a node.
type logTarget struct{ node *Node }

// PresumePurged says that the log begins behind an index, and everything up to there may have been purged.
func (t logTarget) PresumePurged(upTo replicatedlog.Index) {
	log := t.node.log.WithField("up_to", upTo)
	log.Info("the log of changes begins: everything up to there may have been purged")
}

// Purge reports a purge. Nodes do not carry it out at caches: control servers do.
func (t logTarget) Purge(at replicatedlog.Index, key string) {
	if t.node.config.OnPurge != nil {
		t.node.config.OnPurge(uint64(at), key)
	}
}

// Configure takes a published configuration as one that was read again. What is each node's own stays so.
func (t logTarget) Configure(at replicatedlog.Index, text []byte) error {
	log := t.node.log.WithFields(logrus.Fields{"index": at})
	published, err := ParseConfig(text)
	if err != nil {
		log.WithError(err).Error("published configuration not taken, the last one stays")
		return err
	}
	own := t.node.config
	published.Name = own.Name
	published.Listen = own.Listen
	published.Admin = own.Admin
	published.MemoryMB = own.MemoryMB
	published.Sockets = own.Sockets
	log.Info("published configuration taken")
	t.node.Reload(published)
	return nil
}

// FleetStatus is how a node takes part in its fleet, as operators see it.
type FleetStatus struct {
	gossip.Status
	Changes *logfollower.Status `json:"changes,omitempty"` // nil without a log of changes
}

// withChanges adds to a status how the node follows the log of changes.
func (n *Node) withChanges(status any, connected bool) (any, bool) {
	follower := n.follower.Load()
	member, ok := status.(gossip.Status)
	if follower == nil || !ok {
		return status, connected
	}
	changes := follower.Status()
	return FleetStatus{member, &changes}, connected
}
