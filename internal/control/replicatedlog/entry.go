package replicatedlog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// entryOverheadBytes bounds the size of an encoded proposal without its body.
const entryOverheadBytes = 40

// Entry is a proposal with its index in the log.
type Entry struct {
	Index Index
	Proposal
}

// encodedProposal is the encoded form of a proposal, sent and stored.
type encodedProposal struct {
	ID   []byte `cbor:"2,keyasint"`
	Kind uint8  `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// encodedEntry is the encoded form of an entry, sent and stored.
type encodedEntry struct {
	Index uint64 `cbor:"1,keyasint"`
	encodedProposal
}

func (p Proposal) encodable() encodedProposal {
	return encodedProposal{ID: p.ID[:], Kind: uint8(p.Kind), Body: p.Body}
}

func (e encodedProposal) proposal() (Proposal, error) {
	var p Proposal
	if len(e.ID) != len(p.ID) {
		return p, fmt.Errorf("%w: proposal id of %d bytes, want %d", ErrMalformed, len(e.ID), len(p.ID))
	}
	copy(p.ID[:], e.ID)
	p.Kind = Kind(e.Kind)
	p.Body = e.Body
	return p, nil
}

func encodeEntry(e Entry) cbor.RawMessage {
	return encode(encodedEntry{Index: uint64(e.Index), encodedProposal: e.encodable()})
}

// DecodeEntry decodes an entry, or returns an error that wraps ErrMalformed. It accepts kinds that this version does
// not know; the caller must skip them.
func DecodeEntry(encoded []byte) (Entry, error) {
	var decoded encodedEntry
	if len(encoded) > MaxConfigBytes+2*entryOverheadBytes {
		return Entry{}, fmt.Errorf("%w: entry of %d bytes, limit %d bytes", ErrMalformed, len(encoded),
			MaxConfigBytes+2*entryOverheadBytes)
	}
	if err := DecodeMode.Unmarshal(encoded, &decoded); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	p, err := decoded.proposal()
	return Entry{Index: Index(decoded.Index), Proposal: p}, err
}
