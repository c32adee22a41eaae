package controlserver

import (
	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/control/replicatedlog/store"
	"dahliapin/internal/monotime"
)

// Storage stores raft's state and log. Production code uses store.Store; tests have other implementations.
type Storage interface {
	raft.Storage
	// Save makes everything that it is given durable before it returns without an error, except a change of the commit
	// index alone, which the leader sends again after a restart.
	Save(*pb.HardState, []*pb.Entry, *pb.Snapshot) error
	// SizeSinceSnapshot returns the number of entries after the last snapshot up to a raft index, and the size in bytes
	// of all entries saved since that snapshot, which does not depend on the index.
	SizeSinceSnapshot(applied uint64) (entries uint64, bytes int)
	// Compact saves a snapshot and deletes the entries that it replaces. It returns without an error once the
	// snapshot is on disk.
	Compact(applied uint64, state []byte) error
	Close() error
}

// Config configures a Server.
type Config struct {
	File       *fleetconfig.ControlFile
	FirstStart bool // accepts an empty data directory, for the first start
	Log        *logrus.Logger
	Now        func() monotime.Instant // of a clock that also runs while the machine is suspended
	// OnPersisted, if not nil, is called by the loop with proposals that are on this server's disk. Tests set it for
	// their invariant checker.
	OnPersisted func([]replicatedlog.Proposal)
	Storage     Storage              // nil for a store.Store in the file's data directory
	Dial        controlwire.DialFunc // to other control servers; nil for TCP
	// OnPurgeProgress, if not nil, is called when the cursor of purges at a cache changes, and at the start once for
	// each cursor loaded from disk. Tests set it for their invariant checker.
	OnPurgeProgress func(purge.CacheID, purge.Cursor)
}

// logBounds returns the limits on the retained log that the file configures.
func (c *Config) logBounds() replicatedlog.Bounds {
	bounds := replicatedlog.DefaultBounds
	bounds.Entries = c.File.Bounds.Entries
	bounds.Bytes = int(c.File.Bounds.KeptMB * (1 << 20))
	bounds.MinEntries = min(bounds.MinEntries, bounds.Entries/2)
	return bounds
}

// openStorage opens the store in the data directory.
func (c *Config) openStorage() (Storage, error) {
	var voters, learners []uint64
	for _, server := range c.File.Servers {
		if server.Learner {
			learners = append(learners, server.ID)
		} else {
			voters = append(voters, server.ID)
		}
	}
	self := c.File.Self()
	owner := store.Owner{ID: self.ID, Label: c.File.Control.Label}
	s, err := store.Open(c.File.Control.Data, owner, voters, learners, c.FirstStart || self.Learner)
	if err != nil {
		return nil, err
	}
	if c.OnPersisted != nil {
		s.OnPersisted = decodePersisted(c.OnPersisted)
	}
	return s, nil
}

// decodePersisted converts a callback for proposals to one for raft entries.
func decodePersisted(onPersisted func([]replicatedlog.Proposal)) func([]*pb.Entry) {
	return func(entries []*pb.Entry) {
		for _, entry := range entries {
			batch, err := replicatedlog.DecodeBatch(entry.GetData())
			if err == nil && len(batch.Proposals) > 0 {
				onPersisted(batch.Proposals)
			}
		}
	}
}
