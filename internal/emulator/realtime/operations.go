package realtime

import (
	"net/http"
	"time"

	"dahliapin/internal/emulator/coverage"
)

const (
	takeoverTimeout    = 6 * time.Second        // for a new process to be ready
	standbyTimeout     = 2 * time.Second        // for a node to enter or leave standby
	balancerLag        = 200 * time.Millisecond // that the load balancer takes after the first failed check
	connsClosedTimeout = 4 * time.Second        // after the call, by which all client connections must be closed
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

// waitUntil polls a condition, and reports whether it held within the time. It also returns true once the run is
// closing.
func (m *member) waitUntil(long time.Duration, yes func() bool) bool {
	for by := time.Now().Add(long); !yes(); time.Sleep(probeInterval / 5) {
		if time.Now().After(by) || m.rig.isClosing() {
			return m.rig.isClosing()
		}
	}
	return true
}

// fail records that a node did not do what its operator asked, which fails the run.
func (m *member) fail(what string) {
	m.rig.mu.Lock()
	defer m.rig.mu.Unlock()
	if !m.rig.closing {
		m.rig.failures = append(m.rig.failures, m.name+": "+what)
	}
}

// UpgradeNode replaces a node's process by a new one, as the platform does. The lock is held.
func (r *Rig) UpgradeNode(number int) {
	m := r.nodes[number]
	old := m.process
	go func() {
		if err := m.start(true); err != nil {
			m.fail(err.Error())
			return
		}
		if !m.waitUntil(takeoverTimeout, func() bool { return m.callAdmin(http.MethodGet, m.adminAddr, "/status") }) {
			m.fail("the new process is not ready in time")
			return
		}
		old.End()
		select {
		case <-old.Done():
		case <-time.After(r.settings.LongestDeadline + stopSlack):
			m.fail("the old process does not exit in time; killing it")
			old.Kill()
		}
		r.takeoverDone(m)
	}()
}

// takeoverDone records that the new process serves alone.
func (r *Rig) takeoverDone(m *member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !m.ending {
		r.coverage.PhaseChanged(m.number, coverage.Serving)
	}
}

// StandbyNode puts a node on standby or ends that, and checks what operators and the load balancer see. The lock is
// held.
func (r *Rig) StandbyNode(number int, by bool) {
	m := r.nodes[number]
	r.views.RecordProcess(r.now(), m.name, !by, false) // a node on standby is not a member
	if by {
		r.coverage.PhaseChanged(number, coverage.Standby)
	} else {
		r.coverage.PhaseChanged(number, coverage.Serving)
	}
	go func() {
		path, begun := "/active", time.Now()
		if by {
			path = "/standby"
		}
		if !m.callAdmin(http.MethodPut, m.adminAddr, path) {
			m.fail("refused PUT " + path)
			return
		}
		if !m.waitUntil(standbyTimeout, func() bool { return m.pool.Ready() != by }) {
			m.fail("its readiness does not follow PUT " + path)
		}
		if by {
			time.Sleep(balancerLag)
		}
		r.mu.Lock()
		m.serving = !by
		r.mu.Unlock()
		if by && !m.waitUntil(connsClosedTimeout-time.Since(begun), func() bool { return m.pool.OpenConns() == 0 }) {
			m.fail("still holds client connections on standby")
		}
	}()
}
