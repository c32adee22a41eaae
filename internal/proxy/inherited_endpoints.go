package proxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/policy"
)

// inheritedStateTimeout is how long a successor waits for an endpoint list from its predecessor or from discovery
// before it serves by the last known list, which is older than the list that the predecessor serves by. Operators
// expect the successor to serve within 6 s.
const inheritedStateTimeout = 5 * time.Second

// applyInheritedEndpoints applies the list that the predecessor holds, if it is newer than the list of this process.
// Versions of different discoveries cannot be compared: then the list is used only until discovery has answered.
func (p *Proxy) applyInheritedEndpoints(state []byte) {
	watch := &p.endpoints.watch
	list, err := watch.reader.Read(state)
	if err != nil {
		p.config.Log.WithError(err).Warn("predecessor's endpoint list is unreadable")
		return
	}
	isComparable := list.HasVersion && list.Source == p.config.Discovery
	hasPolled := watch.updatedAt != 0
	isNewer := isComparable && list.Version > p.endpoints.history.newest
	if list.Len() > 0 && (isNewer || !hasPolled) {
		p.config.Log.WithFields(logrus.Fields{"endpoints": list.Len(), "version": list.Version}).
			Info("applying the predecessor's endpoint list")
		p.applyEndpointList(&list, policy.LastKnownUpdate)
		if isComparable {
			p.followInheritedVersion(list.Version)
		}
	}
	p.stopAwaitingEndpoints()
}

// followInheritedVersion polls for updates since the version of the predecessor's list. A poll that is under way is
// repeated if it waits for a later version: the list of the configuration may be that of another discovery, whose
// versions are higher.
func (p *Proxy) followInheritedVersion(version int) {
	watch := &p.endpoints.watch
	watch.poller.SetVersion(version)
	p.endpoints.history.setNewest(version)
	conn := p.upstream.conns.Get(watch.conn)
	if conn != nil && !watch.poll.Complete && watch.poll.SinceVersion > version {
		p.dropConn(conn)
		p.startWatch()
	}
}

// stopAwaitingEndpoints lets a successor serve by the list that it has.
func (p *Proxy) stopAwaitingEndpoints() {
	if !p.takeover.awaitsEndpoints {
		return
	}
	p.takeover.awaitsEndpoints = false
	p.serveAfterDelay()
}

// sendEndpointsToSuccessor sends the list to a successor that has requested it.
func (p *Proxy) sendEndpointsToSuccessor() {
	if !p.takeover.successorHasState {
		return
	}
	snapshot := p.snapshotEndpoints()
	state, err := snapshot.Marshal()
	if err != nil {
		p.config.Log.WithError(err).Warn("endpoint list cannot be passed on to the successor process")
		return
	}
	p.takeover.offer.SendState(state)
}
