package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/membership/gossip"
)

const (
	maxOrderBytes = 16 << 20 // maximum size of an order to a process of simulated nodes
	gcPercent     = 200      // garbage collection target (GOGC), as in a node
)

// order is a request of the rig to a process of simulated nodes, encoded as one line of JSON.
type order struct {
	Do            string            `json:"do"`
	Places        []Place           `json:"places,omitempty"`
	Fleet         *fleetconfig.File `json:"fleet,omitempty"` // without the listen address
	File          *File             `json:"file,omitempty"`
	Seed          int64             `json:"seed,omitempty"`
	Nodes         int               `json:"nodes,omitempty"`
	StartInterval time.Duration     `json:"apart,omitempty"` // interval between two starts of nodes
	Name          string            `json:"name,omitempty"`
	Cut           bool              `json:"off,omitempty"` // of doCut: whether to cut off or to reconnect the region
}

// The orders.
const (
	doOpen        = "open"
	doReadViews   = "look"  // read the views
	doReadTraffic = "read"  // read the views and the traffic so far
	doReadHeap    = "weigh" // read the heap size after a garbage collection
	doCut         = "cut"   // cut off the region that the file names, or reconnect it
	doCrash       = "drop"  // crash one node
	doRestart     = "raise" // restart a crashed node
)

// answer is the response to an order, encoded as one line of JSON.
type answer struct {
	Fault string   `json:"fault,omitempty"` // why the order failed
	Nodes []status `json:"nodes,omitempty"`
	Heap  uint64   `json:"heap,omitempty"` // bytes
	Lost  uint64   `json:"lost,omitempty"` // messages that the emulated network dropped as a queue was full
}

// status is a node's view of the fleet, and its traffic so far.
type status struct {
	Name             string                `json:"name"`
	Members          int                   `json:"members"`
	Fingerprint      string                `json:"mark"`    // fingerprint of the view
	MayBePartitioned bool                  `json:"cut_off"` // the node reports a possible partition
	Flows            []gossip.TrafficStats `json:"flows,omitempty"`
	Dropped          uint64                `json:"dropped,omitempty"` // messages dropped for lack of capacity
}

// process runs simulated nodes as ordered by a rig.
type process struct {
	nodes             map[string]*Node
	places            []Place
	order             order
	rules             *networkRules
	faults            *netfault.Faults
	componentStarters []ComponentStarter
}

// ServeSimulatedNodes reads orders, executes them and writes an answer to each. When its input ends, it stops all
// nodes. Each node also runs the given components.
func ServeSimulatedNodes(in io.Reader, out io.Writer, more ...ComponentStarter) error {
	debug.SetGCPercent(gcPercent)
	p := &process{nodes: map[string]*Node{}, componentStarters: more}
	defer p.close()
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, initialLineBytes), maxOrderBytes)
	encoder := json.NewEncoder(out)
	for lines.Scan() {
		var o order
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			return fmt.Errorf("cannot decode an order: %w", err)
		}
		a, err := p.do(&o)
		if err != nil {
			a.Fault = err.Error()
		}
		if err := encoder.Encode(a); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (p *process) do(o *order) (a answer, err error) {
	switch o.Do {
	case doOpen:
		return a, p.open(o)
	case doReadViews, doReadTraffic:
		for _, at := range p.places {
			n := p.nodes[at.Name]
			if n == nil {
				continue
			}
			s, _ := n.Membership.FleetStatus()
			st := status{
				Name:             at.Name,
				Members:          s.Members,
				Fingerprint:      s.Fingerprint,
				MayBePartitioned: s.MayBePartitioned,
			}
			if o.Do == doReadTraffic {
				st.Flows, st.Dropped = s.Flows, s.Dropped
			}
			a.Nodes = append(a.Nodes, st)
		}
		if p.rules != nil {
			a.Lost = p.rules.dropped.Load()
		}
	case doReadHeap:
		runtime.GC()
		runtime.GC() // frees the objects whose finalizers ran after the first collection
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		a.Heap = m.HeapAlloc
	case doCut:
		cut(p.faults, RegionID(p.order.File.Partition.Region), p.order.File.Places.Regions, o.Cut)
	case doCrash:
		if n := p.nodes[o.Name]; n != nil {
			n.Close(false)
			delete(p.nodes, o.Name)
		}
	case doRestart:
		for _, at := range p.places {
			if at.Name == o.Name {
				return a, p.startNode(at)
			}
		}
		return a, fmt.Errorf("no node %s in this process", o.Name)
	default:
		return a, fmt.Errorf("unknown order: %q", o.Do)
	}
	return a, nil
}

// open starts all nodes one after the other, at the interval in the order.
func (p *process) open(o *order) error {
	p.order = *o
	p.places = o.Places
	p.faults = o.File.Faults(o.Seed)
	p.rules = &networkRules{faults: p.faults}
	for i, at := range p.places {
		if i > 0 {
			time.Sleep(o.StartInterval)
		}
		if err := p.startNode(at); err != nil {
			return fmt.Errorf("%s: %w", at.Name, err)
		}
	}
	return nil
}

func (p *process) startNode(at Place) error {
	f := *p.order.Fleet
	f.Fleet.Listen, f.Fleet.Advertise = at.Addr, at.Addr
	n, err := OpenNode(at, &f, p.order.Nodes, p.rules, p.componentStarters...)
	if err == nil {
		p.nodes[at.Name] = n
	}
	return err
}

func (p *process) close() {
	var all sync.WaitGroup
	for _, n := range p.nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			n.Close(false)
		}()
	}
	all.Wait()
}

// joinAbbreviated joins strings into a comma-separated list and abbreviates a long one.
func joinAbbreviated(some []string) string {
	const most = 5
	if len(some) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(some[:most], ", "), len(some)-most)
	}
	return strings.Join(some, ", ")
}
