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
	longestOrder = 16 << 20 // bytes of an order to a process of hollow nodes
	collected    = 200      // percent that the heap may grow between collections, as in a node
)

// order is a request of the rig to a process of hollow nodes, a line of JSON each.
type order struct {
	Do     string            `json:"do"`
	Places []Place           `json:"places,omitempty"`
	Fleet  *fleetconfig.File `json:"fleet,omitempty"` // but for where it listens
	File   *File             `json:"file,omitempty"`
	Seed   int64             `json:"seed,omitempty"`
	Nodes  int               `json:"nodes,omitempty"`
	Apart  time.Duration     `json:"apart,omitempty"` // between the starts of two
	Name   string            `json:"name,omitempty"`
	Off    bool              `json:"off,omitempty"`
}

// The orders.
const (
	doOpen  = "open"
	doLook  = "look"  // how the views stand
	doRead  = "read"  // what was sent and received until now
	doWeigh = "weigh" // the heap, after a collection
	doCut   = "cut"   // the region of the file, off or not
	doDrop  = "drop"  // one node ends at once
	doRaise = "raise" // it is started anew
)

// answer is the response to an order, a line of JSON each.
type answer struct {
	Fault string   `json:"fault,omitempty"`
	Nodes []status `json:"nodes,omitempty"`
	Heap  uint64   `json:"heap,omitempty"`
	Lost  uint64   `json:"lost,omitempty"` // messages that the rules dropped as too many were delayed
}

// status is one node's view of the fleet, and its traffic.
type status struct {
	Name    string                `json:"name"`
	Members int                   `json:"members"`
	Mark    string                `json:"mark"`
	CutOff  bool                  `json:"cut_off"`
	Flows   []gossip.TrafficStats `json:"flows,omitempty"`
	Dropped uint64                `json:"dropped,omitempty"`
}

// process runs hollow nodes by the orders of a rig.
type process struct {
	nodes      map[string]*Node
	places     []Place
	order      order
	rules      *networkRules
	faults     *netfault.Faults
	partMakers []ComponentStarter
}

// ServeHollowNodes reads orders, carries them out and writes an answer to each, until its input ends; then it ends all nodes.
// Each node runs the given parts beside its own.
func ServeHollowNodes(in io.Reader, out io.Writer, more ...ComponentStarter) error {
	debug.SetGCPercent(collected)
	p := &process{nodes: map[string]*Node{}, partMakers: more}
	defer p.close()
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, firstLineBytes), longestOrder)
	say := json.NewEncoder(out)
	for lines.Scan() {
		var o order
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			return fmt.Errorf("an order that can't be read: %w", err)
		}
		a, err := p.do(&o)
		if err != nil {
			a.Fault = err.Error()
		}
		if err := say.Encode(a); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (p *process) do(o *order) (a answer, err error) {
	switch o.Do {
	case doOpen:
		return a, p.open(o)
	case doLook, doRead:
		for _, at := range p.places {
			n := p.nodes[at.Name]
			if n == nil {
				continue
			}
			s, _ := n.Membership.FleetStatus()
			st := status{Name: at.Name, Members: s.Members, Mark: s.Fingerprint, CutOff: s.MayBePartitioned}
			if o.Do == doRead {
				st.Flows, st.Dropped = s.Flows, s.Dropped
			}
			a.Nodes = append(a.Nodes, st)
		}
		if p.rules != nil {
			a.Lost = p.rules.lost.Load()
		}
	case doWeigh:
		runtime.GC()
		runtime.GC() // what the first has found to be finalized is gone with the second
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		a.Heap = m.HeapAlloc
	case doCut:
		cut(p.faults, RegionID(p.order.File.Partition.Region), p.order.File.Places.Regions, o.Off)
	case doDrop:
		if n := p.nodes[o.Name]; n != nil {
			n.Close(false)
			delete(p.nodes, o.Name)
		}
	case doRaise:
		for _, at := range p.places {
			if at.Name == o.Name {
				return a, p.startNode(at)
			}
		}
		return a, fmt.Errorf("no node %s here", o.Name)
	default:
		return a, fmt.Errorf("an order that is not known: %q", o.Do)
	}
	return a, nil
}

// open starts all nodes, with a pause between two.
func (p *process) open(o *order) error {
	p.order = *o
	p.places = o.Places
	p.faults = o.File.Faults(o.Seed)
	p.rules = &networkRules{faults: p.faults}
	for i, at := range p.places {
		if i > 0 {
			time.Sleep(o.Apart)
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
	n, err := OpenNode(at, &f, p.order.Nodes, p.rules, p.partMakers...)
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

// names is a list for a line of text.
func names(some []string) string {
	const most = 5
	if len(some) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(some[:most], ", "), len(some)-most)
	}
	return strings.Join(some, ", ")
}
