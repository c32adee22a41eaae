package replicatedlog

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrGap says that what came does not follow what was applied.
var ErrGap = errors.New("a gap in the log of changes")

// Handler is what a node does by the log. Calls come one at a time, in the log's order.
type Handler interface {
	// Presume carries out the rule presume-purged: everything up to an index may have been purged, and which keys is not known.
	PresumePurged(upTo Index)
	// Purge has caches no longer serve a key.
	Purge(at Index, key string)
	// Configure takes a configuration. With an error it is refused: what runs stays, and the refusal is told.
	Configure(at Index, text []byte) error
}

// Progress is up to where a node has come.
type Progress struct {
	Started        bool
	Log            LogID // that it begun with
	Applied        Index
	Config         Index // of the configuration in force, 0 for the node's own
	Refused        Index // of the latest configuration that could not be taken, 0 for none since the one in force
	Reason         string
	PresumedPurged Index // everything up to here may have been purged
	Purges         uint64
	Unknown        uint64 // entries of kinds that this node does not know
	Gaps           uint64 // times that what came did not follow
}

// Applier applies entries in order, and none twice. It is one goroutine's.
type Applier struct {
	to Handler
	Progress
}

// NewApplier has applied nothing.
func NewApplier(to Handler) *Applier { return &Applier{to: to} }

// CurrentProgress is how it stands.
func (r *Applier) CurrentProgress() Progress { return r.Progress }

// Start starts at an index of a log with the configuration in force there, encoded; empty for none. One of the same log that is no
// further than what was applied is refused: it would take older for newer.
func (r *Applier) Start(log LogID, at Index, config cbor.RawMessage) error {
	another := r.Started && log != r.Log
	if r.Started && !another && at <= r.Applied {
		return fmt.Errorf("%w: to begin at %d, after %d was applied", ErrGap, at, r.Applied)
	}
	if another { // what was in force by it stays, and has no index here
		r.Config, r.Refused, r.Reason = 0, 0, ""
	}
	if len(config) > 0 {
		e, err := DecodeEntry(config)
		switch {
		case err != nil:
			return err
		case e.Kind != Config || e.Index > at:
			return fmt.Errorf("%w: to begin at %d with a %v of %d", ErrWire, at, e.Kind, e.Index)
		case e.Index > max(r.Config, r.Refused):
			r.configure(e)
		}
	}
	r.Started, r.Log, r.Applied, r.PresumedPurged = true, log, at, at
	r.to.PresumePurged(at)
	return nil
}

// Apply applies entries that follow one another and what was applied. Those that were applied before are passed over; at a gap it stops.
func (r *Applier) Apply(raw []cbor.RawMessage) error {
	for _, b := range raw {
		e, err := DecodeEntry(b)
		if err != nil {
			return err
		}
		if e.Index <= r.Applied {
			continue
		}
		if !r.Started || e.Index != r.Applied+1 {
			r.Gaps++
			return fmt.Errorf("%w: %d after %d", ErrGap, e.Index, r.Applied)
		}
		switch e.Kind {
		case Purge:
			r.Purges++
			r.to.Purge(e.Index, string(e.Body))
		case Config:
			r.configure(e)
		default:
			r.Unknown++
		}
		r.Applied = e.Index
	}
	return nil
}

func (r *Applier) configure(e Entry) {
	if err := r.to.Configure(e.Index, e.Body); err != nil {
		r.Refused, r.Reason = e.Index, err.Error()
		return
	}
	r.Config, r.Refused, r.Reason = e.Index, 0, ""
}
