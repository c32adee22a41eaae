package realtime

import (
	"net/http"
	"time"

	"dahliapin/internal/emulator/coverage"
)

const (
	takeoverTimeout    = 6 * time.Second        // for a new process to say yes
	standbyTimeout     = 2 * time.Second        // for a node to take clients again
	balancerLag        = 200 * time.Millisecond // that the front sends new clients after the first no
	connsClosedTimeout = 4 * time.Second        // after the call, by which no client's connection may be held
	adminTimeout       = time.Second            // for each answer to operators
	probeInterval      = 100 * time.Millisecond // between the front's questions
)

// callAdmin makes an operators' callAdmin of a member's process.
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

// waitUntil asks until the answer is yes, and tells whether it was in time.
func (m *member) waitUntil(long time.Duration, yes func() bool) bool {
	for by := time.Now().Add(long); !yes(); time.Sleep(probeInterval / 5) {
		if time.Now().After(by) || m.rig.isClosing() {
			return m.rig.isClosing()
		}
	}
	return true
}

// fail ends the run as fail: a node did not do what its operators asked.
func (m *member) fail(what string) {
	m.rig.mu.Lock()
	defer m.rig.mu.Unlock()
	if !m.rig.closing {
		m.rig.failures = append(m.rig.failures, m.name+": "+what)
	}
}

// UpgradeNode has another process take a node's place, as the platform does; the lock is held.
func (r *Rig) UpgradeNode(number int) {
	m := r.nodes[number]
	old := m.process
	go func() {
		if err := m.start(true); err != nil {
			m.fail(err.Error())
			return
		}
		if !m.waitUntil(takeoverTimeout, func() bool { return m.callAdmin(http.MethodGet, m.adminAddr, "/status") }) {
			m.fail("the new process does not say yes")
			return
		}
		old.End()
		select {
		case <-old.Done():
		case <-time.After(r.settings.LongestDeadline + stopSlack):
			m.fail("the old process does not end")
			old.Kill()
		}
		r.takeoverDone(m)
	}()
}

// takeoverDone notes that a node's new process is alone.
func (r *Rig) takeoverDone(m *member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !m.ending {
		r.coverage.PhaseChanged(m.number, coverage.Serving)
	}
}

// StandbyNode has a node stand by, or take clients again, as operators and the front see it; the lock is held.
func (r *Rig) StandbyNode(number int, by bool) {
	m := r.nodes[number]
	r.views.RecordProcess(r.now(), m.name, !by, false) // who stands by is no member
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
			m.fail("said no to " + path)
			return
		}
		if !m.waitUntil(standbyTimeout, func() bool { return m.pool.Ready() != by }) {
			m.fail("does not tell the front of " + path)
		}
		if by {
			time.Sleep(balancerLag)
		}
		r.mu.Lock()
		m.serving = !by
		r.mu.Unlock()
		if by && !m.waitUntil(connsClosedTimeout-time.Since(begun), func() bool { return m.pool.OpenConns() == 0 }) {
			m.fail("holds clients' connections on standby")
		}
	}()
}
