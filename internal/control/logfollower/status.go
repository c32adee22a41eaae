package logfollower

import (
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// Status is the state of a Follower. The struct is flat because it is one flat object in the JSON that operators get.
type Status struct {
	Applied        replicatedlog.Index `json:"applied"`
	LastKnown      replicatedlog.Index `json:"head"`   // index of the newest entry that a server reported
	Config         replicatedlog.Index `json:"config"` // of the configuration in force; 0 for the node's own
	Refused        replicatedlog.Index `json:"refused,omitempty"`
	Reason         string              `json:"reason,omitempty"`   // why that configuration was refused
	PresumedPurged replicatedlog.Index `json:"presumed,omitempty"` // everything up to here may have been purged
	Purges         uint64              `json:"purges"`             // applied
	Unknown        uint64              `json:"unknown,omitempty"`  // entries of kinds that this version does not know
	Gaps           uint64              `json:"gaps"`               // times that entries did not follow the applied ones
	StreamsOpened  uint64              `json:"moves"`              // streams opened
	Server         string              `json:"via"`                // control server's address; empty if not connected
	SinceLeaderS   float64             `json:"heard_s"`            // seconds since a message of a server with a leader
	Stale          bool                `json:"stale"`              // SinceLeaderS is over Config.StaleAfter
	BytesIn        uint64              `json:"bytes_in"`
	BytesOut       uint64              `json:"bytes_out"`
}

// Status returns the current state. It may be called from any goroutine.
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
		StreamsOpened:  f.streamsOpened.Load(),
		Server:         *f.server.Load(),
		SinceLeaderS:   silence.Seconds(),
		Stale:          silence > f.StaleAfter,
		BytesIn:        f.bytesIn.Load(),
		BytesOut:       f.bytesOut.Load(),
	}
}

// logStaleness logs when the log becomes stale, and when it is current again. Only run and its callees may call it.
func (f *Follower) logStaleness() {
	status := f.Status()
	if status.Stale == f.loggedStale {
		return
	}
	f.loggedStale = status.Stale
	fields := logrus.Fields{
		"stale":   status.Stale,
		"heard_s": status.SinceLeaderS,
		"applied": status.Applied,
		"config":  status.Config,
	}
	if status.Stale {
		f.Log.WithFields(fields).Warn("replicated log became stale; keeping the last configuration in force")
		return
	}
	f.Log.WithFields(fields).Info("replicated log is current again; applying new entries")
}
