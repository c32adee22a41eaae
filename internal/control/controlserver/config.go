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

// Storage is where a server keeps raft's part of the log. store.Store is the one of the product; tests have others.
type Storage interface {
	raft.Storage
	// Save returns without an error once everything that it was given is on disk.
	Save(*pb.HardState, []*pb.Entry, *pb.Snapshot) error
	// SizeSinceSnapshot is the number of raft entries up to an index, and of their bytes, since the last snapshot.
	SizeSinceSnapshot(applied uint64) (entries uint64, bytes int)
	// Compact returns without an error once a snapshot is on disk. Entries that it replaces are deleted with it.
	Compact(applied uint64, state []byte) error
	Close() error
}

// Config is what a server is started with.
type Config struct {
	File       *fleetconfig.ControlFile
	FirstStart bool // an empty data folder is accepted, as on the first start
	Log        *logrus.Logger
	Now        func() monotime.Instant // of a clock that runs through suspends
	// OnPersisted is called by the loop with proposals that are on this server's disk now. The invariant checker of
	// tests sets it; nil for nobody.
	OnPersisted func([]replicatedlog.Proposal)
	Storage     Storage              // nil for a store.Store in the file's folder
	Dial        controlwire.DialFunc // to other control servers; nil for TCP
	// OnPurgeProgress is called when purges are done further at a cache. The invariant checker of tests sets it; nil
	// for nobody.
	OnPurgeProgress func(purge.CacheID, purge.Cursor)
}

// logBounds are how much of the log the file says is kept.
func (c *Config) logBounds() replicatedlog.Bounds {
	bounds := replicatedlog.DefaultBounds
	bounds.Entries = c.File.Bounds.Entries
	bounds.Bytes = int(c.File.Bounds.KeptMB * (1 << 20))
	bounds.MinEntries = min(bounds.MinEntries, bounds.Entries/2)
	return bounds
}

// openStorage opens the data folder's store.
func (c *Config) openStorage() (Storage, error) {
	var voters, learners []uint64
	for _, server := range c.File.Machines {
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

// decodePersisted turns a callback for proposals into one for raft's entries.
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
