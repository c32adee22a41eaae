package replicatedlog

import (
	"errors"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Entries, batches and snapshots are encoded as CBOR (RFC 8949) maps with numbered fields; unknown fields are skipped.
// The first field of batches and snapshots is the version of the format.
const formatVersion = 1

// ErrMalformed reports that bytes are not a valid entry, batch or snapshot.
var ErrMalformed = errors.New("malformed replicated log data")

// DecodeMode decodes CBOR within bounds, so that a short message cannot make the receiver allocate or recurse without
// limit.
var DecodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: math.MaxInt32 >> 4,
		MaxMapPairs:      64,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// encode encodes a type of this package. All fields are numbers and bytes, whose encoding cannot fail.
func encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
