package controlclient

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
)

const (
	// nextServerDelay is how long a server may be silent before the next one is asked as well.
	nextServerDelay = time.Second
	// retryDelay is the pause after all servers were asked and the last answer was an error, as while no leader is
	// elected.
	retryDelay = 200 * time.Millisecond
	// maxParallelRequests bounds how many servers are asked at a time.
	maxParallelRequests = 4
	// publishTimeout is longer than a server waits for proposals to be ordered, so that its answer arrives.
	publishTimeout = controlwire.OrderTimeout + controlwire.WriteTimeout
)

// NewProposal gives a change its random id, by which it becomes one entry however often it is proposed.
func NewProposal(kind replicatedlog.Kind, body []byte) replicatedlog.Proposal {
	p := replicatedlog.Proposal{Kind: kind, Body: body}
	_, _ = rand.Read(p.ID[:]) // never fails
	return p
}

// Publish has changes ordered and returns the index of each: they are on disk at a majority of the voting control
// servers then. It tries until the context ends. It returns replicatedlog.ErrProposal for a change that cannot become
// an entry, before anything is sent, and otherwise the last server's error, with the indexes of the batches that were
// ordered before: whether the rest is ordered is not known.
func (c Client) Publish(ctx context.Context, proposals []replicatedlog.Proposal) ([]replicatedlog.Index, error) {
	for i, p := range proposals {
		if err := p.Check(); err != nil {
			return nil, fmt.Errorf("number %d: %w", i+1, err)
		}
	}
	var indexes []replicatedlog.Index
	for _, batch := range replicatedlog.Batches(proposals) {
		some, err := c.publishBatch(ctx, batch)
		if err != nil {
			return indexes, err
		}
		indexes = append(indexes, some...)
	}
	return indexes, nil
}

// publishAnswer is what one server answered.
type publishAnswer struct {
	indexes []uint64
	err     error
}

// publishBatch asks one server after the other until one has ordered the batch. It does not wait for the answer of
// one before the next is asked: a server that is cut off from the others does not know it yet, accepts the proposals
// and stays silent for OrderTimeout.
func (c Client) publishBatch(ctx context.Context, batch replicatedlog.Batch) ([]replicatedlog.Index, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan publishAnswer, maxParallelRequests)
	asked := 0
	waiting := 0
	lastErr := ErrUnavailable
	for {
		if waiting < min(len(c.Servers), maxParallelRequests) && ctx.Err() == nil {
			addr := c.Servers[asked%len(c.Servers)]
			asked++
			waiting++
			go func() { answers <- c.publishAt(ctx, addr, batch) }()
		}
		select {
		case answer := <-answers:
			waiting--
			if answer.err == nil {
				return toIndexes(answer.indexes), nil
			}
			lastErr = answer.err
			if asked%len(c.Servers) == 0 {
				pause(ctx, retryDelay)
			}
		case <-time.After(nextServerDelay):
		case <-ctx.Done():
			return nil, fmt.Errorf("it is not known whether it is ordered: %w", lastErr)
		}
	}
}

// publishAt asks one server to order a batch.
func (c Client) publishAt(ctx context.Context, addr string, batch replicatedlog.Batch) publishAnswer {
	request := controlwire.Message{Kind: controlwire.KindPublish, Batch: batch.Encode()}
	answer, err := c.exchange(ctx, addr, request, publishTimeout)
	switch {
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	case answer.Kind == controlwire.KindRejected:
		err = fmt.Errorf("%s: %s", addr, answer.Reason)
	case answer.Kind != controlwire.KindOrdered || len(answer.Indexes) != len(batch.Proposals):
		err = fmt.Errorf("%s: %w", addr, controlwire.ErrMalformed)
	}
	return publishAnswer{indexes: answer.Indexes, err: err}
}

func toIndexes(numbers []uint64) []replicatedlog.Index {
	var indexes []replicatedlog.Index
	for _, number := range numbers {
		indexes = append(indexes, replicatedlog.Index(number))
	}
	return indexes
}

// pause waits, or until the context ends.
func pause(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
