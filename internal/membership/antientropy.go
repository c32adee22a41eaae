package membership

import "time"

const (
	// statementGrace is how long a newer statement that a heartbeat announced may take to arrive by gossip before it is
	// requested.
	statementGrace = 300 * time.Millisecond
	// digestGrace is how long digests may differ without a newer statement of the sender before the full state is
	// exchanged.
	digestGrace = time.Second
	// syncInterval is the constant part of the minimum time between two exchanges that this process requests.
	syncInterval = 500 * time.Millisecond
	// syncIntervalPerProcess is added for each known process, as an exchange takes longer the more there are.
	syncIntervalPerProcess = 5 * time.Millisecond
	// smallFleetSize is the number of processes that gossip reaches within these delays. Each doubling of the size adds
	// half of the delay.
	smallFleetSize = 32
)

// syncState controls when and with which process the full state is exchanged. This anti-entropy complements the gossip
// of single statements.
type syncState struct {
	target            string        // address to exchange with after this tick; empty for none
	requestedAt       time.Duration // run time of the last request; 0 for none
	statementReceived bool          // a statement of another process has arrived
	completed         bool          // the full state of another process was merged
}

func (s *syncState) takeTarget() string {
	target := s.target
	s.target = ""
	return target
}

// SyncCompleted records that the full state of another process was merged.
func (d *Detector) SyncCompleted() { d.sync.completed = true }

// scaledDelay returns how long to wait for statements, or to collect them, given the delay that suffices in a small
// fleet. Gossip takes longer to reach a large fleet; with a fixed delay each change would make every process request
// the full state, and processes that are busy with exchanges have more changes to state in turn.
func (d *Detector) scaledDelay(base time.Duration) time.Duration {
	delay := base
	for n := smallFleetSize; n < len(d.peers.byID); n *= 2 {
		delay += base / 2
	}
	return delay
}

// requestSync schedules an exchange with a process, subject to a minimum interval.
func (d *Detector) requestSync(addr string) {
	if d.sync.target != "" {
		return
	}
	interval := syncInterval + d.scaledDelay(time.Duration(len(d.peers.byID))*syncIntervalPerProcess)
	if d.sync.requestedAt != 0 && d.runTime-d.sync.requestedAt < interval {
		return
	}
	d.sync.target = addr
	d.sync.requestedAt = d.runTime
}

// compareDigest requests an exchange with a process whose digest has differed from this one's for too long.
func (d *Detector) compareDigest(p *peer, h Heartbeat) {
	if uint32(h.Digest) == uint32(d.evaluation.digest) {
		p.digestDiffersSince = never
		return
	}
	if p.digestDiffersSince < 0 {
		p.digestDiffersSince = d.runTime
		return
	}
	differs := d.runTime - p.digestDiffersSince
	missesStatement := h.Revision > p.Revision && differs >= d.scaledDelay(statementGrace)
	if missesStatement || differs >= d.scaledDelay(digestGrace) {
		p.digestDiffersSince = never
		d.requestSync(p.Addr)
	}
}
