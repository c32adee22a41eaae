package logfollower

import (
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// Status is how a node follows the replicated log, for operators. It is flat, as they get it in JSON.
type Status struct {
	Applied        replicatedlog.Index `json:"applied"`
	LastKnown      replicatedlog.Index `json:"head"`   // the newest entry that a server was known to have
	Config         replicatedlog.Index `json:"config"` // of the configuration in force; 0 for the node's own
	Refused        replicatedlog.Index `json:"refused,omitempty"`
	Reason         string              `json:"reason,omitempty"`   // why that configuration was refused
	PresumedPurged replicatedlog.Index `json:"presumed,omitempty"` // everything up to here may have been purged
	Purges         uint64              `json:"purges"`             // applied
	Unknown        uint64              `json:"unknown,omitempty"`  // entries of kinds that this version does not know
	Gaps           uint64              `json:"gaps"`               // times that entries did not follow what was applied
	StreamsOpened  uint64              `json:"moves"`              // streams opened
	Server         string              `json:"via"`                // the control server's address; empty between two
	SinceLeaderS   float64             `json:"heard_s"`            // seconds since a server that has a leader was heard
	Stale          bool                `json:"stale"`              // SinceLeaderS is over Config.StaleAfter
	BytesIn        uint64              `json:"bytes_in"`
	BytesOut       uint64              `json:"bytes_out"`
}

// Status returns how the node follows. It may be called from anywhere.
func (f *Follower) Status() Status {
	progress := f.progress.Load()
	silence := time.Duration(f.Now() - monotime.Instant(f.leaderSeenAt.Load()))
	return Status{
		Applied:        progress.Applied,
		LastKnown:      replicatedlog.Index(f.lastIndex.Load()),
		Config:         progress.Config,
		Refused:        progress.Refused,
		Reason:         progress.Reason,
		PresumedPurged: progress.PresumedPurged,
		Purges:         progress.Purges,
		Unknown:        progress.Unknown,
		Gaps:           progress.Gaps,
		StreamsOpened:  f.moves.Load(),
		Server:         *f.server.Load(),
		SinceLeaderS:   silence.Seconds(),
		Stale:          silence > f.StaleAfter,
		BytesIn:        f.bytesIn.Load(),
		BytesOut:       f.bytesOut.Load(),
	}
}

// logStaleness logs once that the log has become stale, and once that it is no longer. It is run's.
func (f *Follower) logStaleness() {
	status := f.Status()
	if status.Stale == f.loggedStale {
		return
	}
	f.loggedStale = status.Stale
	f.Log.WithFields(logrus.Fields{
		"stale":   status.Stale,
		"heard_s": status.SinceLeaderS,
		"applied": status.Applied,
		"config":  status.Config,
	}).Warn("the log of changes")
}
