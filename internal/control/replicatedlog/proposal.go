package replicatedlog

import (
	"errors"
	"fmt"

	"dahliapin/internal/keyhash"
)

const (
	// MaxKeyBytes bounds a purged key; it is the limit of the cache protocol.
	MaxKeyBytes = 250
	// MaxConfigBytes bounds the size of a configuration.
	MaxConfigBytes = 256 << 10
)

// ErrProposal reports that a proposal is invalid and cannot become an entry.
var ErrProposal = errors.New("invalid proposal")

// Index numbers the entries of the log, from 1 without gaps. It differs from Raft's index, which also counts
// Raft's internal entries.
type Index uint64

// ProposalID identifies a proposal, so that a retried one is recognized: 128 random bits.
type ProposalID [16]byte

// LogID distinguishes a log from one created later, after all disks were lost: 64 random bits; 0 if not known yet.
type LogID uint64

// Kind is the type of an entry's body.
type Kind uint8

// The kinds of entries.
const (
	Purge  Kind = 1 // a key that caches must no longer serve
	Config Kind = 2 // a node's configuration
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Purge:
		return "purge"
	case Config:
		return "config"
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Proposal is a change proposed as an entry of the log.
type Proposal struct {
	ID   ProposalID // not zero; the same for each retry of the proposal
	Kind Kind
	Body []byte // a key or a configuration
}

// ContentHash returns a hash of the kind and body, regardless of the id. Tests use it to detect a change that was
// ordered twice.
func (p Proposal) ContentHash() uint64 {
	return keyhash.Salted(keyhash.String(string(p.Body)), int(p.Kind))
}

// Check returns an error that wraps ErrProposal if the proposal cannot become an entry.
func (p Proposal) Check() error {
	switch {
	case p.ID == ProposalID{}:
		return fmt.Errorf("%w: no id", ErrProposal)
	case p.Kind == Purge && (len(p.Body) == 0 || len(p.Body) > MaxKeyBytes):
		return fmt.Errorf("%w: key of %d bytes, want 1 to %d bytes", ErrProposal, len(p.Body), MaxKeyBytes)
	case p.Kind == Config && (len(p.Body) == 0 || len(p.Body) > MaxConfigBytes):
		return fmt.Errorf("%w: configuration of %d bytes, want 1 to %d bytes", ErrProposal,
			len(p.Body), MaxConfigBytes)
	case p.Kind != Purge && p.Kind != Config:
		return fmt.Errorf("%w: unknown %v", ErrProposal, p.Kind)
	}
	return nil
}
