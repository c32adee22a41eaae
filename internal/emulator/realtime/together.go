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

const twinEndsBy = 15 * time.Second // for a process that finds its name taken

// join opens what is between the nodes, where they know one another: a door for each ordered pair.
func (r *Rig) join() error {
	if r.script.Together == nil {
		return nil
	}
	r.boot = gossip.BootTime()
	r.views = checker.NewViews(r.script.Fleet.Nodes)
	r.between = netfault.Open(netfault.New(uint32(r.script.Seed)))
	for range r.script.Fleet.Nodes {
		at, err := freeport.Free()
		if err != nil {
			return err
		}
		r.hears = append(r.hears, at)
	}
	r.doors = make([]map[string]string, len(r.hears))
	for from := range r.hears {
		r.doors[from] = map[string]string{}
		for to, at := range r.hears {
			if from == to {
				continue
			}
			door, err := r.between.Door(from, to, at)
			if err != nil {
				return err
			}
			r.doors[from][at] = door
		}
	}
	return nil
}

// label is the run's own: a port that another run had may still be written to.
func (r *Rig) label() string { return fmt.Sprintf("%s-%d-%d", r.script.Name, os.Getpid(), r.boot) }

func (r *Rig) charter(number int) []byte {
	if r.between == nil {
		return nil
	}
	return r.script.Charter(number, r.label(), r.hears, r.doors[number])
}

// traced hears a line of a process's trace.
func (r *Rig) traced(text []byte) {
	var l trace.Line
	if json.Unmarshal(text, &l) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.views.Heard(epoch.Add(l.At.Since(r.boot)), l)
	}
}

// PauseNode has a node's process stand still, or go on; the lock is held. What it had in hand is excused, and nobody comes to it
// meanwhile: who would be in front of it finds out within moments, and what a node owes its clients is not what is looked at here.
func (r *Rig) PauseNode(number int, stop bool) { r.still(number, stop, Pausing.Pause) }

// HangNode has a node's loop stand still, or go on, while all else in its process runs; the lock is held.
func (r *Rig) HangNode(number int, stop bool) { r.still(number, stop, Pausing.Hang) }

func (r *Rig) still(number int, stop bool, do func(Pausing, bool)) {
	m := r.nodes[number]
	p, can := m.process.(Pausing)
	switch {
	case !can:
		r.died = append(r.died, m.name+" is no process of its own: it can't be made to stand still")
		return
	case m.ending, stop && m.stands != nil, !stop && m.stands != m.process: // another is there by now, which never stood still
		return
	}
	if m.stands = nil; stop {
		m.stands, m.serving = m.process, false
		for id := range m.asks {
			r.judge.Excuse(id)
			m.excused[id] = true
		}
	}
	do(p, stop)
	r.views.Truth(r.now(), m.name, !stop, false)
	if !stop {
		r.At(r.now().Add(r.terms.LongestDeadline), func() {
			if !m.ending {
				m.serving = true
			}
		})
	}
}

// TwinNode starts another process with a node's name, at addresses of its own. It is to end by itself, as the name is taken; the lock is
// held.
func (r *Rig) TwinNode(number int) {
	m := r.nodes[number]
	go func() {
		p, err := m.twin()
		if err != nil {
			m.failed(err.Error())
			return
		}
		select {
		case <-p.Done():
			if !strings.Contains(p.Ended(), "has the name") {
				m.failed("its twin ended otherwise: " + p.Ended())
			}
		case <-time.After(twinEndsBy):
			m.failed("its twin does not end")
			p.Kill()
			<-p.Done()
		}
	}()
}

// twin starts one, which no client asks.
func (m *member) twin() (Process, error) {
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
	all := slices.Clone(m.r.hears)
	all[m.number] = hears
	return m.r.runner.Start(Order{Name: m.name + "-twin", Configuration: configuration, Charter: m.r.script.Charter(m.number, m.r.label(), all, nil),
		Note: func(eventlog.Event, time.Time) {}, Trace: func([]byte) {}})
}

// Between changes what goes wrong between two nodes, one way.
func (r *Rig) Between(from, to int, change func(*netfault.Way)) {
	r.between.Change(from, to, func(w *netfault.Way) {
		was := w.Cut
		if change(w); w.Cut != was {
			r.views.Cut(r.now(), from, to, w.Cut)
		}
	})
}
