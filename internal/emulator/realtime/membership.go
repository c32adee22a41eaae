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

const duplicateExitTimeout = 15 * time.Second // for a process that finds its name taken

// openLinks opens what is between the nodes, where they know one another: a door for each ordered pair.
func (r *Rig) openLinks() error {
	if r.scenario.Together == nil {
		return nil
	}
	r.bootTime = gossip.BootTime()
	r.views = checker.NewViews(r.scenario.Fleet.Nodes)
	r.faults = netfault.NewForwarder(netfault.New(uint32(r.scenario.Seed)))
	for range r.scenario.Fleet.Nodes {
		at, err := freeport.Free()
		if err != nil {
			return err
		}
		r.gossipAddrs = append(r.gossipAddrs, at)
	}
	r.proxies = make([]map[string]string, len(r.gossipAddrs))
	for from := range r.gossipAddrs {
		r.proxies[from] = map[string]string{}
		for to, at := range r.gossipAddrs {
			if from == to {
				continue
			}
			link, err := r.faults.Listen(from, to, at)
			if err != nil {
				return err
			}
			r.proxies[from][at] = link
		}
	}
	return nil
}

// fleetLabel is the run's own: a port that another run had may still be written to.
func (r *Rig) fleetLabel() string {
	return fmt.Sprintf("%s-%d-%d", r.scenario.Name, os.Getpid(), r.bootTime)
}

func (r *Rig) fleetConfig(number int) []byte {
	if r.faults == nil {
		return nil
	}
	return r.scenario.Charter(number, r.fleetLabel(), r.gossipAddrs, r.proxies[number])
}

// onTraceLine hears a line of a process's trace.
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

// PauseNode has a node's process stand still, or go on; the lock is held. What it had in hand is excused, and nobody comes to it
// meanwhile: who would be in front of it finds out within moments, and what a node owes its clients is not what is looked at here.
func (r *Rig) PauseNode(number int, stop bool) { r.stopOrContinue(number, stop, Pauser.Pause) }

// HangNode has a node's loop stand still, or go on, while all else in its process runs; the lock is held.
func (r *Rig) HangNode(number int, stop bool) { r.stopOrContinue(number, stop, Pauser.Hang) }

func (r *Rig) stopOrContinue(number int, stop bool, do func(Pauser, bool)) {
	m := r.nodes[number]
	p, can := m.process.(Pauser)
	switch {
	case !can:
		r.failures = append(r.failures, m.name+" is no process of its own: it can't be made to stand still")
		return
	case m.ending, stop && m.stopped != nil, !stop && m.stopped != m.process: // another is there by now, which never stood still
		return
	}
	if m.stopped = nil; stop {
		m.stopped, m.serving = m.process, false
		for id := range m.inFlight {
			r.checker.Excuse(id)
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

// StartDuplicateNode starts another process with a node's name, at addresses of its own. It is to end by itself, as the name is taken; the lock is
// held.
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
				m.fail("its twin ended otherwise: " + p.ExitReason())
			}
		case <-time.After(duplicateExitTimeout):
			m.fail("its twin does not end")
			p.Kill()
			<-p.Done()
		}
	}()
}

// startDuplicate starts one, which no client asks.
func (m *member) startDuplicate() (Process, error) {
	hears, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	serves, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	configuration, err := m.configuration(serves)
	if err != nil {
		return nil, err
	}
	all := slices.Clone(m.rig.gossipAddrs)
	all[m.number] = hears
	return m.rig.starter.Start(NodeSpec{Name: m.name + "-twin", Configuration: configuration, Fleet: m.rig.scenario.Charter(m.number, m.rig.fleetLabel(), all, nil),
		OnRecord: func(eventlog.Event, time.Time) {}, OnTrace: func([]byte) {}})
}

// ChangeLink changes what goes wrong between two nodes, one way.
func (r *Rig) ChangeLink(from, to int, change func(*netfault.Link)) {
	r.faults.Change(from, to, func(link *netfault.Link) {
		was := link.Cut
		if change(link); link.Cut != was {
			r.views.Cut(r.now(), from, to, link.Cut)
		}
	})
}
