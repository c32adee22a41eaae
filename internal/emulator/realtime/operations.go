package realtime

import (
	"fmt"
	"net/http"
	"time"

	"dahliapin/internal/emulator/coverage"
)

const (
	takeoverTimeout    = 6 * time.Second        // for a new process to be ready
	standbyTimeout     = 2 * time.Second        // for a node's readiness to follow a change of standby
	balancerLag        = 200 * time.Millisecond // from the first failed check until the load balancer removes a node
	connsClosedTimeout = 4 * time.Second        // from the standby call until all client connections must be closed
	adminTimeout       = time.Second            // per call of the admin listener
	probeInterval      = 100 * time.Millisecond // between the load balancer's checks
)

// callAdmin calls the admin listener of a node, and reports whether the answer has a 2xx status.
func (m *member) callAdmin(method, at, path string) bool {
	q, err := http.NewRequest(method, "http://"+at+path, nil)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode/100 == 2
}

// waitUntil polls a condition and reports whether it became true within the timeout. If the run closes meanwhile, it
// returns true, so that no failure is reported.
func (m *member) waitUntil(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(probeInterval / 5) {
		if time.Now().After(deadline) || m.rig.isClosing() {
			return m.rig.isClosing()
		}
	}
	return true
}

// fail records that a node did not do what was requested, which fails the run unless it is closing.
func (m *member) fail(what string) {
	m.rig.mu.Lock()
	defer m.rig.mu.Unlock()
	if !m.rig.closing {
		m.rig.failures = append(m.rig.failures, m.name+": "+what)
	}
}

// UpgradeNode starts a new process of a node, and tells the old one to terminate once the new one is ready, as the
// deployment platform does. Rig.mu must be locked.
func (r *Rig) UpgradeNode(number int) {
	m := r.nodes[number]
	old := m.process
	go func() {
		if err := m.start(true); err != nil {
			m.fail(err.Error())
			return
		}
		if !m.waitUntil(takeoverTimeout, func() bool { return m.callAdmin(http.MethodGet, m.adminAddr, "/status") }) {
			m.fail(fmt.Sprintf("its new process was not ready within %v", takeoverTimeout))
			return
		}
		old.End()
		select {
		case <-old.Done():
		case <-time.After(r.settings.LongestDeadline + stopSlack):
			m.fail("its old process did not exit in time after the upgrade; killing it")
			old.Kill()
		}
		r.takeoverDone(m)
	}()
}

// takeoverDone records that only the new process serves.
func (r *Rig) takeoverDone(m *member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !m.ending {
		r.coverage.PhaseChanged(m.number, coverage.Serving)
	}
}

// StandbyNode puts a node on standby or makes it active again. It checks the answer to the admin call, the node's
// readiness, and that a node which stays on standby closes its client connections. Rig.mu must be locked.
func (r *Rig) StandbyNode(number int, standby bool) {
	m := r.nodes[number]
	r.views.RecordProcess(r.now(), m.name, !standby, false) // a node on standby is not a member
	if standby {
		r.coverage.PhaseChanged(number, coverage.Standby)
	} else {
		r.coverage.PhaseChanged(number, coverage.Serving)
	}
	standbyEnded := m.recordStandby(standby)
	go func() {
		path, startedAt := "/active", time.Now()
		if standby {
			path = "/standby"
		}
		if !m.callAdmin(http.MethodPut, m.adminAddr, path) {
			m.fail("no 2xx response to PUT " + path)
			return
		}
		if !m.waitUntil(standbyTimeout, func() bool { return m.pool.Ready() != standby }) {
			m.fail(fmt.Sprintf("its readiness did not follow PUT %s within %v", path, standbyTimeout))
		}
		if standby {
			time.Sleep(balancerLag)
		}
		r.mu.Lock()
		m.serving = !standby
		r.mu.Unlock()
		if standby && !m.closesConns(connsClosedTimeout-time.Since(startedAt), standbyEnded) {
			m.fail(fmt.Sprintf("still has client connections %v after PUT %s", connsClosedTimeout, path))
		}
	}()
}

// recordStandby returns the channel that is closed when the node's standby ends. Rig.mu must be locked.
func (m *member) recordStandby(standby bool) (ended <-chan struct{}) {
	if standby && m.standbyEnded == nil {
		m.standbyEnded = make(chan struct{})
	}
	ended = m.standbyEnded
	if !standby && m.standbyEnded != nil {
		close(m.standbyEnded)
		m.standbyEnded = nil
	}
	return ended
}

// closesConns waits until a node on standby has closed its client connections, and reports whether it has done so
// within the timeout. A node that is made active before may keep those that it still has, and gets new ones.
func (m *member) closesConns(timeout time.Duration, standbyEnded <-chan struct{}) bool {
	return m.waitUntil(timeout, func() bool {
		select {
		case <-standbyEnded:
			return true
		default:
			return m.pool.OpenConns() == 0
		}
	})
}
