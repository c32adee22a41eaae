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

// startFollower starts to follow the fleet's replicated log if the fleet configuration lists control servers. It never
// blocks the event loop.
func (n *Node) startFollower() {
	changes := &n.config.fleet.Changes
	if len(changes.Servers) == 0 {
		return
	}
	var process [8]byte
	_, _ = rand.Read(process[:]) // rand.Read never fails
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

// logTarget applies entries of the replicated log to a node.
type logTarget struct{ node *Node }

// PresumePurged logs that the replicated log begins after an index, and that any key may have been purged up to that
// index.
func (t logTarget) PresumePurged(upTo replicatedlog.Index) {
	log := t.node.log.WithField("up_to", upTo)
	log.Info("replicated log begins after this index; any key may have been purged up to it")
}

// Purge reports a purge to Config.OnPurge. Control servers carry it out at the caches, nodes do not.
func (t logTarget) Purge(at replicatedlog.Index, key string) {
	if t.node.config.OnPurge != nil {
		t.node.config.OnPurge(uint64(at), key)
	}
}

// Configure applies a published configuration as Reload does. The node's own configuration supplies the values that are
// specific to each node.
func (t logTarget) Configure(at replicatedlog.Index, text []byte) error {
	log := t.node.log.WithFields(logrus.Fields{"index": at})
	published, err := ParseConfig(text)
	if err != nil {
		log.WithError(err).Error("published configuration is invalid; keeping the current one")
		return err
	}
	own := t.node.config
	published.Name = own.Name
	published.Listen = own.Listen
	published.Admin = own.Admin
	published.MemoryMB = own.MemoryMB
	published.Sockets = own.Sockets
	log.Info("published configuration received; reloading")
	t.node.Reload(published)
	return nil
}

// FleetStatus is the state of a node within its fleet, as shown to operators.
type FleetStatus struct {
	gossip.Status
	Changes *logfollower.Status `json:"changes,omitempty"` // nil if no replicated log is followed
}

// withFollowerStatus adds the state of the log follower to a status.
func (n *Node) withFollowerStatus(status any, connected bool) (any, bool) {
	follower := n.follower.Load()
	member, ok := status.(gossip.Status)
	if follower == nil || !ok {
		return status, connected
	}
	changes := follower.Status()
	return FleetStatus{member, &changes}, connected
}
