package membership

import "time"

const (
	// maxReplies limits the heartbeats that are sent on request between two ticks.
	maxReplies = 32
	// probeInterval is the time between two probes of addresses at which no process is known.
	probeInterval = 2 * time.Second
)

// heartbeatSchedule tracks when heartbeats are due and who requested one.
type heartbeatSchedule struct {
	dueAt          time.Duration // run time of the next heartbeats to neighbours
	probedAt       time.Duration // run time of the last probe of an address at which no process is known
	replyTo        []string      // addresses that requested a heartbeat since the last tick
	loopCount      uint64        // latest value passed to LoopAdvanced
	loopAdvancedAt time.Duration // run time when loopCount last changed
}

// LoopAdvanced reports the number of iterations of the event loop that serves clients. While the count stays the same
// for longer than [Config].LoopTimeout, this process sends no heartbeats.
func (d *Detector) LoopAdvanced(count uint64) {
	if count != d.heartbeats.loopCount {
		d.heartbeats.loopCount = count
		d.heartbeats.loopAdvancedAt = d.runTime
	}
}

// OnHeartbeat handles a heartbeat from another process. If the process is unknown, the full state is exchanged with it.
func (d *Detector) OnHeartbeat(h Heartbeat) {
	if h.Process == d.self.Process || h.Process == 0 || len(h.Addr) > MaxAddrBytes || h.Addr == "" {
		return
	}
	if h.WantsReply && len(d.heartbeats.replyTo) < maxReplies {
		d.heartbeats.replyTo = append(d.heartbeats.replyTo, h.Addr)
	}
	p := d.peers.byID[h.Process]
	if p == nil {
		if !d.contacts.isOld(h.Process, h.Revision) {
			d.requestSync(h.Addr)
		}
		return
	}
	p.heard = true
	p.lastHeartbeat = d.runTime
	p.setIsolated(h.Isolated, d.runTime)
	d.compareDigest(p, h)
}

// scheduleHeartbeats adds the heartbeats and probes that are due.
func (d *Detector) scheduleHeartbeats(actions *Actions) {
	replyTo := d.heartbeats.replyTo
	d.heartbeats.replyTo = nil
	// A process that still gossips while its clients get no answer would otherwise stay a member. Without its
	// heartbeats the neighbours miss it and it is removed.
	loopStalled := d.rules.stopOnStalledLoop && d.runTime-d.heartbeats.loopAdvancedAt > d.config.LoopTimeout
	if loopStalled || d.self.Leaving {
		return
	}
	actions.ReplyTo = replyTo
	if d.runTime >= d.heartbeats.dueAt {
		interval := d.config.HeartbeatInterval
		d.heartbeats.dueAt = max(d.heartbeats.dueAt+interval, d.runTime+interval/2)
		for _, p := range d.neighbours.peers {
			actions.HeartbeatTo = append(actions.HeartbeatTo, p.Addr)
		}
		if d.self.Incarnation == 0 { // the process that has this name may not be a neighbour
			for _, p := range d.namesakes() {
				actions.ProbeTo = append(actions.ProbeTo, p.Addr)
			}
		}
	}
	if d.runTime-d.heartbeats.probedAt >= probeInterval {
		d.heartbeats.probedAt = d.runTime
		if addr := d.unknownContact(); addr != "" {
			actions.ProbeTo = append(actions.ProbeTo, addr)
		}
	}
}

// unknownContact picks an address at which no process is known. After a partition that lasted until each side had
// forgotten the other, neither side would otherwise try to reach the other again.
func (d *Detector) unknownContact() string {
	addrs := d.contacts.unknown(d.peers.byID)
	if len(addrs) == 0 {
		return ""
	}
	return addrs[int(d.random.Float64()*float64(len(addrs)))]
}

// silence returns how long a neighbour has sent nothing to this process.
func (d *Detector) silence(p *peer) time.Duration { return d.runTime - p.silentSince() }

// isHeard reports whether a process is a neighbour whose heartbeats arrive here.
func (d *Detector) isHeard(p *peer) bool {
	return p.isNeighbour && p.heard && d.silence(p) < d.config.HeartbeatTimeout
}
