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
	// nextServerDelay is how long to wait for an answer before the next server is asked as well.
	nextServerDelay = time.Second
	// retryDelay is the wait after an error once all servers have been asked in turn, for example during an election.
	retryDelay = 200 * time.Millisecond
	// maxParallelRequests bounds the requests that are in flight for one batch.
	maxParallelRequests = 4
	// publishTimeout is longer than a server waits for proposals to be ordered, so that its answer can arrive.
	publishTimeout = controlwire.OrderTimeout + controlwire.WriteTimeout
)

// NewProposal returns a proposal with a random id. However often it is proposed, it becomes one entry, until
// replicatedlog.DedupWindow further entries have been ordered.
func NewProposal(kind replicatedlog.Kind, body []byte) replicatedlog.Proposal {
	p := replicatedlog.Proposal{Kind: kind, Body: body}
	_, _ = rand.Read(p.ID[:]) // never fails
	return p
}

// Publish publishes proposals and returns their indexes once they are on disk at a majority of the voters. It retries
// until the context ends. It returns replicatedlog.ErrProposal, before anything is sent, for a proposal that cannot
// become an entry. Any other error is that of the last server; it is returned with the indexes of the batches ordered
// so far, and whether the other proposals are ordered is unknown.
func (c Client) Publish(ctx context.Context, proposals []replicatedlog.Proposal) ([]replicatedlog.Index, error) {
	for i, p := range proposals {
		if err := p.Check(); err != nil {
			return nil, fmt.Errorf("proposal %d: %w", i+1, err)
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

// publishAnswer is the result of one server's attempt to order a batch.
type publishAnswer struct {
	indexes []uint64
	err     error
}

// publishBatch asks one server after another until one has ordered the batch. It asks the next server after
// nextServerDelay even without an answer: a server that has just been partitioned from the others has not detected that
// yet, accepts the proposals and does not answer for OrderTimeout.
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
				sleepContext(ctx, retryDelay)
			}
		case <-time.After(nextServerDelay):
		case <-ctx.Done():
			return nil, fmt.Errorf("unknown whether the batch is ordered: %w", lastErr)
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

// sleepContext waits for a delay, or until the context ends.
func sleepContext(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
