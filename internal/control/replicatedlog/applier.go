package replicatedlog

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrGap says that an entry or starting point does not follow what was applied.
var ErrGap = errors.New("a gap in the log of changes")

// Handler is what a node does with the log. Calls come one at a time, in the log's order.
type Handler interface {
	// PresumePurged says that everything up to an index may have been purged, and that the keys are not known.
	PresumePurged(upTo Index)
	// Purge says that caches are no longer to serve a key.
	Purge(at Index, key string)
	// Configure takes a configuration. With an error the one before it stays in force, and the refusal is reported.
	Configure(at Index, text []byte) error
}

// Progress is how far a node has applied a log.
type Progress struct {
	Started        bool
	Log            LogID // the log that it started with
	Applied        Index
	Config         Index  // the configuration in force; 0 for the node's own
	Refused        Index  // the latest configuration that could not be taken; 0 for none since the one in force
	Reason         string // why not
	PresumedPurged Index  // everything up to here may have been purged
	Purges         uint64 // applied
	Unknown        uint64 // entries of kinds that this version does not know
	Gaps           uint64 // times that entries did not follow what was applied
}

// Applier applies entries in order and each once. It belongs to one goroutine.
type Applier struct {
	handler Handler
	Progress
}

// NewApplier returns an Applier that has applied nothing. Start has to be called before Apply.
func NewApplier(handler Handler) *Applier { return &Applier{handler: handler} }

// CurrentProgress returns how far it has come.
func (a *Applier) CurrentProgress() Progress { return a.Progress }

// Start starts at an index of a log, with the encoded configuration that is in force there; empty for none. A
// starting point of the same log that is no further than what was applied is refused with ErrGap: the node would take
// an older configuration for a newer one.
func (a *Applier) Start(log LogID, at Index, config cbor.RawMessage) error {
	otherLog := a.Started && log != a.Log
	if a.Started && !otherLog && at <= a.Applied {
		return fmt.Errorf("%w: to begin at %d, after %d was applied", ErrGap, at, a.Applied)
	}
	if otherLog { // the configuration stays in force, but its index means nothing in this log
		a.Config = 0
		a.Refused = 0
		a.Reason = ""
	}
	if len(config) > 0 {
		if err := a.startConfig(at, config); err != nil {
			return err
		}
	}
	a.Started = true
	a.Log = log
	a.Applied = at
	a.PresumedPurged = at
	a.handler.PresumePurged(at)
	return nil
}

// startConfig takes the configuration of a starting point, unless it was applied or refused before.
func (a *Applier) startConfig(at Index, config cbor.RawMessage) error {
	e, err := DecodeEntry(config)
	if err != nil {
		return err
	}
	if e.Kind != Config || e.Index > at {
		return fmt.Errorf("%w: to begin at %d with a %v of %d", ErrMalformed, at, e.Kind, e.Index)
	}
	if e.Index > max(a.Config, a.Refused) {
		a.configure(e)
	}
	return nil
}

// Apply applies encoded entries. Those that were applied before are skipped, as after a change of the control server.
// At a gap it stops with ErrGap, and what was applied up to there stays.
func (a *Applier) Apply(encoded []cbor.RawMessage) error {
	for _, one := range encoded {
		e, err := DecodeEntry(one)
		if err != nil {
			return err
		}
		if e.Index <= a.Applied {
			continue
		}
		if !a.Started || e.Index != a.Applied+1 {
			a.Gaps++
			return fmt.Errorf("%w: %d after %d", ErrGap, e.Index, a.Applied)
		}
		switch e.Kind {
		case Purge:
			a.Purges++
			a.handler.Purge(e.Index, string(e.Body))
		case Config:
			a.configure(e)
		default:
			a.Unknown++
		}
		a.Applied = e.Index
	}
	return nil
}

func (a *Applier) configure(e Entry) {
	if err := a.handler.Configure(e.Index, e.Body); err != nil {
		a.Refused = e.Index
		a.Reason = err.Error()
		return
	}
	a.Config = e.Index
	a.Refused = 0
	a.Reason = ""
}
