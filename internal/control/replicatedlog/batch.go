package replicatedlog

import "fmt"

const (
	// MaxBatchProposals bounds the proposals of a batch, so that a burst of a thousand purges fits into one batch.
	MaxBatchProposals = 1024
	// maxBatchBytes bounds the size of a batch: it has room for a burst of purges, or for several configurations.
	maxBatchBytes = 2 << 20
	// maxEncodedBatchBytes bounds an encoded batch that is decoded. Batches adds up the bodies and a fixed overhead of
	// each proposal, without the batch's own encoding; the difference between the two limits leaves room for that.
	maxEncodedBatchBytes = 2 * maxBatchBytes
)

// Batch is the content of one entry of Raft's log: proposals that arrived together, or a decision of the leader about
// the log itself.
type Batch struct {
	Proposals []Proposal
	Trim      Index // entries up to this index may be dropped; 0 for none
	Log       LogID // the id to give to a log without one; 0 for none
}

type encodedBatch struct {
	Version   uint32            `cbor:"0,keyasint"`
	Proposals []encodedProposal `cbor:"1,keyasint,omitempty"`
	Trim      uint64            `cbor:"2,keyasint,omitempty"`
	Log       uint64            `cbor:"3,keyasint,omitempty"`
}

// Encode returns the encoded batch.
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
	if len(encoded) > maxEncodedBatchBytes {
		return Batch{}, fmt.Errorf("%w: batch of %d bytes, limit %d bytes", ErrMalformed, len(encoded),
			maxEncodedBatchBytes)
	}
	if err := DecodeMode.Unmarshal(encoded, &decoded); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if decoded.Version == 0 || len(decoded.Proposals) > MaxBatchProposals {
		return Batch{}, fmt.Errorf("%w: batch of version %d with %d proposals, limit %d", ErrMalformed,
			decoded.Version, len(decoded.Proposals), MaxBatchProposals)
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

// Batches splits proposals, in order, into as few batches as the bounds allow.
func Batches(proposals []Proposal) []Batch {
	var batches []Batch
	bytes := 0 // size of the last batch
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
