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

	"dahliapin/internal/config/settings"
	"dahliapin/internal/monotime"
	"dahliapin/policy"
)

// Node is one instance, from its start until it is killed.
type Node interface {
	UpdateEndpoints(now monotime.Instant, form policy.UpdateKind, entries []policy.Endpoint)
	RequestArrived(now monotime.Instant, r *policy.Request)
	AttemptDone(now monotime.Instant, id policy.RequestID, how policy.Result, over bool, o policy.Outcome)
	ResponseStarted(id policy.RequestID)
	ClientGone(now monotime.Instant, id policy.RequestID)
	OnHealthCheck(now monotime.Instant, id policy.EndpointID, found policy.Result)
	OnTimer(now monotime.Instant, token string)
}

// Start makes a Node for an instance that comes up.
type Start func(now monotime.Instant, seed int64, rules policy.Settings, out *Writer) Node

type server struct {
	start  Start
	parser fastjson.Parser
	out    Writer
	nodes  map[int]*instance
	lists  [16][]*fastjson.Value
	names  map[string]policy.EndpointID
	log    io.Writer
}

type instance struct {
	node  Node
	names settings.NameTable
	last  []policy.Endpoint
}

// Serve answers batches from in on out until in ends. What is odd within a batch is passed over and noted
// on log.
func Serve(in io.Reader, out, log io.Writer, start Start) error {
	s := &server{start: start, nodes: map[int]*instance{}, names: map[string]policy.EndpointID{}, log: log}
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

func (s *server) event(now monotime.Instant, node int, f []*fastjson.Value) error {
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
		terms, err := settings.Decode(at(2))
		if err != nil {
			return err
		}
		s.nodes[node] = &instance{s.start(now, at(1).GetInt64(), terms.Policy, &s.out), terms.Names, nil}
		return nil
	case "ledger":
		if n := settings.Number(at(1)); n >= 0 && n < 16 {
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
		n := int(settings.Number(at(3)))
		if !ok || n < 0 || n > 15 {
			fmt.Fprintln(s.log, "passed over a list of an unknown form or number")
			break
		}
		in.last = in.last[:0]
		if form != policy.PollFailed {
			for _, e := range s.lists[n] {
				if entry, ok := s.entry(in, e.GetArray()); ok {
					in.last = append(in.last, entry)
				}
			}
		}
		in.node.UpdateEndpoints(now, form, in.last)
	case "job_in":
		flags := int(settings.Number(at(8)))
		r := &policy.Request{
			ID: policy.RequestID(at(1).GetStringBytes()), Key: string(at(6).GetStringBytes()),
			Class:  in.names.Class(at(3).GetStringBytes()),
			Tenant: in.names.Tenant(at(4).GetStringBytes()),
			Write:  flags&4 != 0, ArrivedAt: now, Deadline: instant(at(5)),
		}
		if r.ID == "" || r.Deadline <= 0 {
			fmt.Fprintln(s.log, "passed over a request without an id or a deadline")
			break
		}
		in.node.RequestArrived(now, r)
	case "attempt_end":
		how, ok := result(at(2))
		leg := at(5)
		if !ok || leg == nil || leg.Type() != fastjson.TypeNumber {
			fmt.Fprintln(s.log, "passed over an outcome of an unknown kind")
			break
		}
		in.node.AttemptDone(now, policy.RequestID(at(1).GetStringBytes()), how, at(3).GetBool(),
			policy.Outcome{Attempt: leg.GetInt(), Latency: settings.Seconds(at(6)), LoadReport: report(&in.names, at(8))})
	case "timed_out_client":
		in.node.ClientGone(now, policy.RequestID(at(1).GetStringBytes()))
	case "sampled":
		if how, ok := result(at(2)); ok {
			in.node.OnHealthCheck(now, s.cacheID(at(1)), how)
		}
	case "wake":
		in.node.OnTimer(now, string(at(1).GetStringBytes()))
	case "established":
		in.node.ResponseStarted(policy.RequestID(at(1).GetStringBytes()))
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

func (s *server) cacheID(v *fastjson.Value) policy.EndpointID {
	b := v.GetStringBytes()
	id, ok := s.names[string(b)]
	if !ok {
		id = policy.EndpointID(b)
		s.names[string(id)] = id
	}
	return id
}

func (s *server) entry(in *instance, f []*fastjson.Value) (policy.Endpoint, bool) {
	if len(f) < 7 || len(f[5].GetStringBytes()) == 0 {
		fmt.Fprintln(s.log, "passed over a list entry that is too short")
		return policy.Endpoint{}, false
	}
	state, ok := states[string(f[2].GetStringBytes())]
	if !ok { // send nothing new to what is in a state not known here
		state = policy.Draining
	}
	return policy.Endpoint{
		Weight: settings.Number(f[0]), Kind: in.names.Kind(f[1].GetStringBytes()), Lifecycle: state, StartedAt: instant(f[3]),
		Zone: policy.ZoneID(f[4].GetStringBytes()), ID: s.cacheID(f[5]), Group: policy.GroupID(settings.Number(f[6])),
	}, true
}

var (
	listForms = map[string]policy.UpdateKind{"delta": policy.DeltaUpdate, "full": policy.CompleteUpdate, "cached": policy.LastKnownUpdate,
		"failed": policy.PollFailed}
	states  = map[string]policy.Lifecycle{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Removed}
	results = []policy.Result{policy.Answered, policy.Errored, policy.Rejected, policy.TimedOut, policy.ConnectFailed,
		policy.ConnectionBroken, policy.Cancelled, policy.NotSent, policy.CacheMiss}
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

func report(names *settings.NameTable, v *fastjson.Value) []float64 {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil
	}
	return names.LoadReport(func(column string) (float64, bool) {
		x := v.Get(column)
		return settings.Number(x), x != nil && x.Type() == fastjson.TypeNumber
	})
}

func instant(v *fastjson.Value) monotime.Instant { return monotime.Instant(settings.Seconds(v)) }

func appendQuoted(b []byte, s string) []byte {
	q, _ := json.Marshal(s) // a string always marshals
	return append(b, q...)
}
