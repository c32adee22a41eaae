package replicatedlog

import (
	"errors"
	"fmt"

	"dahliapin/internal/keyhash"
)

const (
	// MaxKeyBytes bounds a purged key: it is the cache protocol's own limit.
	MaxKeyBytes = 250
	// MaxConfigBytes bounds a configuration.
	MaxConfigBytes = 256 << 10
)

// ErrProposal says that a proposal cannot become an entry.
var ErrProposal = errors.New("not a change that can be published")

// Index numbers the entries of the log, from 1 without gaps. It is not raft's index, which also counts raft's
// internal entries.
type Index uint64

// ProposalID tells a proposal that is made again from another one: 128 random bits.
type ProposalID [16]byte

// LogID tells one log from another that was begun after all disks were lost: 64 random bits, 0 for not known yet.
type LogID uint64

// Kind says what an entry's body is.
type Kind uint8

// The kinds of entries.
const (
	Purge  Kind = 1 // a key that caches are no longer to serve
	Config Kind = 2 // a node's configuration
)

// String names the kind.
func (k Kind) String() string {
	switch k {
	case Purge:
		return "purge"
	case Config:
		return "config"
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Proposal is a change that is to become an entry of the log.
type Proposal struct {
	ID   ProposalID // not zero; the same each time that the change is proposed
	Kind Kind
	Body []byte // a key or a configuration
}

// ContentHash is the same for proposals with the same kind and body, whatever their ids: by it tests see that one
// change was ordered twice.
func (p Proposal) ContentHash() uint64 {
	return keyhash.Salted(keyhash.String(string(p.Body)), int(p.Kind))
}

// Check returns an error that wraps ErrProposal where a proposal cannot become an entry.
func (p Proposal) Check() error {
	switch {
	case p.ID == ProposalID{}:
		return fmt.Errorf("%w: it has no id", ErrProposal)
	case p.Kind == Purge && (len(p.Body) == 0 || len(p.Body) > MaxKeyBytes):
		return fmt.Errorf("%w: a key of %d bytes, from 1 to %d can be", ErrProposal, len(p.Body), MaxKeyBytes)
	case p.Kind == Config && (len(p.Body) == 0 || len(p.Body) > MaxConfigBytes):
		return fmt.Errorf("%w: a configuration of %d bytes, from 1 to %d can be", ErrProposal,
			len(p.Body), MaxConfigBytes)
	case p.Kind != Purge && p.Kind != Config:
		return fmt.Errorf("%w: %v", ErrProposal, p.Kind)
	}
	return nil
}
