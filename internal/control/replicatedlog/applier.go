package replicatedlog

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrGap reports that an entry or a starting point does not follow the last applied entry.
var ErrGap = errors.New("gap in the replicated log")

// Handler receives the entries of the log at a node. Its methods are called one at a time, in log order.
type Handler interface {
	// PresumePurged reports that any key may have been purged up to an index, because the purged keys are not known.
	PresumePurged(upTo Index)
	// Purge reports that caches must no longer serve a key.
	Purge(at Index, key string)
	// Configure applies a configuration. If it returns an error, the previous configuration stays in force and the
	// error is reported.
	Configure(at Index, text []byte) error
}

// Progress describes how far a node has applied a log.
type Progress struct {
	Started        bool
	Log            LogID // the log that the node started with
	Applied        Index
	Config         Index  // the configuration in force; 0 for the node's own, or one of an earlier log
	Refused        Index  // the latest refused configuration; 0 if none was refused since the one in force
	Reason         string // why it was refused
	PresumedPurged Index  // any key may have been purged up to this index
	Purges         uint64 // purges applied
	Unknown        uint64 // entries skipped because this version does not know their kind
	Gaps           uint64 // how often entries did not follow the last applied one
}

// Applier applies entries in order, each exactly once. It must be used by a single goroutine.
type Applier struct {
	handler Handler
	Progress
}

// NewApplier returns an Applier that has applied nothing. Start must be called before Apply.
func NewApplier(handler Handler) *Applier { return &Applier{handler: handler} }

// CurrentProgress returns a copy of the applier's progress.
func (a *Applier) CurrentProgress() Progress { return a.Progress }

// Start starts after an index of a log, with the encoded configuration in force at that index; empty for none. A
// starting point in the same log that is not beyond the last applied entry is rejected with ErrGap, because entries
// after it would be applied a second time.
func (a *Applier) Start(log LogID, at Index, config cbor.RawMessage) error {
	otherLog := a.Started && log != a.Log
	if a.Started && !otherLog && at <= a.Applied {
		return fmt.Errorf("%w: starting point %d is not beyond applied entry %d", ErrGap, at, a.Applied)
	}
	if otherLog { // the configuration stays in force, but its index has no meaning in the new log
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

// startConfig applies the configuration of a starting point, unless it was already applied or rejected.
func (a *Applier) startConfig(at Index, config cbor.RawMessage) error {
	e, err := DecodeEntry(config)
	if err != nil {
		return err
	}
	if e.Kind != Config || e.Index > at {
		return fmt.Errorf("%w: starting point %d comes with a %v entry of index %d", ErrMalformed, at, e.Kind, e.Index)
	}
	if e.Index > max(a.Config, a.Refused) {
		a.configure(e)
	}
	return nil
}

// Apply applies encoded entries. Entries that were already applied are skipped; they occur after the node switches to
// another control server. At a gap it returns ErrGap, and the entries before the gap stay applied.
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
			return fmt.Errorf("%w: entry %d after entry %d", ErrGap, e.Index, a.Applied)
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
