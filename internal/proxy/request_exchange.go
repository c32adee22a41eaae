package proxy

import (
	"os"
	"time"

	"dahliapin/internal/proxy/requestids"
)

// requestExchange is how two processes of the node that run at the same time avoid that both attempt the same request.
// Only the event loop writes it.
type requestExchange struct {
	exchange *requestids.Exchange // nil unless there is another process that takes part
	// claims is whether this process claims the ids of its requests: the successor always does, the predecessor once
	// the successor is about to serve.
	claims bool
	// awaitsIDs is whether the predecessor has not sent all ids yet that it had used before.
	awaitsIDs bool
}

// startExchange starts the exchange of request ids with the other process. file may be nil, for none.
func (p *Proxy) startExchange(file *os.File) {
	if file == nil {
		return
	}
	memory := p.takeover.totalMemory / recentIDsDivisor
	onStart := func() { p.runInLoop(p.sendUsedIDs) }
	onEnd := func() { p.runInLoop(p.endExchangeIfOver) }
	exchange, err := requestids.NewExchange(file, memory, onStart, onEnd)
	if err != nil {
		p.config.Log.WithError(err).Warn("request ids cannot be exchanged with the other process")
		return
	}
	p.endExchange() // with an earlier successor that still drains
	p.takeover.requests.exchange = exchange
}

// startExchangeAsSuccessor starts the exchange, and requests the ids that the predecessor has used. The successor calls
// it as it begins to accept connections, so that the predecessor claims no ids for a successor that never serves.
func (p *Proxy) startExchangeAsSuccessor() {
	p.startExchange(p.config.Inherited.TakeChannel())
	requests := &p.takeover.requests
	if requests.exchange == nil {
		return
	}
	requests.claims = true
	requests.awaitsIDs = true
	requests.exchange.Start()
}

// sendUsedIDs sends the successor the ids of all requests that must not run again, and claims further ones from now on.
func (p *Proxy) sendUsedIDs() {
	requests := &p.takeover.requests
	if requests.exchange == nil {
		return
	}
	requests.claims = true
	var used []requestids.Digest
	p.inflight.recentIDs.Each(func(id requestids.Digest, _ time.Time) { used = append(used, id) })
	p.inflight.requests.Each(func(_ inflightID, req *inflightRequest) {
		if !req.parsed.idempotent {
			used = append(used, requestids.DigestOf(req.parsed.id))
		}
	})
	go requests.exchange.SendUsed(used)
}

// endExchangeIfOver ends the exchange if the other process has ended. A successor that is reverted closes the handover
// connection first, and goes on serving its clients until it has drained.
func (p *Proxy) endExchangeIfOver() {
	if exchange := p.takeover.requests.exchange; exchange != nil && exchange.HasEnded() {
		p.endExchange()
	}
}

// endExchange ends the exchange with another process. What that process had claimed may have run.
func (p *Proxy) endExchange() {
	requests := &p.takeover.requests
	if requests.exchange != nil {
		requests.exchange.Merge(p.inflight.recentIDs)
		requests.exchange.Close()
	}
	*requests = requestExchange{}
}

// claimResult says whether a request may be attempted in view of the other process.
type claimResult int

const (
	claimGranted     claimResult = iota
	claimedByOther               // the other process attempts a request with this id, or may have executed it
	claimUnavailable             // not known: the other process does not read what it is sent
)

// claimID claims the id of a request that is not idempotent, so that the other process attempts none with the same id.
func (p *Proxy) claimID(id []byte) claimResult {
	requests := &p.takeover.requests
	if !requests.claims {
		return claimGranted
	}
	if requests.awaitsIDs {
		if !requests.exchange.IsComplete() {
			return claimUnavailable
		}
		requests.awaitsIDs = false
	}
	byOther, err := requests.exchange.Claim(requestids.DigestOf(id))
	switch {
	case err != nil:
		return claimUnavailable
	case byOther:
		return claimedByOther
	}
	return claimGranted
}
