package controlserver

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"dahliapin/internal/control/replicatedlog"
)

const (
	trimInterval   = 10 * time.Second // between two checks of what all nodes have applied
	minTrimEntries = 1024             // trimming fewer entries is not worth a raft entry
)

// leaderDuties is called at each tick. At the leader it proposes an id for a new log, and the index up to which entries
// need no longer be retained.
func (l *raftLoop) leaderDuties() {
	if !l.leadership.Load().isLeader {
		return
	}
	id, floor, _ := l.server.sharedLog.Position()
	if id == 0 {
		l.proposeLogID()
	}
	retention := l.server.File.Bounds.Retention()
	if time.Since(l.lastTrim) < trimInterval {
		return
	}
	if time.Since(l.startedAt) < retention {
		// A node that has been unreachable since before this process started is not known here; its entries must not
		// be trimmed.
		return
	}
	l.lastTrim = time.Now()
	upTo, known := l.server.status.appliedByAll(retention)
	if l.server.purger != nil { // retains what a listed cache with a cursor in this log lacks, within the log's bounds
		if done, ok := l.server.purger.DoneEverywhere(); ok {
			upTo = min(upTo, done)
		}
	}
	if known && upTo > floor+minTrimEntries {
		_ = l.node.Propose(replicatedlog.Batch{Trim: upTo}.Encode()) // retried at the next check
	}
}

// proposeLogID proposes a random id for a new log, by which followers distinguish it from a log that was lost with all
// disks. The first id that is committed is final.
func (l *raftLoop) proposeLogID() {
	if time.Since(l.lastLogIDProposal) <= proposeInterval {
		return
	}
	l.lastLogIDProposal = time.Now()
	var random [8]byte
	_, _ = rand.Read(random[:])                     // never fails
	id := binary.LittleEndian.Uint64(random[:]) | 1 // 0 stands for unknown
	_ = l.node.Propose(replicatedlog.Batch{Log: replicatedlog.LogID(id)}.Encode())
}
