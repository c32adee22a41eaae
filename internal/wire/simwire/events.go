package simwire

import (
	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/monotime"
	"dahliapin/policy"
)

// event is an event: its name, followed by values whose meaning depends on the name.
type event []*fastjson.Value

// at returns the value at an index, or nil if there is none.
func (e event) at(i int) *fastjson.Value {
	if i < len(e) {
		return e[i]
	}
	return nil
}

// handle processes an event of a node.
func (s *server) handle(now monotime.Instant, node int, e event) error {
	if len(e) == 0 {
		s.ignore("an event without a name")
		return nil
	}
	name := string(e.at(0).GetStringBytes())
	switch name {
	case eventStart:
		return s.startNode(now, node, e)
	case eventEndpointList:
		s.storeList(e)
		return nil
	}
	in := s.nodes[node]
	if in == nil {
		s.ignore("event %q for a node that is not running", name)
		return nil
	}
	switch name {
	case eventStop:
		delete(s.nodes, node)
	case eventUpdateEndpoints:
		s.updateEndpoints(now, in, e)
	case eventRequest:
		s.requestArrived(now, in, e)
	case eventAttemptDone:
		s.attemptDone(now, in, e)
	case eventClientGone: // [name, request]
		in.node.ClientGone(now, policy.RequestID(e.at(1).GetStringBytes()))
	case eventHealthCheck: // [name, endpoint, result]
		if result, ok := resultOf(e.at(2)); ok {
			in.node.OnHealthCheck(now, s.endpointID(e.at(1)), result)
		}
	case eventTimer: // [name, token]
		in.node.OnTimer(now, string(e.at(1).GetStringBytes()))
	case eventResponseStarted: // [name, request]
		in.node.ResponseStarted(policy.RequestID(e.at(1).GetStringBytes()))
	case eventMessage:
	default:
		s.ignore("unknown event %q", name)
	}
	return nil
}

// startNode handles [name, seed, settings].
func (s *server) startNode(now monotime.Instant, node int, e event) error {
	deployment, err := settings.Decode(e.at(2))
	if err != nil {
		return err
	}
	s.nodes[node] = &instance{
		node:  s.start(now, e.at(1).GetInt64(), deployment.Policy, &s.out),
		names: deployment.Names,
	}
	return nil
}

// requestArrived handles [name, request, -, class, tenant, deadline, key, -, flags].
func (s *server) requestArrived(now monotime.Instant, in *instance, e event) {
	flags := int(settings.Number(e.at(8)))
	r := &policy.Request{
		ID:        policy.RequestID(e.at(1).GetStringBytes()),
		Key:       string(e.at(6).GetStringBytes()),
		Class:     in.names.Class(e.at(3).GetStringBytes()),
		Tenant:    in.names.Tenant(e.at(4).GetStringBytes()),
		Write:     flags&flagWrite != 0,
		ArrivedAt: now,
		Deadline:  instant(e.at(5)),
	}
	if r.ID == "" || r.Deadline <= 0 {
		s.ignore("a request without an id or a deadline")
		return
	}
	in.node.RequestArrived(now, r)
}

// attemptDone handles [name, request, result, request is over, -, attempt, latency, -, load report].
func (s *server) attemptDone(now monotime.Instant, in *instance, e event) {
	result, ok := resultOf(e.at(2))
	attempt := e.at(5)
	if !ok || attempt == nil || attempt.Type() != fastjson.TypeNumber {
		s.ignore("an attempt outcome with an unknown result or without an attempt number")
		return
	}
	id := policy.RequestID(e.at(1).GetStringBytes())
	in.node.AttemptDone(now, id, result, e.at(3).GetBool(), policy.Outcome{
		Attempt:    attempt.GetInt(),
		Latency:    settings.Seconds(e.at(6)),
		LoadReport: loadReport(&in.names, e.at(8)),
	})
}

func resultOf(v *fastjson.Value) (policy.Result, bool) {
	if v == nil || v.Type() != fastjson.TypeNumber {
		return 0, false
	}
	n := v.GetInt()
	if n < 0 || n >= len(results) {
		return 0, false
	}
	return results[n], true
}

// loadReport returns the values of a load report, or nil if there is none. They are valid until the next call.
func loadReport(names *settings.NameTable, v *fastjson.Value) []float64 {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil
	}
	return names.LoadReport(func(column string) (float64, bool) {
		x := v.Get(column)
		return settings.Number(x), x != nil && x.Type() == fastjson.TypeNumber
	})
}
