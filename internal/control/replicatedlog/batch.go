package replicatedlog

import "fmt"

const (
	// MaxBatchProposals bounds the proposals of a batch: a burst of a thousand purges is one batch.
	MaxBatchProposals = 1024
	// maxBatchBytes bounds the bodies of a batch: a burst of purges, or some configurations.
	maxBatchBytes = 2 << 20
)

// Batch is what one entry of raft's log holds: proposals that arrived together, or a decision of the leader on the
// log itself.
type Batch struct {
	Proposals []Proposal
	Trim      Index // entries up to here need not be kept; 0 for none
	Log       LogID // the id of a log that has none yet; 0 for none
}

type encodedBatch struct {
	Version   uint32            `cbor:"0,keyasint"`
	Proposals []encodedProposal `cbor:"1,keyasint,omitempty"`
	Trim      uint64            `cbor:"2,keyasint,omitempty"`
	Log       uint64            `cbor:"3,keyasint,omitempty"`
}

// Encode returns the batch's bytes.
func (b Batch) Encode() []byte {
	encodable := encodedBatch{Version: formatVersion, Trim: uint64(b.Trim), Log: uint64(b.Log)}
	for _, p := range b.Proposals {
		encodable.Proposals = append(encodable.Proposals, p.encodable())
	}
	return encode(encodable)
}

// DecodeBatch decodes a batch, or returns an error that wraps ErrMalformed.
func DecodeBatch(encoded []byte) (Batch, error) {
	var decoded encodedBatch
	if len(encoded) > 2*maxBatchBytes {
		return Batch{}, fmt.Errorf("%w: a batch of %d bytes", ErrMalformed, len(encoded))
	}
	if err := DecodeMode.Unmarshal(encoded, &decoded); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if decoded.Version == 0 || len(decoded.Proposals) > MaxBatchProposals {
		return Batch{}, fmt.Errorf("%w: version %d, %d proposals", ErrMalformed,
			decoded.Version, len(decoded.Proposals))
	}
	batch := Batch{Trim: Index(decoded.Trim), Log: LogID(decoded.Log)}
	for _, encodedProposal := range decoded.Proposals {
		p, err := encodedProposal.proposal()
		if err != nil {
			return Batch{}, err
		}
		batch.Proposals = append(batch.Proposals, p)
	}
	return batch, nil
}

// Batches puts proposals, in their order, into as few batches as the bounds allow.
func Batches(proposals []Proposal) []Batch {
	var batches []Batch
	bytes := 0 // of the last batch
	for _, p := range proposals {
		size := len(p.Body) + entryOverheadBytes
		n := len(batches)
		if n == 0 || len(batches[n-1].Proposals) == MaxBatchProposals || bytes+size > maxBatchBytes {
			batches = append(batches, Batch{})
			bytes = 0
			n++
		}
		batches[n-1].Proposals = append(batches[n-1].Proposals, p)
		bytes += size
	}
	return batches
}
