package realtime

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

// attempt is an attempt that a server has received and not answered.
type attempt struct {
	server    int
	id        string
	arrivedAt policy.Instant
	conn      *serverConn     // the connection to a cache; nil at the origin
	etag      string          // the If-None-Match header; empty if the client has no value to revalidate
	done      chan world.Done // receives the finished job at the origin; nil at a cache
}

// endAttempt removes an attempt, and records its result with the log, the checker and the fleet's event log. It returns
// the attempt, or nil if the tag is unknown. Rig.mu must be locked.
func (r *Rig) endAttempt(tag uint64, result policy.Result) *attempt {
	a := r.attempts[tag]
	if a != nil {
		delete(r.attempts, tag)
		r.log.AttemptEnded(r.now(), result)
		r.checker.AttemptEnded(r.now(), a.id, r.world.Servers[a.server].ID, result.NotExecuted())
		if r.fleetRecorder != nil {
			r.fleetRecorder.AttemptDone(r.now(), r.world.Servers[a.server].ID, result, r.now().Since(a.arrivedAt))
		}
	}
	return a
}

// attemptArrived records that a server has received a complete attempt. Rig.mu must be locked.
func (r *Rig) attemptArrived(now policy.Instant, id string, server policy.EndpointID) {
	r.log.AttemptArrived(now, server)
	r.checker.AttemptArrived(now, now, id, server)
	if r.fleetRecorder != nil {
		r.fleetRecorder.AttemptSent(now, server)
	}
}

// offerAttempt offers an attempt to the model of the server as a job. It returns false if the attempt is invalid or
// the model rejects the job. items are the call's items "c" (class), "d" (timeout in milliseconds) and "k"
// (idempotency key). Rig.mu must be locked.
func (r *Rig) offerAttempt(s *server, id, key string, items []byte, isWrite bool, a *attempt) bool {
	now := r.now()
	w := r.world.Servers[s.number]
	r.attemptArrived(now, id, w.ID)
	item := func(name string) string {
		v, _ := meta.Item(items, name)
		return string(v)
	}
	if isWrite && r.scenario.Allowed.Mode == "aside" && !r.world.IsOrigin(s.number) {
		r.checker.WrongAnswer(now, id, fmt.Sprintf("a write was sent to the cache-aside cache %s", w.ID))
	}
	class := slices.IndexFunc(r.traffic.Classes, func(g world.Class) bool { return g.Name == item("c") })
	timeoutMs, err := strconv.ParseFloat(item("d"), 64)
	if class < 0 || err != nil || timeoutMs <= 0 || r.traffic.Classes[class].Write != isWrite {
		r.checker.WrongAnswer(now, id, fmt.Sprintf(
			"a server received an attempt that matches no client request: class %q, timeout %q", item("c"), item("d")))
		r.checker.AttemptEnded(now, id, w.ID, true)
		return false
	}
	if s.fault == "reset" {
		r.checker.AttemptEnded(now, id, w.ID, true)
		if a.conn != nil {
			a.conn.disconnect(true)
		}
		return true
	}
	r.lastTag++
	a.server, a.id, a.arrivedAt = s.number, id, now
	r.attempts[r.lastTag] = a
	j := world.Job{
		Request: id,
		Key:     key,
		Label:   item("k"),
		Class:   class,
		Until:   now.Add(time.Duration(timeoutMs * 1e6)),
		Tag:     r.lastTag,

		KnewOfStart: r.startIsKnown(w),
	}
	if _, ok := r.world.Offer(now, s.number, j); !ok {
		r.endAttempt(r.lastTag, policy.Rejected)
		return false
	}
	r.wakeClock()
	return true
}

// startIsKnown reports whether any node was sent a server's last start, or ought to have been by now. A server cannot
// tell which node an attempt comes from. Rig.mu must be locked.
func (r *Rig) startIsKnown(server *world.Server) bool {
	return server.StartedAt <= r.notifications.Bound(r.now()) || r.notifiedStarts[server.ID] >= server.StartedAt
}

// resultByReply is the result of an attempt, by the server's reply.
var resultByReply = [...]policy.Result{
	world.Value:   policy.Answered,
	world.Receipt: policy.Answered,
	world.Miss:    policy.CacheMiss,
	world.Busy:    policy.Rejected,
	world.Failed:  policy.Errored,
}

// jobDone answers the attempt of a finished job. Rig.mu must be locked.
func (r *Rig) jobDone(d world.Done) {
	a := r.endAttempt(d.Job.Tag, resultByReply[d.Reply])
	if a == nil {
		return
	}
	if a.done != nil {
		a.done <- d
		return
	}
	s := r.servers[a.server]
	answer := r.metaAnswer(d, r.scenario.Fleet.Reports)
	if r.scenario.Fleet.Protocol == listeners.ProtocolHTTP {
		answer = httpCacheAnswer(d, s.fault == "stale", a.etag)
	}
	switch s.fault {
	case "half":
		a.conn.queueAnswer(answer[:len(answer)/2])
		r.At(r.now().Add(pollInterval), func() { a.conn.disconnect(true) })
		return
	case "garbage":
		answer = []byte(garbageAnswer)
	}
	a.conn.queueAnswer(answer)
}

// metaAnswer encodes a cache's answer in the meta protocol, with the cache's load if reports is true.
func (r *Rig) metaAnswer(d world.Done, reports bool) []byte {
	load := ""
	if reports {
		load = fmt.Sprintf(" Loutstanding=%g", d.Load)
	}
	switch id := d.Job.Request; d.Reply {
	case world.Value:
		text := r.scenario.Value(d.Text)
		return fmt.Appendf(nil, "VA %d O%s h1%s\r\n%s\r\n", len(text), id, load, text)
	case world.Receipt:
		return fmt.Appendf(nil, "HD O%s c%s%s\r\n", id, d.Text, load)
	case world.Miss:
		return fmt.Appendf(nil, "EN O%s h0%s\r\n", id, load)
	case world.Busy:
		return []byte("SERVER_ERROR busy\r\n")
	}
	return []byte("SERVER_ERROR failed\r\n")
}
