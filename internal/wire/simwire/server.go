package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/monotime"
	"dahliapin/policy"
)

// readBufferSize is the size, in bytes, of the buffer for the input. Longer lines are put together of pieces.
const readBufferSize = 1 << 20

// ErrNotObject says that a line of the input is not a JSON object.
var ErrNotObject = errors.New("the input holds a line that is not a JSON object")

// Node is one node of the simulator, from its start until it is killed.
type Node interface {
	UpdateEndpoints(now monotime.Instant, kind policy.UpdateKind, endpoints []policy.Endpoint)
	RequestArrived(now monotime.Instant, r *policy.Request)
	AttemptDone(now monotime.Instant, id policy.RequestID, result policy.Result, requestOver bool, o policy.Outcome)
	ResponseStarted(id policy.RequestID)
	ClientGone(now monotime.Instant, id policy.RequestID)
	OnHealthCheck(now monotime.Instant, id policy.EndpointID, result policy.Result)
	OnTimer(now monotime.Instant, token string)
}

// NewNodeFunc makes the Node of a node that starts. Its actions go to out, within the calls on it and within NewNodeFunc itself.
type NewNodeFunc func(now monotime.Instant, seed int64, settings policy.Settings, out *Writer) Node

// server holds the state between batches.
type server struct {
	start       NewNodeFunc
	parser      fastjson.Parser
	out         Writer
	nodes       map[int]*instance
	lists       [maxLists][]*fastjson.Value  // endpoint lists by their numbers
	endpointIDs map[string]policy.EndpointID // so that an id is allocated once
	log         io.Writer                    // what was ignored, a line each
}

// instance is a node that is up.
type instance struct {
	node      Node
	names     settings.NameTable
	endpoints []policy.Endpoint // buffer of the latest update
}

// Serve answers batches from in on out until in ends. An event that cannot be understood is ignored, with a line on
// log. An error is a line that is no JSON object (ErrNoObject), settings that cannot be used, or one of in and out.
func Serve(in io.Reader, out, log io.Writer, start NewNodeFunc) error {
	s := &server{
		start:       start,
		nodes:       map[int]*instance{},
		endpointIDs: map[string]policy.EndpointID{},
		log:         log,
	}
	reader := bufio.NewReaderSize(in, readBufferSize)
	var line []byte
	for {
		piece, err := reader.ReadSlice('\n')
		line = append(line, piece...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if replyErr := s.reply(line, out); replyErr != nil {
			return replyErr
		}
		line = line[:0]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("the input could not be read: %w", err)
		}
	}
}

// reply answers a line, unless it is empty.
func (s *server) reply(line []byte, out io.Writer) error {
	if len(bytes.TrimSpace(line)) == 0 {
		return nil
	}
	reply, err := s.batch(line)
	if err != nil {
		return err
	}
	if _, err := out.Write(reply); err != nil {
		return fmt.Errorf("the reply could not be written: %w", err)
	}
	return nil
}

// batch carries out a batch and returns the reply, which is valid until the next call.
func (s *server) batch(line []byte) ([]byte, error) {
	v, err := s.parser.ParseBytes(line)
	if err != nil || v.Type() != fastjson.TypeObject {
		return nil, ErrNotObject
	}
	s.out.reset()
	now := instant(v.Get(keyTime))
	for _, part := range v.GetArray(keyParts) {
		node := part.Get(keyNode)
		if node == nil || node.Type() != fastjson.TypeNumber {
			s.ignore("a part without a node")
			continue
		}
		s.out.setNode(node.GetInt())
		for _, e := range part.GetArray(keyEvents) {
			if err := s.handle(now, node.GetInt(), e.GetArray()); err != nil {
				return nil, err
			}
		}
	}
	return s.out.finish(), nil
}

// ignore notes what was not understood.
func (s *server) ignore(format string, args ...any) {
	fmt.Fprintf(s.log, "passed over "+format+"\n", args...)
}

func instant(v *fastjson.Value) monotime.Instant { return monotime.Instant(settings.Seconds(v)) }
