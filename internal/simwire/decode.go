// Package simwire reads the simulator's batches and writes its replies. Wire names end here: events become
// calls on a Node, and what the Node does is written through a Writer.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fastjson"

	"dahliapin/internal/houserules"
	"dahliapin/policy"
)

// Node is one instance, from its start until it is killed.
type Node interface {
	Listed(now policy.Instant, form policy.ListForm, entries []policy.Entry)
	Arrived(now policy.Instant, r *policy.Request)
	Ended(now policy.Instant, id policy.RequestID, how policy.Result, over bool, o policy.Outcome)
	Started(id policy.RequestID)
	Left(now policy.Instant, id policy.RequestID)
	Probed(now policy.Instant, id policy.CacheID, found policy.Result)
	Woken(now policy.Instant, token string)
}

// Start makes a Node for an instance that comes up.
type Start func(now policy.Instant, seed int64, rules policy.HouseRules, out *Writer) Node

type server struct {
	start  Start
	parser fastjson.Parser
	out    Writer
	nodes  map[int]*instance
	lists  [16][]*fastjson.Value
	names  map[string]policy.CacheID
	log    io.Writer
}

type instance struct {
	node  Node
	names houserules.Vocabulary
	last  []policy.Entry
}

// Serve answers batches from in on out until in ends. What is odd within a batch is passed over and noted
// on log.
func Serve(in io.Reader, out, log io.Writer, start Start) error {
	s := &server{start: start, nodes: map[int]*instance{}, names: map[string]policy.CacheID{}, log: log}
	r := bufio.NewReaderSize(in, 1<<20)
	var line []byte
	for {
		piece, err := r.ReadSlice('\n')
		line = append(line, piece...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if len(bytes.TrimSpace(line)) > 0 {
			reply, bad := s.batch(line)
			if bad != nil {
				return bad
			}
			if _, bad = out.Write(reply); bad != nil {
				return fmt.Errorf("the reply could not be written: %w", bad)
			}
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

func (s *server) batch(line []byte) ([]byte, error) {
	v, err := s.parser.ParseBytes(line)
	if err != nil || v.Type() != fastjson.TypeObject {
		return nil, errors.New("the input holds a line that is not a JSON object")
	}
	s.out.reset()
	now := instant(v.Get("t_s"))
	for _, part := range v.GetArray("parts") {
		id := part.Get("node_id")
		if id == nil || id.Type() != fastjson.TypeNumber {
			fmt.Fprintln(s.log, "passed over a part without a node")
			continue
		}
		s.out.turn(id.GetInt())
		for _, e := range part.GetArray("news") {
			if err := s.event(now, id.GetInt(), e.GetArray()); err != nil {
				return nil, err
			}
		}
	}
	return s.out.finish(), nil
}

func (s *server) event(now policy.Instant, node int, f []*fastjson.Value) error {
	if len(f) == 0 {
		fmt.Fprintln(s.log, "passed over an event without a name")
		return nil
	}
	at := func(i int) *fastjson.Value {
		if i < len(f) {
			return f[i]
		}
		return nil
	}
	name := at(0).GetStringBytes()
	switch string(name) {
	case "begin":
		terms, err := houserules.Decode(at(2))
		if err != nil {
			return err
		}
		s.nodes[node] = &instance{s.start(now, at(1).GetInt64(), terms.Rules, &s.out), terms.Names, nil}
		return nil
	case "ledger":
		if n := houserules.Number(at(1)); n >= 0 && n < 16 {
			s.lists[int(n)] = copyOf(at(2))
		}
		return nil
	}
	in := s.nodes[node]
	if in == nil {
		fmt.Fprintf(s.log, "passed over %q for a node that is not up\n", name)
		return nil
	}
	switch string(name) {
	case "destroy":
		delete(s.nodes, node)
	case "fleet":
		form, ok := listForms[string(at(1).GetStringBytes())]
		n := int(houserules.Number(at(3)))
		if !ok || n < 0 || n > 15 {
			fmt.Fprintln(s.log, "passed over a list of an unknown form or number")
			break
		}
		in.last = in.last[:0]
		if form != policy.AskFailed {
			for _, e := range s.lists[n] {
				if entry, ok := s.entry(in, e.GetArray()); ok {
					in.last = append(in.last, entry)
				}
			}
		}
		in.node.Listed(now, form, in.last)
	case "job_in":
		flags := int(houserules.Number(at(8)))
		r := &policy.Request{
			ID: policy.RequestID(at(1).GetStringBytes()), Key: string(at(6).GetStringBytes()),
			Grade:  in.names.Grade(at(3).GetStringBytes()),
			League: in.names.League(at(4).GetStringBytes()),
			Write:  flags&4 != 0, Arrived: now, Deadline: instant(at(5)),
		}
		if r.ID == "" || r.Deadline <= 0 {
			fmt.Fprintln(s.log, "passed over a request without an id or a deadline")
			break
		}
		in.node.Arrived(now, r)
	case "attempt_end":
		how, ok := result(at(2))
		leg := at(5)
		if !ok || leg == nil || leg.Type() != fastjson.TypeNumber {
			fmt.Fprintln(s.log, "passed over an outcome of an unknown kind")
			break
		}
		in.node.Ended(now, policy.RequestID(at(1).GetStringBytes()), how, at(3).GetBool(),
			policy.Outcome{Leg: leg.GetInt(), Took: houserules.Span(at(6)), Report: report(&in.names, at(8))})
	case "timed_out_client":
		in.node.Left(now, policy.RequestID(at(1).GetStringBytes()))
	case "sampled":
		if how, ok := result(at(2)); ok {
			in.node.Probed(now, s.cacheID(at(1)), how)
		}
	case "wake":
		in.node.Woken(now, string(at(1).GetStringBytes()))
	case "established":
		in.node.Started(policy.RequestID(at(1).GetStringBytes()))
	case "inbox": // nodes tell each other nothing yet
	default:
		fmt.Fprintf(s.log, "passed over an unknown event %q\n", name)
	}
	return nil
}

// copyOf keeps a list beyond the batch that brought it.
func copyOf(v *fastjson.Value) []*fastjson.Value {
	if v == nil {
		return nil
	}
	kept, err := fastjson.ParseBytes(v.MarshalTo(nil))
	if err != nil {
		return nil
	}
	return kept.GetArray()
}

func (s *server) cacheID(v *fastjson.Value) policy.CacheID {
	b := v.GetStringBytes()
	id, ok := s.names[string(b)]
	if !ok {
		id = policy.CacheID(b)
		s.names[string(id)] = id
	}
	return id
}

func (s *server) entry(in *instance, f []*fastjson.Value) (policy.Entry, bool) {
	if len(f) < 7 || len(f[5].GetStringBytes()) == 0 {
		fmt.Fprintln(s.log, "passed over a list entry that is too short")
		return policy.Entry{}, false
	}
	state, ok := states[string(f[2].GetStringBytes())]
	if !ok { // send nothing new to what is in a state not known here
		state = policy.Draining
	}
	return policy.Entry{
		Weight: houserules.Number(f[0]), Kind: in.names.Kind(f[1].GetStringBytes()), State: state, Born: instant(f[3]),
		Zone: policy.ZoneID(f[4].GetStringBytes()), ID: s.cacheID(f[5]), Group: policy.GroupID(houserules.Number(f[6])),
	}, true
}

var (
	listForms = map[string]policy.ListForm{"delta": policy.Changes, "full": policy.Whole, "cached": policy.LastHeld,
		"failed": policy.AskFailed}
	states  = map[string]policy.State{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone}
	results = []policy.Result{policy.Answered, policy.Errored, policy.TurnedAway, policy.TimedOut, policy.Unconnected,
		policy.Broken, policy.Cancelled, policy.NeverSent, policy.Missed}
)

func result(v *fastjson.Value) (policy.Result, bool) {
	if v == nil || v.Type() != fastjson.TypeNumber {
		return 0, false
	}
	n := v.GetInt()
	if n < 0 || n >= len(results) {
		return 0, false
	}
	return results[n], true
}

func report(names *houserules.Vocabulary, v *fastjson.Value) []float64 {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil
	}
	return names.Report(func(column string) (float64, bool) {
		x := v.Get(column)
		return houserules.Number(x), x != nil && x.Type() == fastjson.TypeNumber
	})
}

func instant(v *fastjson.Value) policy.Instant { return policy.Instant(houserules.Span(v)) }

func appendQuoted(b []byte, s string) []byte {
	q, _ := json.Marshal(s) // a string always marshals
	return append(b, q...)
}
