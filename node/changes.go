package node

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/logfollower"
	changes "dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/membership/gossip"
)

// follow has the node follow the fleet's log of changes, where its charter names control machines. The loop never waits for it.
func (n *Node) follow() {
	c := &n.posting.charter.Changes
	if len(c.At) == 0 {
		return
	}
	var process [8]byte
	_, _ = rand.Read(process[:]) // never fails
	n.follows.Store(logfollower.Start(logfollower.Config{Name: n.posting.Name, Process: binary.LittleEndian.Uint64(process[:]), Label: n.posting.charter.Fleet.Label,
		Servers: c.At, Seed: uint32(keyhash.Salted(keyhash.String(n.posting.Name), int(n.posting.Seed))), StaleAfter: c.Stale(), Applier: changes.NewApplier(byLog{n}), Log: n.log, Now: gossip.BootTime}))
}

// byLog is what the node does by the log of changes.
type byLog struct{ n *Node }

// Presume says that everything up to an index may have been purged: the rule presume-purged.
func (b byLog) PresumePurged(upTo changes.Index) {
	b.n.log.WithField("up_to", upTo).Info("the log of changes begins: everything up to there may have been purged")
}

// Purge hands a purge on. It is not carried out at caches yet.
func (b byLog) Purge(at changes.Index, key string) {
	if b.n.posting.OnPurge != nil {
		b.n.posting.OnPurge(uint64(at), key)
	}
}

// Configure takes a published configuration as one that was read again; what is each node's own stays so.
func (b byLog) Configure(at changes.Index, text []byte) error {
	log := b.n.log.WithFields(logrus.Fields{"index": at})
	p, err := ParseConfig(text)
	if err != nil {
		log.WithError(err).Error("published configuration not taken, the last one stays")
		return err
	}
	own := b.n.posting
	p.Name, p.Listen, p.Admin, p.MemoryMB, p.Sockets = own.Name, own.Listen, own.Admin, own.MemoryMB, own.Sockets
	log.Info("published configuration taken")
	b.n.Reload(p)
	return nil
}

// FleetStatus is how a node stands in its fleet, for operators.
type FleetStatus struct {
	gossip.Status
	Changes *logfollower.Status `json:"changes,omitempty"` // nil where it follows no log of changes
}

// withChanges adds how the node follows.
func (n *Node) withChanges(status any, whole bool) (any, bool) {
	follows := n.follows.Load()
	s, is := status.(gossip.Status)
	if follows == nil || !is {
		return status, whole
	}
	c := follows.Status()
	return FleetStatus{s, &c}, whole
}
