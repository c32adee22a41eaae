package onwire

import (
	"encoding/json"
	"net"

	"dahliapin/internal/emulator/between"
	"dahliapin/internal/emulator/judge"
	"dahliapin/internal/fleet/trace"
	"dahliapin/internal/net/fleet"
)

// join opens what is between the nodes, where they know one another: a door for each ordered pair.
func (r *Rig) join() error {
	if r.script.Together == nil {
		return nil
	}
	r.boot = fleet.Boottime()
	r.views = judge.NewViews(r.script.Fleet.Nodes)
	r.between = between.Open(between.New(uint32(r.script.Seed)))
	for range r.script.Fleet.Nodes {
		at, err := freeForBoth()
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

// freeForBoth finds a port that is free for datagrams and for streams; the node takes it right away.
func freeForBoth() (string, error) {
	for tries := 0; ; tries++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		at := l.Addr().String()
		u, err := net.ListenPacket("udp", at)
		l.Close()
		if err == nil {
			u.Close()
			return at, nil
		}
		if tries == 20 {
			return "", err
		}
	}
}

func (r *Rig) charter(number int) []byte {
	if r.between == nil {
		return nil
	}
	return r.script.Charter(number, r.hears, r.doors[number])
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
func (r *Rig) PauseNode(number int, stop bool) {
	m := r.nodes[number]
	p, can := m.process.(Pausing)
	if !can || m.ending {
		return
	}
	if stop {
		m.serving = false
		for id := range m.asks {
			r.judge.Excuse(id)
			m.excused[id] = true
		}
	}
	p.Pause(stop)
	r.views.Truth(r.now(), m.name, !stop, false)
	if !stop {
		r.At(r.now().Add(r.terms.LongestStop), func() {
			if !m.ending {
				m.serving = true
			}
		})
	}
}

// Between changes what goes wrong between two nodes, one way.
func (r *Rig) Between(from, to int, change func(*between.Way)) {
	r.between.Change(from, to, func(w *between.Way) {
		was := w.Cut
		if change(w); w.Cut != was {
			r.views.Cut(r.now(), from, to, w.Cut)
		}
	})
}
