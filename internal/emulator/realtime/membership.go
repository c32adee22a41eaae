package realtime

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/freeport"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/membership/trace"
	"dahliapin/internal/proxy/eventlog"
)

// duplicateExitTimeout is the time within which a process must exit if another process has its node name.
const duplicateExitTimeout = 15 * time.Second

// openLinks opens a listener of the fault forwarder for each ordered pair of nodes, if the nodes of the scenario are
// members of a fleet.
func (r *Rig) openLinks() error {
	if r.scenario.Membership == nil {
		return nil
	}
	r.bootTime = gossip.BootTime()
	r.views = checker.NewViews(r.scenario.Fleet.Nodes)
	r.forwarder = netfault.NewForwarder(netfault.New(uint32(r.scenario.Seed)))
	for range r.scenario.Fleet.Nodes {
		at, err := freeport.Free()
		if err != nil {
			return err
		}
		r.gossipAddrs = append(r.gossipAddrs, at)
	}
	r.linkAddrs = make([]map[string]string, len(r.gossipAddrs))
	for from := range r.gossipAddrs {
		r.linkAddrs[from] = map[string]string{}
		for to, at := range r.gossipAddrs {
			if from == to {
				continue
			}
			link, err := r.forwarder.Listen(from, to, at)
			if err != nil {
				return err
			}
			r.linkAddrs[from][at] = link
		}
	}
	return nil
}

// fleetLabel returns a fleet label that is unique to the run, as nodes of another run may still send to a port that
// this run reuses.
func (r *Rig) fleetLabel() string {
	return fmt.Sprintf("%s-%d-%d", r.scenario.Name, os.Getpid(), r.bootTime)
}

// fleetConfig returns the fleet configuration of a node, or nil if nodes are not members of a fleet.
func (r *Rig) fleetConfig(number int) []byte {
	if r.forwarder == nil {
		return nil
	}
	return r.scenario.FleetConfig(number, r.fleetLabel(), r.gossipAddrs, r.linkAddrs[number])
}

// onTraceLine adds a line of a process's membership trace to the recorded views. It ignores invalid lines.
func (r *Rig) onTraceLine(text []byte) {
	var l trace.Line
	if json.Unmarshal(text, &l) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.views.AddLine(epoch.Add(l.At.Since(r.bootTime)), l)
	}
}

// PauseNode stops a node's process or lets it continue. The requests in flight are excused, and clients send no new
// ones while it is stopped, as a load balancer would detect the pause at once. The event tests membership, not answers
// to clients. Rig.mu must be locked.
func (r *Rig) PauseNode(number int, stop bool) { r.stopOrContinue(number, stop, Pauser.Pause) }

// HangNode blocks a node's event loop while the rest of its process runs, or lets it continue. Rig.mu must be locked.
func (r *Rig) HangNode(number int, stop bool) { r.stopOrContinue(number, stop, Pauser.Hang) }

// stopOrContinue implements PauseNode and HangNode. Rig.mu must be locked.
func (r *Rig) stopOrContinue(number int, stop bool, do func(Pauser, bool)) {
	m := r.nodes[number]
	p, ok := m.process.(Pauser)
	switch {
	case !ok:
		r.failures = append(r.failures, m.name+": an embedded node cannot be stopped")
		return
	case m.ending, stop && m.stopped != nil, !stop && m.stopped != m.process:
		return // ending, stopped already, or the current process was started after the stop
	}
	if m.stopped = nil; stop {
		m.stopped, m.serving = m.process, false
		for id := range m.inFlight {
			r.checker.Forget(id)
			m.excused[id] = true
		}
	}
	do(p, stop)
	r.views.RecordProcess(r.now(), m.name, !stop, false)
	if !stop {
		r.At(r.now().Add(r.settings.LongestDeadline), func() {
			if !m.ending {
				m.serving = true
			}
		})
	}
}

// StartDuplicateNode starts another process with a node's name but other addresses. That process must exit by itself,
// as the name is in use. Rig.mu must be locked.
func (r *Rig) StartDuplicateNode(number int) {
	m := r.nodes[number]
	go func() {
		p, err := m.startDuplicate()
		if err != nil {
			m.fail(err.Error())
			return
		}
		select {
		case <-p.Done():
			if !strings.Contains(p.ExitReason(), "has the name") {
				m.fail("its duplicate process exited for another reason than its name: " + p.ExitReason())
			}
		case <-time.After(duplicateExitTimeout):
			m.fail(fmt.Sprintf("its duplicate process did not exit within %v; killing it", duplicateExitTimeout))
			p.Kill()
			<-p.Done()
		}
	}()
}

// startDuplicate starts a process with the node's name. No client connects to it.
func (m *member) startDuplicate() (Process, error) {
	gossipAddr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	listenAddr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	configuration, err := m.configuration(listenAddr, m.agent.configuredList(false))
	if err != nil {
		return nil, err
	}
	gossipAddrs := slices.Clone(m.rig.gossipAddrs)
	gossipAddrs[m.number] = gossipAddr
	return m.rig.starter.Start(NodeSpec{
		Name:          m.name + "-twin", // names its files only; the node's name is in the configuration
		Configuration: configuration,
		Fleet:         m.rig.scenario.FleetConfig(m.number, m.rig.fleetLabel(), gossipAddrs, nil),
		OnRecord:      func(eventlog.Event, time.Time) {},
		OnTrace:       func([]byte) {},
	})
}

// ChangeLink changes the faults of the link from one node to another. Rig.mu must be locked.
func (r *Rig) ChangeLink(from, to int, change func(*netfault.Link)) {
	r.forwarder.Change(from, to, func(link *netfault.Link) {
		was := link.Cut
		if change(link); link.Cut != was {
			r.views.RecordCut(r.now(), from, to, link.Cut)
		}
	})
}
