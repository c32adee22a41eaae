package membership

import "time"

const (
	// statementGrace is the time that a newer statement, announced by a heartbeat, has to arrive by gossip before it is
	// asked for.
	statementGrace = 300 * time.Millisecond
	// digestGrace is the same for digests that differ without a newer statement of the sender.
	digestGrace = time.Second
	// syncInterval is the shortest time between two exchanges that this process asks for, in a fleet of no size.
	syncInterval = 500 * time.Millisecond
	// syncIntervalPerProcess is added to it for each process known: an exchange is that much longer.
	syncIntervalPerProcess = 5 * time.Millisecond
	// smallFleetSize is the number of processes that gossip reaches within these spans; each time as many take half as long
	// again.
	smallFleetSize = 32
)

// syncState says when and with which process the full state is exchanged: anti-entropy, beside the gossip of single
// statements.
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

// SyncCompleted reports that the full state of another process was merged.
func (d *Detector) SyncCompleted() { d.sync.completed = true }

// scaledDelay is how long to wait for statements, or to gather them, where base is enough in a small fleet. Guards against
// a large fleet in which each change has every process ask for the full state: gossip takes longer to reach all the
// more there are, and a process that is busy with exchanges has more to state that has to reach all.
func (d *Detector) scaledDelay(base time.Duration) time.Duration {
	delay := base
	for n := smallFleetSize; n < len(d.peers.byID); n *= 2 {
		delay += base / 2
	}
	return delay
}

// requestSync asks for an exchange with a process, not too often.
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

// compareDigest asks for an exchange with a process whose digest has been another than this one's for long enough.
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
