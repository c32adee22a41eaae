package controlserver

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"dahliapin/internal/control/replicatedlog"
)

const (
	trimInterval   = 10 * time.Second // between two looks at what all nodes have applied
	minTrimEntries = 1024             // entries that are worth an entry of raft's
)

// leaderDuties is called at each tick. At the leader it proposes the id of a new log, and up to where entries need
// not be kept any more.
func (l *raftLoop) leaderDuties() {
	if !l.leadership.Load().isLeader {
		return
	}
	id, floor, _ := l.server.sharedLog.Position()
	if id == 0 {
		l.proposeLogID()
	}
	hold := l.server.File.Bounds.Hold()
	if time.Since(l.lastTrim) < trimInterval {
		return
	}
	if time.Since(l.startedAt) < hold {
		// A node may be cut off since before this process began, and not be known here: its entries would be trimmed.
		return
	}
	l.lastTrim = time.Now()
	upTo, known := l.server.status.appliedByAll(hold)
	if l.server.purger != nil { // what a cache lacks is kept for it, within the log's bounds
		if done, is := l.server.purger.DoneEverywhere(); is {
			upTo = min(upTo, done)
		}
	}
	if known && upTo > floor+minTrimEntries {
		_ = l.node.Propose(replicatedlog.Batch{Trim: upTo}.Encode()) // the next look tries again
	}
}

// proposeLogID gives a new log its random id, by which followers tell it from one that was lost with all disks. The
// first that is committed holds.
func (l *raftLoop) proposeLogID() {
	if time.Since(l.lastNaming) <= proposeInterval {
		return
	}
	l.lastNaming = time.Now()
	var random [8]byte
	_, _ = rand.Read(random[:])                     // never fails
	id := binary.LittleEndian.Uint64(random[:]) | 1 // 0 is for not known
	_ = l.node.Propose(replicatedlog.Batch{Log: replicatedlog.LogID(id)}.Encode())
}
