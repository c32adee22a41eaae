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

// member is one node of the run and what stands on its machine.
type member struct {
	r       *Rig
	number  int
	name    string
	addr    string
	http    string // where it takes clients by HTTP
	ops     string // where operators call its process; empty for nowhere
	agent   *agent
	pool    *client.Pool
	process Process
	stands  Process // the same while it is made to stand still, or its loop; else nil
	life    int
	asks    map[string]bool // in hand
	excused map[string]bool // of these, those that it stood still with
	lives   int             // of these, those that began after the one before had ended: what was in hand then is excused
	figures figures
	serving bool // clients come to it
	parting bool // clients use the connections that they have, and make no new ones
	killed  bool // by the script: what it had in hand is excused
	ending  bool // by the script, or since the run is over

	termNextStart time.Duration // after which its next process is told to end; 0 for not
}

func (r *Rig) newMember(number int) (*member, error) {
	a, err := r.newAgent(number)
	if err != nil {
		return nil, fmt.Errorf("discovery cannot listen: %w", err)
	}
	var addrs [2]string
	for i := range addrs { // the node takes them right away
		if addrs[i], err = freeport.Free(); err != nil {
			a.close()
			return nil, err
		}
	}
	beyond := scenario.SecondsToDuration(r.scenario.Allowed.LateAnswerMs / 1000)
	pool := &client.Pool{Addr: addrs[0], LateTolerance: beyond}
	if r.scenario.Traffic.Protocol == listeners.ProtocolHTTP {
		pool = &client.Pool{Addr: addrs[1], HTTP: true, LateTolerance: beyond}
	}
	return &member{r: r, number: number, name: fmt.Sprintf("n%d", number+1), addr: addrs[0], http: addrs[1], agent: a, pool: pool, asks: map[string]bool{}, excused: map[string]bool{}}, nil
}

// start starts its node, with the list as its agent last had it.
func (m *member) start(replaces bool) error {
	if m.r.scenario.HasOperatorCalls() {
		var err error
		if m.ops, err = freeport.Free(); err != nil { // new for each process: two may be up at once
			return err
		}
	}
	configuration, err := m.configuration(m.addr)
	if err != nil {
		return err
	}
	number := m.number
	p, err := m.r.starter.Start(NodeSpec{Name: m.name, Configuration: configuration, Operator: m.r.scenario.OperatorConfig(m.http), Fleet: m.r.charter(number),
		OnRecord: func(e eventlog.Event, at time.Time) { m.r.note(number, e, at) }, OnTrace: m.r.traced})
	if err != nil {
		return fmt.Errorf("node %s does not start: %w", m.name, err)
	}
	m.r.mu.Lock()
	if m.r.closing { // the run has ended while it started: nobody else would end it
		m.r.mu.Unlock()
		p.Kill()
		<-p.Done()
		return nil
	}
	m.process, m.killed, m.ending, m.parting = p, false, false, false
	m.r.views.RecordProcess(m.r.now(), m.name, true, true)
	phase := coverage.Handover
	if m.life++; !replaces {
		m.lives++
		phase = coverage.Starting
	}
	m.r.coverage.PhaseChanged(m.number, phase)
	life := m.life
	m.r.mu.Unlock()
	go func() {
		<-p.Done()
		m.r.mu.Lock()
		defer m.r.mu.Unlock()
		if m.life == life {
			m.r.coverage.PhaseChanged(m.number, coverage.Down)
		}
		if m.life == life && !m.ending && !m.r.stopped {
			m.serving = false
			m.r.deaths = append(m.r.deaths, m.name+": "+p.ExitReason())
		}
	}()
	return nil
}

// EndNode ends a node, and its clients stop coming soon after; the lock is held.
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
			m.serving, m.parting = false, r.scenario.Traffic.UntilKill
		}
	})
	if r.scenario.Traffic.UntilKill {
		r.killAtTheEarliest(m)
	}
}

// killAtTheEarliest kills a node that was told to end, as soon as the protocol allows it, and sends it further signals meanwhile; the lock is held.
// What its clients have in hand by then is not excused.
func (r *Rig) killAtTheEarliest(m *member) {
	process := m.process
	if p, can := process.(Reloader); can {
		r.signalDraining(m, signalInterval, "node_reload", p.Reload)
		r.signalDraining(m, 2*signalInterval, "node_restart", process.End)
	}
	r.At(r.now().Add(r.timeToKill()), func() {
		m.parting = false
		process.Kill()
	})
}

// signalDraining sends a further signal to a node that was told to end, and counts what it meets; the lock is held.
func (r *Rig) signalDraining(m *member, after time.Duration, fault coverage.Fault, send func()) {
	r.At(r.now().Add(after), func() {
		r.coverage.FaultBegan(fault, []int{m.number})()
		send()
	})
}

// TerminateNextStart has the node's next process told to end so long after it was started; the lock is held.
func (r *Rig) TerminateNextStart(number int, after time.Duration) {
	r.nodes[number].termNextStart = after
}

// StartNode starts it anew once the old one has ended; the lock is held.
func (r *Rig) StartNode(number int) {
	m := r.nodes[number]
	go func() {
		<-m.process.Done()
		if r.over() || !m.startAnew() {
			return
		}
		for !m.pool.Ready() {
			if r.over() {
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

// startAnew starts the node's next process, and yet another one where that is to be told to end while it starts. It
// tells whether a process runs.
func (m *member) startAnew() bool {
	m.r.mu.Lock()
	termAfter := m.termNextStart
	m.termNextStart = 0
	m.r.mu.Unlock()
	err := m.start(false)
	if err == nil && termAfter > 0 && !m.r.over() {
		m.terminateStart(termAfter)
		err = m.start(false)
	}
	if err != nil {
		m.r.mu.Lock()
		m.r.deaths = append(m.r.deaths, err.Error())
		m.r.mu.Unlock()
	}
	return err == nil
}

// terminateStart tells a process that starts to end, and waits until it has. One that does not end within the time of
// the protocol is killed.
func (m *member) terminateStart(after time.Duration) {
	time.Sleep(after)
	m.r.mu.Lock()
	process := m.process
	m.r.coverage.FaultBegan("node_term_start", []int{m.number})()
	m.ending = true
	m.r.coverage.PhaseChanged(m.number, coverage.Draining)
	process.End()
	m.r.mu.Unlock()
	select {
	case <-process.Done():
	case <-time.After(m.r.timeToKill()):
		process.Kill()
		<-process.Done()
		m.failed("told to end while it started, it did not end in time")
	}
}

// timeToKill is after how long a process that was told to end may be killed.
func (r *Rig) timeToKill() time.Duration {
	return min(r.settings.LongestDeadline, maxDeadlineAtStop) + killDelay
}

func (r *Rig) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closing
}

// stop ends its node, as hard as it takes.
func (m *member) stop() {
	m.r.mu.Lock()
	m.ending, m.serving = true, false
	p := m.process
	m.r.mu.Unlock()
	if p == nil {
		return
	}
	p.End()
	m.pool.Close() // or it would wait for idle clients
	select {
	case <-p.Done():
	case <-time.After(m.r.settings.LongestDeadline + stopSlack):
		p.Kill()
		<-p.Done()
	}
}

// configuration is what its process is told, with the list as its agent last had it.
func (m *member) configuration(listen string) ([]byte, error) {
	ops := m.ops
	if listen != m.addr { // a twin, which no operator calls
		ops = ""
	}
	var held []policy.Endpoint
	m.agent.mu.Lock()
	for _, id := range m.agent.order {
		if e := m.agent.latest[id]; e.Lifecycle != policy.Removed {
			held = append(held, e)
		}
	}
	m.agent.mu.Unlock()
	return json.Marshal(map[string]any{"ops": ops, "name": m.name, "listen": listen, "discovery": m.agent.addr,
		"seed": fmt.Sprintf("%x", m.r.scenario.Seed*7919+int64(m.number)*31+int64(m.life)), "limits": map[string]int{"memory_mb": 192, "sockets": 1024},
		"settings": m.r.scenario.Settings(m.r.scenario.ZoneOf(m.number)), "known": json.RawMessage(m.r.list(0, true, held))})
}
