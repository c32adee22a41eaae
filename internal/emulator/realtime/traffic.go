package realtime

import (
	"context"
	"fmt"
	"hash/crc32"
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/client"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// sendTraffic sends the scenario's requests in an open loop: each is sent at its time, independent of the responses to
// earlier ones.
func (r *Rig) sendTraffic(ctx context.Context, start policy.Instant) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	end := start.Add(r.scenario.Duration())
	reported := 0
	r.mu.Lock()
	at := r.traffic.Next(start)
	r.mu.Unlock()
	for at < end {
		timer.Reset(max(0, at.Since(r.now())))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		r.mu.Lock()
		// Requests are drawn and counted for their scheduled time, not for the time at which they are sent.
		for now := r.now(); at <= now && at < end; {
			req := r.traffic.Draw(at)
			r.sendRequest(req, at, true)
			if now.Since(at) > report.LateArrival {
				r.log.Late++
			}
			at = r.traffic.Next(at)
		}
		r.mu.Unlock()
		second := int(r.now().Since(start) / time.Second)
		if second > reported && r.onProgress != nil {
			reported = second
			r.onProgress(r.progress(second))
		}
	}
	return nil
}

// progress returns a line of progress for the second that has just ended.
func (r *Rig) progress(second int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.log.Seconds[max(0, second-1)]
	return fmt.Sprintf("%3d of %g s: %d asked, %d in time, %d attempts (%d at the origin), %d breaches",
		second, r.scenario.Seconds, last.Asked, last.InTime, last.Attempts, last.OriginAttempts, r.checker.Breached())
}

// sendRequest sends one try of a client to a random node that accepts requests. If there is none, the try counts as
// cut. Rig.mu must be locked.
func (r *Rig) sendRequest(req world.Request, first policy.Instant, isFirst bool) {
	r.log.RequestSent(req.Sent, isFirst)
	var available []*member
	for _, m := range r.nodes {
		if m.serving || m.reuseOnly && m.pool.HasIdle() {
			available = append(available, m)
		}
	}
	g := &r.traffic.Classes[req.Class]
	if len(available) == 0 {
		t := &r.checker.Classes[req.Class]
		if t.Asked, t.Cut = t.Asked+1, t.Cut+1; isFirst {
			t.First++
		}
		return
	}
	m := available[int(r.random.Float64()*float64(len(available)))]
	now, freshStarts := r.now(), m.freshStarts
	m.counts.pending++
	m.inFlight[req.ID] = true
	r.coverage.RequestSent(m.number, req.ID, g.Idempotency)
	r.checker.RequestSent(now, req.ID, m.number, req.Class, req.Label, now.Add(req.Deadline), isFirst)
	request := &client.Request{
		ID:             req.ID,
		Key:            req.Key,
		IdempotencyKey: req.Label,
		Class:          g.Name,
		Write:          g.Write,
		Retry:          req.Try > 1,
		Timeout:        req.Deadline,
		AbandonAfter:   req.Leaves,
		ReuseOnly:      !m.serving,
	}
	if g.Write {
		request.Value = world.ValueOf(req.Key)
	}
	if m.pool.HTTP && !g.Write {
		addHTTPVariant(request)
	}
	r.requests.Add(1)
	m.pool.Send(request, func(response client.Response) {
		defer r.requests.Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.onResponse(m, freshStarts, req, first, response)
	})
}

// addHTTPVariant makes some reads by HTTP conditional on a value that their client has, and gives others content, by a
// hash of their ID.
func addHTTPVariant(read *client.Request) {
	switch crc32.ChecksumIEEE([]byte(read.ID)) % httpVariants {
	case variantRevalidation:
		read.CachedValue = world.ValueOf(read.Key)
	case variantContent:
		read.Value = client.ReadContent
	}
}

// onResponse records the response to a try, and schedules the client's retry. Rig.mu must be locked.
func (r *Rig) onResponse(
	m *member, startsAtSend int, req world.Request, first policy.Instant, response client.Response,
) {
	if r.stopped {
		return
	}
	delete(m.inFlight, req.ID)
	r.coverage.RequestEnded(m.number, req.ID)
	g, now := &r.traffic.Classes[req.Class], r.at(response.ReceivedAt)
	if response.Unsolicited {
		r.checker.WrongAnswer(now, "", "a connection received bytes beyond one answer per request")
	}
	switch {
	case response.NotSent: // no node has received it; it counts as cut and is not retried
		m.counts.pending--
		r.checker.Forget(req.ID)
		r.checker.Classes[req.Class].Cut++
		return
	case m.excused[req.ID]:
		delete(m.excused, req.ID)
		r.checker.Classes[req.Class].Cut++
		return
	case response.Abandoned:
		r.checker.ClientGone(now, req.ID)
		return
	case response.Silent: // the checker reports it at its deadline
		return
	case response.Final == checker.Cut && m.freshStarts != startsAtSend || response.Final == checker.Cut && m.killed:
		r.checker.Forget(req.ID)
		r.checker.Classes[req.Class].Cut++
	default:
		m.counts.requestFinished(g.Name, response.Final)
		if response.Final == checker.Satisfied && !g.Write &&
			response.Value != r.scenario.Value(world.ValueOf(req.Key)) {
			response.InvalidReason = fmt.Sprintf("the value of %s is %.99q", req.Key, response.Value)
		}
		if response.InvalidReason != "" {
			r.checker.WrongAnswer(now, req.ID, response.InvalidReason)
		}
		r.checker.Answered(now, req.ID, response.Final)
	}
	if response.Final == checker.Satisfied {
		if now.Since(first) <= g.LatencyObjective {
			r.checker.Served(req.Class)
			r.log.InTime(first)
		}
		return
	}
	if next, at, ok := r.traffic.Retry(now, req, response.Final == checker.Rejected, response.RetryAfter); ok {
		r.At(at, func() {
			if !r.stopped {
				next.Sent = r.now()
				r.sendRequest(next, first, false)
			}
		})
	}
}
