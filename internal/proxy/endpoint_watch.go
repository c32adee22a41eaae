package proxy

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/discovery"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/wire/endpointlist"
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

const (
	endpointListPath     = "/registry/instances"
	maxEndpointListBytes = 8 << 20 // enough for tens of thousands of endpoints
)

// endpointWatch follows the endpoint list by long polls: except during a backoff, one is always under way, and
// discovery holds back its answer until the list has changed. Package discovery decides what to ask for, and how long
// to back off.
type endpointWatch struct {
	conn                 upstreamConnID // of the poll; 0 during a backoff
	pollNumber           uint64         // counts polls and failures, to recognize the timer of an earlier one
	poll                 discovery.Poll
	pollStartedAt        policy.Instant // including the time to connect
	poller               discovery.Poller
	failure              discovery.Failure // the reason for the failure that onPollFailed is about to handle
	updatedAt            policy.Instant    // when the last answer was applied
	hadUnreadableEntries bool              // the last list had unreadable entries
	reader               endpointlist.Reader
	jitter               keyhash.Source // for the backoff
}

// startWatch polls the list on a new connection.
func (p *Proxy) startWatch() {
	p.beginPoll()
	conn := &upstreamConn{purpose: purposeEndpointList}
	if err := p.openConn(conn, p.config.Discovery); err != nil {
		p.onPollFailed()
		return
	}
	p.endpoints.watch.conn = conn.id
}

// beginPoll decides what to ask for, and by when the answer must have arrived. That time includes connecting.
func (p *Proxy) beginPoll() {
	watch := &p.endpoints.watch
	watch.pollNumber++
	watch.poll = watch.poller.NextPoll()
	watch.pollStartedAt = p.now()
	p.schedulePollTimer(watch.pollStartedAt.Add(watch.poll.Timeout))
}

func (p *Proxy) schedulePollTimer(at policy.Instant) {
	p.schedule(at, timerEvent{kind: timerPoll, pollNumber: p.endpoints.watch.pollNumber})
}

// writePoll writes the poll on an established connection. Discovery is asked to hold back its answer no longer than the
// time the poll has left, so that an unchanged list is not taken for a failure.
func (p *Proxy) writePoll(conn *upstreamConn) {
	watch := &p.endpoints.watch
	path := []byte(endpointListPath)
	if !watch.poll.Complete {
		holdBack := max(time.Millisecond, watch.poll.LongPollTime-p.now().Since(watch.pollStartedAt))
		holdBackMs := int64((holdBack + time.Millisecond - 1) / time.Millisecond)
		path = append(path, "?since="...)
		path = strconv.AppendInt(path, int64(watch.poll.SinceVersion), 10)
		path = append(path, "&timeout_ms="...)
		path = strconv.AppendInt(path, holdBackMs, 10)
	}
	if conn.socket.Write(http1.AppendRequest(nil, "GET", path, p.config.Discovery, nil, nil)) != nil {
		p.failConn(conn, policy.ConnectFailed)
	}
}

// changeDiscovery polls another address from now on. Versions belong to the old address, so the complete list is
// requested from the new one. The old poll is closed first: it could deliver an older list than the new address has.
func (p *Proxy) changeDiscovery(addr string) {
	if addr == p.config.Discovery {
		return
	}
	p.config.Discovery = addr
	p.endpoints.watch.poller.OnAddressChange()
	p.endpoints.history.onAddressChange()
	p.sendEndpointsToSuccessor() // its version does not hold any more
	p.metrics.counters.DiscoveryChanges++
	if conn := p.upstream.conns.Get(p.endpoints.watch.conn); conn != nil {
		p.dropConn(conn)
	}
	p.startWatch()
}

// onPollTimer polls again after a backoff, or fails a poll that is unanswered. The last list received stays in use.
func (p *Proxy) onPollTimer(pollNumber uint64) {
	watch := &p.endpoints.watch
	if pollNumber != watch.pollNumber {
		return
	}
	conn := p.upstream.conns.Get(watch.conn)
	if conn == nil {
		p.startWatch()
		return
	}
	p.failConn(conn, policy.TimedOut)
}

// onPollFailed sets the timer for the next poll. Only the first of consecutive failures is logged: with thousands of
// nodes, a line for each would flood the logs.
func (p *Proxy) onPollFailed() {
	watch := &p.endpoints.watch
	p.metrics.counters.FailedPolls++
	watch.conn = 0
	watch.pollNumber++
	failure := watch.failure
	watch.failure = discovery.ConnectionLost
	backoff, isFirst := watch.poller.OnFailure(failure, p.now().Since(watch.pollStartedAt), watch.jitter.Float64())
	if isFirst {
		p.config.Log.WithField("how", failure).Warn("endpoint list poll failed; keeping the last list and retrying")
	}
	p.schedulePollTimer(p.now().Add(backoff))
}

// readEndpointList parses what has been received of the answer to a poll. Once it is complete, the list is applied and
// polled again.
func (p *Proxy) readEndpointList(conn *upstreamConn) {
	watch := &p.endpoints.watch
	input := &conn.input
	answer, size, err := input.progress.ReadResponse(input.buf.Unread(), maxEndpointListBytes, input.eof)
	if err == nil && size == 0 {
		input.buf.Reserve(answer.TotalSize)
		return
	}
	if err != nil || answer.Status != 200 {
		watch.failure = discovery.Unreadable
		if err == nil && (answer.Status == http1.ServiceUnavailable || answer.Status == http1.TooManyRequests) {
			watch.failure = discovery.Refused
		}
		p.failConn(conn, policy.ConnectionBroken)
		return
	}
	list, err := watch.reader.Read(answer.Body) // rejects a truncated list, which would read as one without endpoints
	isComplete := list.Complete || watch.poll.Complete
	if err != nil || !list.HasVersion || !watch.poller.Accepts(list.Version, isComplete) {
		watch.failure = discovery.Unreadable
		p.failConn(conn, policy.ConnectionBroken)
		return
	}
	p.applyPolledList(&list)
	input.consume(size)
	p.serveIfReady()
	if answer.Close {
		p.dropConn(conn)
		p.startWatch()
		return
	}
	p.beginPoll()
	p.writePoll(conn)
}

func (p *Proxy) applyPolledList(list *endpointlist.List) {
	watch := &p.endpoints.watch
	p.metrics.counters.EndpointUpdates++
	p.stalls.lists++
	kind, recovered := watch.poller.OnUpdate(list.Version, list.Complete || watch.poll.Complete)
	if recovered {
		p.config.Log.Info("endpoint list received again after failed polls; applying it")
	}
	wasOutdated := p.endpoints.history.outdatedSince != 0
	outdated, caughtUp := p.endpoints.history.receive(p.now(), list.Version)
	if caughtUp && kind == policy.DeltaUpdate {
		watch.poller.RequestComplete()
	}
	if outdated {
		p.logOutdatedList(list.Version, wasOutdated)
		p.applyOutdatedList(list)
	} else {
		p.applyEndpointList(list, kind)
	}
	watch.updatedAt = p.now()
}

// logOutdatedList logs the first of consecutive lists that are older than one received before.
func (p *Proxy) logOutdatedList(version int, wasOutdated bool) {
	if wasOutdated {
		return
	}
	p.config.Log.WithFields(logrus.Fields{"version": version, "newest": p.endpoints.history.newest}).
		Warn("endpoint list is older than the one received before; it puts no endpoint back into service")
}

// PollEndpoints does nothing, since the list is always followed. It implements dispatch.Actions.
func (p *Proxy) PollEndpoints() {}
