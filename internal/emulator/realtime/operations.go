package realtime

import (
	"net/http"
	"time"

	"dahliapin/internal/emulator/coverage"
)

const (
	yesBy     = 6 * time.Second        // for a new process to say yes
	backBy    = 2 * time.Second        // for a node to take clients again
	frontLags = 200 * time.Millisecond // that the front sends new clients after the first no
	leftBy    = 4 * time.Second        // after the call, by which no client's connection may be held
	callBy    = time.Second            // for each answer to operators
	askEach   = 100 * time.Millisecond // between the front's questions
)

// call makes an operators' call of a member's process.
func (m *member) call(method, at, path string) bool {
	q, err := http.NewRequest(method, "http://"+at+path, nil)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: callBy, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode/100 == 2
}

// within asks until the answer is yes, and tells whether it was in time.
func (m *member) within(long time.Duration, yes func() bool) bool {
	for by := time.Now().Add(long); !yes(); time.Sleep(askEach / 5) {
		if time.Now().After(by) || m.r.over() {
			return m.r.over()
		}
	}
	return true
}

// failed ends the run as failed: a node did not do what its operators asked.
func (m *member) failed(what string) {
	m.r.mu.Lock()
	defer m.r.mu.Unlock()
	if !m.r.closing {
		m.r.deaths = append(m.r.deaths, m.name+": "+what)
	}
}

// UpgradeNode has another process take a node's place, as the platform does; the lock is held.
func (r *Rig) UpgradeNode(number int) {
	m := r.nodes[number]
	old := m.process
	go func() {
		if err := m.start(true); err != nil {
			m.failed(err.Error())
			return
		}
		if !m.within(yesBy, func() bool { return m.call(http.MethodGet, m.ops, "/status") }) {
			m.failed("the new process does not say yes")
			return
		}
		old.End()
		select {
		case <-old.Done():
		case <-time.After(r.settings.LongestDeadline + stopSlack):
			m.failed("the old process does not end")
			old.Kill()
		}
		r.handedOver(m)
	}()
}

// handedOver notes that a node's new process is alone.
func (r *Rig) handedOver(m *member) {
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
		if !m.call(http.MethodPut, m.ops, path) {
			m.failed("said no to " + path)
			return
		}
		if !m.within(backBy, func() bool { return m.pool.Ready() != by }) {
			m.failed("does not tell the front of " + path)
		}
		if by {
			time.Sleep(frontLags)
		}
		r.mu.Lock()
		m.serving = !by
		r.mu.Unlock()
		if by && !m.within(leftBy-time.Since(begun), func() bool { return m.pool.OpenConns() == 0 }) {
			m.failed("holds clients' connections on standby")
		}
	}()
}
