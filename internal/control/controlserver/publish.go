package controlserver

import (
	"errors"
	"fmt"
	"time"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
)

// clientTimeout is how long a client's stream may be idle.
const clientTimeout = 30 * time.Second

var (
	errClosed       = errors.New("the control server is stopping")
	errTooManyCalls = fmt.Errorf("busy: %d calls to publish are waiting already", inboxPublishes)
)

// serveClient serves an accepted stream: a follower's or a client's.
func (s *Server) serveClient(stream *controlwire.Stream) {
	kind, err := stream.AcceptPreface(s.File.Control.Label)
	switch {
	case err != nil:
		s.status.invalid.Add(1)
	case kind == controlwire.StreamFollower:
		s.serveFollower(stream)
	case kind == controlwire.StreamClient:
		s.answerClient(stream)
	default:
		s.status.invalid.Add(1)
	}
}

// answerClient answers a client's requests until the client closes the stream or sends a message of another kind.
func (s *Server) answerClient(stream *controlwire.Stream) {
	for {
		request, _, err := stream.Receive(clientTimeout)
		if err != nil {
			return
		}
		var answer controlwire.Message
		switch request.Kind {
		case controlwire.KindPublish:
			answer = s.answerPublish(request)
		case controlwire.KindStatusRequest:
			answer = s.status.fullTable()
		default:
			return
		}
		if _, err := stream.Send(answer, controlwire.WriteTimeout); err != nil {
			return
		}
	}
}

// answerPublish publishes the request's proposals and returns the answer.
func (s *Server) answerPublish(request controlwire.Message) controlwire.Message {
	indexes, err := s.publish(request.Batch)
	if err != nil {
		return controlwire.Message{Kind: controlwire.KindRejected, Reason: err.Error()}
	}
	return controlwire.Message{Kind: controlwire.KindOrdered, Indexes: indexes}
}

// publish passes an encoded batch of proposals to the loop, waits until they are ordered, and returns their indexes.
func (s *Server) publish(encoded []byte) ([]uint64, error) {
	batch, err := replicatedlog.DecodeBatch(encoded)
	if err != nil {
		return nil, err
	}
	for _, p := range batch.Proposals {
		if err := p.Check(); err != nil {
			return nil, err
		}
	}
	if len(batch.Proposals) == 0 {
		return nil, replicatedlog.ErrProposal
	}
	call := newPublishCall(batch.Proposals)
	select {
	case s.loop.publishes <- call:
	default:
		return nil, errTooManyCalls
	}
	select {
	case <-call.done:
	case <-s.closed:
		return nil, errClosed
	}
	if call.failure != "" {
		return nil, errors.New(call.failure)
	}
	for i, index := range call.indexes {
		if index == 0 {
			return nil, fmt.Errorf("%w: proposal %d of %d got no index",
				replicatedlog.ErrProposal, i+1, len(call.indexes))
		}
	}
	return call.indexes, nil
}
