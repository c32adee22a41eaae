package replicatedlog

import (
	"errors"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// purge returns a proposal of a purge, with an id derived from its number.
func purge(n int) Proposal {
	p := Proposal{Kind: Purge, Body: fmt.Appendf(nil, "key-%d", n)}
	p.ID[0] = 1
	p.ID[1] = byte(n)
	p.ID[2] = byte(n >> 8)
	return p
}

// config returns a proposal of a configuration, with an id derived from its number.
func config(n int) Proposal {
	p := purge(n)
	p.Kind = Config
	p.Body = fmt.Appendf(nil, "config %d", n)
	return p
}

// encodedPurges returns encoded purge entries with these indexes.
func encodedPurges(t *testing.T, from, upTo Index) []cbor.RawMessage {
	t.Helper()
	var encoded []cbor.RawMessage
	for i := from; i <= upTo; i++ {
		encoded = append(encoded, encodeEntry(Entry{Index: i, Proposal: purge(int(i))}))
	}
	return encoded
}

// recordingHandler records the calls of an Applier.
type recordingHandler struct {
	bodies   []string // of purges and configurations, in order
	indexes  []Index  // of the bodies
	config   string   // in force
	presumed Index
	refuse   string // the configuration to reject; empty for none
}

func (h *recordingHandler) PresumePurged(upTo Index) { h.presumed = upTo }

func (h *recordingHandler) Purge(at Index, key string) { h.record(at, key) }

func (h *recordingHandler) Configure(at Index, text []byte) error {
	h.record(at, string(text))
	if h.refuse != "" && string(text) == h.refuse {
		return errors.New("unusable configuration")
	}
	h.config = string(text)
	return nil
}

func (h *recordingHandler) record(at Index, body string) {
	h.bodies = append(h.bodies, body)
	h.indexes = append(h.indexes, at)
}

func (h *recordingHandler) reset() {
	h.bodies = nil
	h.indexes = nil
}
