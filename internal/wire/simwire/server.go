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

// readBufferSize is the size, in bytes, of the input buffer. Longer lines are assembled from several reads.
const readBufferSize = 1 << 20

// ErrNotObject is returned for an input line that is not a JSON object.
var ErrNotObject = errors.New("input line is not a JSON object")

// Node is a node of the simulator, from its start until it is killed.
type Node interface {
	UpdateEndpoints(now monotime.Instant, kind policy.UpdateKind, endpoints []policy.Endpoint)
	RequestArrived(now monotime.Instant, r *policy.Request)
	AttemptDone(now monotime.Instant, id policy.RequestID, result policy.Result, requestOver bool, o policy.Outcome)
	ResponseStarted(id policy.RequestID)
	ClientGone(now monotime.Instant, id policy.RequestID)
	OnHealthCheck(now monotime.Instant, id policy.EndpointID, result policy.Result)
	OnTimer(now monotime.Instant, token string)
}

// NewNodeFunc creates the Node for a node that starts. The Node may write actions to out during the calls on it, and
// NewNodeFunc may do so as well.
type NewNodeFunc func(now monotime.Instant, seed int64, settings policy.Settings, out *Writer) Node

// server holds the state between batches.
type server struct {
	start       NewNodeFunc
	parser      fastjson.Parser
	out         Writer
	nodes       map[int]*instance
	lists       [maxLists][]*fastjson.Value  // endpoint lists by number
	endpointIDs map[string]policy.EndpointID // interned ids, so that each is allocated once
	log         io.Writer                    // receives a line for each ignored input
}

// instance is a running node.
type instance struct {
	node      Node
	names     settings.NameTable
	endpoints []policy.Endpoint // reused buffer for updates
}

// Serve reads batches from in and writes replies to out until in ends. An event that cannot be interpreted is ignored
// and reported in a line on log. Serve returns an error for a line that is not a JSON object (ErrNotObject), for
// invalid settings, and if reading or writing fails.
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
			return fmt.Errorf("cannot read the input: %w", err)
		}
	}
}

// reply writes the reply to a line, unless the line is empty.
func (s *server) reply(line []byte, out io.Writer) error {
	if len(bytes.TrimSpace(line)) == 0 {
		return nil
	}
	reply, err := s.batch(line)
	if err != nil {
		return err
	}
	if _, err := out.Write(reply); err != nil {
		return fmt.Errorf("cannot write the reply: %w", err)
	}
	return nil
}

// batch processes a batch and returns the reply, which is valid until the next call.
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
			s.ignore("a part without a node number")
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

// ignore logs an input that is ignored.
func (s *server) ignore(format string, args ...any) {
	fmt.Fprintf(s.log, "ignored "+format+"\n", args...)
}

func instant(v *fastjson.Value) monotime.Instant { return monotime.Instant(settings.Seconds(v)) }
