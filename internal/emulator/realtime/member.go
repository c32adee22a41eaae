package realtime

import (
	"encoding/json"
	"fmt"
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/emulator/client"
	"dahliapin/internal/emulator/coverage"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/freeport"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/policy"
)

// member is one node of the run, with its clients, its discovery agent and its current process.
type member struct {
	rig         *Rig
	number      int
	name        string
	addr        string
	httpAddr    string // of its listener for HTTP clients
	adminAddr   string // of the admin listener of its current process; empty for none
	agent       *agent
	pool        *client.Pool
	process     Process
	stopped     Process         // the current process while it or its event loop is stopped, otherwise nil
	incarnation int             // number of processes started
	inFlight    map[string]bool // IDs of requests without a response
	excused     map[string]bool // IDs of requests that were in flight when the process was stopped
	counts      clientCounts
	serving     bool // clients connect to it
	reuseOnly   bool // clients use their open connections and open no new ones
	killed      bool // by the scenario; requests that were in flight are excused
	ending      bool // asked to terminate by the scenario, or because the run is over

	// freshStarts is the number of starts after the former process had ended. A request whose connection was reset is
	// excused if it was sent before the latest of them.
	freshStarts int
	// standbyEnded is closed when the node's standby ends; nil while it is not on standby.
	standbyEnded chan struct{}
	// termNextStart is the delay after which the next process is asked to terminate; 0 for never.
	termNextStart time.Duration
}

func (r *Rig) newMember(number int) (*member, error) {
	a, err := r.newAgent(number)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for emulated discovery: %w", err)
	}
	var addrs [2]string
	for i := range addrs { // the node listens on them at once, while the ports are still free
		if addrs[i], err = freeport.Free(); err != nil {
			a.close()
			return nil, err
		}
	}
	lateTolerance := scenario.SecondsToDuration(r.scenario.Allowed.LateAnswerMs / 1000)
	pool := &client.Pool{Addr: addrs[0], LateTolerance: lateTolerance}
	if r.scenario.Traffic.Protocol == listeners.ProtocolHTTP {
		pool = &client.Pool{Addr: addrs[1], HTTP: true, LateTolerance: lateTolerance}
	}
	return &member{
		rig:      r,
		number:   number,
		name:     fmt.Sprintf("n%d", number+1),
		addr:     addrs[0],
		httpAddr: addrs[1],
		agent:    a,
		pool:     pool,
		inFlight: map[string]bool{},
		excused:  map[string]bool{},
	}, nil
}

// start starts a process of the node. replaces states that the node's former process still runs and is to be replaced.
func (m *member) start(replaces bool) error {
	if m.rig.scenario.HasOperatorCalls() {
		var err error
		if m.adminAddr, err = freeport.Free(); err != nil { // a new one per process, as two may run at once
			return err
		}
	}
	configuration, err := m.configuration(m.addr, m.agent.configuredList(replaces))
	if err != nil {
		return err
	}
	number := m.number
	p, err := m.rig.starter.Start(NodeSpec{
		Name:          m.name,
		Configuration: configuration,
		Operator:      m.rig.scenario.OperatorConfig(m.httpAddr),
		Fleet:         m.rig.fleetConfig(number),
		OnRecord:      func(e eventlog.Event, at time.Time) { m.rig.onRecord(number, e, at) },
		OnTrace:       m.rig.onTraceLine,
	})
	if err != nil {
		return fmt.Errorf("cannot start node %s: %w", m.name, err)
	}
	m.rig.mu.Lock()
	if m.rig.closing { // the run has ended during the start: nothing else would kill the process
		m.rig.mu.Unlock()
		p.Kill()
		<-p.Done()
		return nil
	}
	m.process, m.killed, m.ending, m.reuseOnly = p, false, false, false
	m.rig.views.RecordProcess(m.rig.now(), m.name, true, true)
	phase := coverage.Handover
	if m.incarnation++; !replaces {
		m.freshStarts++
		phase = coverage.Starting
	}
	m.rig.coverage.PhaseChanged(m.number, phase)
	incarnation := m.incarnation
	m.rig.mu.Unlock()
	go func() {
		<-p.Done()
		m.rig.mu.Lock()
		defer m.rig.mu.Unlock()
		if m.incarnation == incarnation {
			m.rig.coverage.PhaseChanged(m.number, coverage.Down)
		}
		if m.incarnation == incarnation && !m.ending && !m.rig.stopped {
			m.serving = false
			m.rig.failures = append(m.rig.failures, m.name+": "+p.ExitReason())
		}
	}()
	return nil
}

// EndNode tells a node to terminate if orderly is true, and kills it otherwise. Clients still connect for clientsLinger
// to a node that was asked to terminate. Rig.mu must be locked.
func (r *Rig) EndNode(number int, orderly bool) {
	m := r.nodes[number]
	m.ending = true
	r.views.RecordProcess(r.now(), m.name, false, false)
	if !orderly {
		m.killed, m.serving = true, false
		r.coverage.PhaseChanged(number, coverage.Down)
		m.process.Kill()
		return
	}
	r.coverage.PhaseChanged(number, coverage.Draining)
	m.process.End()
	r.At(r.now().Add(clientsLinger), func() {
		if m.ending {
			m.serving, m.reuseOnly = false, r.scenario.Traffic.UntilKill
		}
	})
	if r.scenario.Traffic.UntilKill {
		r.killAtTheEarliest(m)
	}
}

// killAtTheEarliest kills a node that was asked to terminate at the earliest time that the shutdown protocol allows.
// Before that, it sends further reload and terminate signals. Requests that are in flight when the node is killed are
// not excused. Rig.mu must be locked.
func (r *Rig) killAtTheEarliest(m *member) {
	process := m.process
	if p, ok := process.(Reloader); ok {
		r.signalDraining(m, signalInterval, "node_reload", p.Reload)
		r.signalDraining(m, 2*signalInterval, "node_restart", process.End)
	}
	r.At(r.now().Add(r.timeToKill()), func() {
		m.reuseOnly = false
		process.Kill()
	})
}

// signalDraining sends a signal to a draining node after a delay and counts it as a fault. Rig.mu must be locked.
func (r *Rig) signalDraining(m *member, after time.Duration, fault coverage.Fault, send func()) {
	r.At(r.now().Add(after), func() {
		r.coverage.FaultBegan(fault, []int{m.number})()
		send()
	})
}

// TerminateNextStart makes the node's next process receive a request to terminate at a delay after its start. Rig.mu
// must be locked.
func (r *Rig) TerminateNextStart(number int, after time.Duration) {
	r.nodes[number].termNextStart = after
}

// StartNode starts a node's next process once the former one has exited. Rig.mu must be locked.
func (r *Rig) StartNode(number int) {
	m := r.nodes[number]
	go func() {
		<-m.process.Done()
		if r.isClosing() || !m.startNext() {
			return
		}
		for !m.pool.Ready() {
			if r.isClosing() {
				return
			}
			time.Sleep(pollInterval)
		}
		r.mu.Lock()
		m.serving = true
		r.coverage.PhaseChanged(number, coverage.Serving)
		r.mu.Unlock()
	}()
}

// startNext starts the node's next process and reports whether it runs. If TerminateNextStart was called, it terminates
// that process during its start and then starts another one.
func (m *member) startNext() bool {
	m.rig.mu.Lock()
	termAfter := m.termNextStart
	m.termNextStart = 0
	m.rig.mu.Unlock()
	err := m.start(false)
	if err == nil && termAfter > 0 && !m.rig.isClosing() {
		m.terminateStart(termAfter)
		err = m.start(false)
	}
	if err != nil {
		m.rig.mu.Lock()
		m.rig.failures = append(m.rig.failures, err.Error())
		m.rig.mu.Unlock()
	}
	return err == nil
}

// terminateStart tells a starting process to terminate, and waits for its exit. It kills a process that does not exit
// within the time that the shutdown protocol allows.
func (m *member) terminateStart(after time.Duration) {
	time.Sleep(after)
	m.rig.mu.Lock()
	process := m.process
	m.rig.coverage.FaultBegan("node_term_start", []int{m.number})()
	m.ending = true
	m.rig.coverage.PhaseChanged(m.number, coverage.Draining)
	process.End()
	m.rig.mu.Unlock()
	select {
	case <-process.Done():
	case <-time.After(m.rig.timeToKill()):
		process.Kill()
		<-process.Done()
		m.fail("did not exit in time after it was asked to terminate during its start")
	}
}

// timeToKill returns the delay after which a process that was asked to terminate may be killed.
func (r *Rig) timeToKill() time.Duration {
	return min(r.settings.LongestDeadline, maxDeadlineAtStop) + killDelay
}

func (r *Rig) isClosing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closing
}

// stop ends the node's process at the end of the run, and kills it if it does not exit in time.
func (m *member) stop() {
	m.rig.mu.Lock()
	m.ending, m.serving = true, false
	p := m.process
	m.rig.mu.Unlock()
	if p == nil {
		return
	}
	p.End()
	m.pool.Close() // the node waits for idle clients otherwise
	select {
	case <-p.Done():
	case <-time.After(m.rig.settings.LongestDeadline + stopSlack):
		p.Kill()
		<-p.Done()
	}
}

// configuration encodes the configuration of a process that listens on an address, with an endpoint list as known.
func (m *member) configuration(listen string, endpoints []policy.Endpoint) ([]byte, error) {
	adminAddr := m.adminAddr
	if listen != m.addr { // a duplicate process needs no admin listener
		adminAddr = ""
	}
	m.rig.mu.Lock()
	m.rig.noteStarts(endpoints)
	m.rig.mu.Unlock()
	// The seed differs between scenarios, nodes and processes of a node.
	seed := m.rig.scenario.Seed*7919 + int64(m.number)*31 + int64(m.incarnation)
	return json.Marshal(map[string]any{
		"ops":       adminAddr,
		"name":      m.name,
		"listen":    listen,
		"discovery": m.agent.addr,
		"seed":      fmt.Sprintf("%x", seed),
		"limits":    map[string]int{"memory_mb": 192, "sockets": 1024},
		"settings":  m.rig.scenario.Settings(m.rig.scenario.ZoneOf(m.number)),
		"known":     json.RawMessage(m.rig.encodeList(0, true, endpoints)),
	})
}
