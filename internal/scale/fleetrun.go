package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"dahliapin/internal/config/fleetconfig"
)

const (
	// viewPollInterval is the interval at which the views of all nodes are read.
	viewPollInterval = 200 * time.Millisecond
	// minSettleTime is the minimum time for gossip to settle after all views have become equal.
	minSettleTime = 4 * time.Second
	// settleTimeout is the maximum wait for gossip to settle. Nodes that still send statements then do so continuously.
	settleTimeout = time.Minute
	// statementInterval is the interval over which statements are counted during that wait.
	statementInterval = time.Second
	// settledStatementsPerNode is the mean number of statements per node and statementInterval below which gossip
	// counts as settled. A fault of a single node causes fewer statements.
	settledStatementsPerNode = 0.1
	// seedCount is the number of seed nodes in the fleet file. They are spread evenly over the fleet.
	seedCount = 5
	// basePort and portRange keep ports below the usual ephemeral port range.
	basePort  = 12_000
	portRange = 20_000
	// alone is the name of the isolated real node, which has no fleet file.
	alone = "alone"
)

// fleetRun is a running fleet of one size.
type fleetRun struct {
	rig       *Rig
	plan      *Plan
	places    []Place // real nodes first
	lists     *endpointLists
	simulated []*SimulatedProcess
	real      []*RealNode
	isolated  *RealNode // has the baseline cost of a node without membership; nil if there are no real nodes
}

// fleetProcess is a process of a fleet.
type fleetProcess interface {
	Close()
	Cost() (Cost, error)
}

func (f *fleetRun) processes() []fleetProcess {
	var all []fleetProcess
	for _, h := range f.simulated {
		all = append(all, h)
	}
	for _, n := range f.real {
		all = append(all, n)
	}
	if f.isolated != nil {
		all = append(all, f.isolated)
	}
	return all
}

// open starts a fleet with the given number of nodes.
func (r *Rig) open(ctx context.Context, p *Plan, nodes int) (*fleetRun, error) {
	// Rigs and sizes use different ports, as sockets of an earlier run may linger.
	port := uint16(basePort + (os.Getpid()*397+nodes*7)%portRange)
	f := &fleetRun{
		rig:    r,
		plan:   p,
		places: AssignPlaces(nodes, p.Real, p.File.Places, port),
		lists:  openEndpointLists(p.File.List.Caches),
	}
	for i := range f.places {
		at, err := f.lists.listen(f.places[i].Name)
		if err != nil {
			f.close()
			return nil, err
		}
		f.places[i].List = at
	}
	if err := f.start(ctx, f.fleetFile()); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// fleetFile returns the fleet file of all nodes, without their addresses.
func (f *fleetRun) fleetFile() fleetconfig.File {
	nodes := len(f.places)
	file := fleetconfig.Default()
	file.Members = f.plan.File.Members
	file.Members.MaxMembers = max(file.Members.MaxMembers, nodes)
	file.Fleet.Label = fmt.Sprintf("scale-%d-%d-%d", os.Getpid(), nodes, f.plan.Seed)
	seeds := min(seedCount, nodes)
	for i := range seeds {
		file.Fleet.Seeds = append(file.Fleet.Seeds, f.places[i*nodes/seeds].Addr)
	}
	return file
}

// start starts all processes and their nodes.
func (f *fleetRun) start(ctx context.Context, file fleetconfig.File) error {
	if err := f.startRealNodes(&file); err != nil {
		return err
	}
	for from := len(f.real); from < len(f.places); from += f.plan.NodesPerProcess {
		until := min(len(f.places), from+f.plan.NodesPerProcess)
		h, err := f.rig.StartSimulatedProcess(f.places[from:until], fmt.Sprintf("hollow-%d", from))
		if err != nil {
			return fmt.Errorf("cannot start a process of simulated nodes: %w", err)
		}
		f.simulated = append(f.simulated, h)
	}
	_, err := f.each(ctx, order{
		Do:            doOpen,
		Fleet:         &file,
		File:          &f.plan.File,
		Seed:          f.plan.Seed,
		Nodes:         len(f.places),
		StartInterval: ms(f.plan.File.Starts.IntervalMs) * time.Duration(len(f.simulated)),
	})
	return errors.Join(err, ctx.Err())
}

// startRealNodes starts the real nodes and, if there are any, the isolated node.
func (f *fleetRun) startRealNodes(file *fleetconfig.File) error {
	for i, place := range f.places {
		if place.Role != Real {
			break
		}
		n, err := f.rig.StartRealNode(place, file, len(f.places), f.plan.Seed+int64(i))
		if err != nil {
			return fmt.Errorf("cannot start the real node %s: %w", place.Name, err)
		}
		f.real = append(f.real, n)
	}
	if len(f.real) == 0 {
		return nil
	}
	list, err := f.lists.listen(alone)
	if err != nil {
		return err
	}
	place := Place{Name: alone, Role: Real, Addr: "127.0.0.1:0", List: list}
	f.isolated, err = f.rig.StartRealNode(place, nil, len(f.places), f.plan.Seed)
	if err != nil {
		return fmt.Errorf("cannot start the isolated node: %w", err)
	}
	return nil
}

// close stops all processes concurrently, and then the emulated discovery.
func (f *fleetRun) close() {
	var all sync.WaitGroup
	for _, p := range f.processes() {
		all.Go(p.Close)
	}
	all.Wait()
	f.lists.close()
}

// each sends an order to all processes of simulated nodes concurrently, and waits for their answers.
func (f *fleetRun) each(ctx context.Context, o order) ([]answer, error) {
	answers := make([]answer, len(f.simulated))
	errs := make([]error, len(f.simulated))
	var all sync.WaitGroup
	for i, h := range f.simulated {
		all.Go(func() {
			own := o
			if own.Do == doOpen {
				own.Places = h.places
			}
			starts := time.Duration(len(own.Places)) * own.StartInterval
			answers[i], errs[i] = h.ask(ctx, own, orderTimeout+starts)
		})
	}
	all.Wait()
	return answers, errors.Join(errs...)
}

// orderFor sends an order that concerns one node to the process that runs the node.
func (f *fleetRun) orderFor(ctx context.Context, name, do string) error {
	for _, h := range f.simulated {
		for _, at := range h.places {
			if at.Name == name {
				_, err := h.ask(ctx, order{Do: do, Name: name}, orderTimeout)
				return err
			}
		}
	}
	return fmt.Errorf("no process runs a simulated node %s", name)
}

// statuses returns the status of every node, and the number of messages that the emulated network dropped as a queue
// was full.
func (f *fleetRun) statuses(ctx context.Context, do string) (all []status, lost uint64, err error) {
	answers, err := f.each(ctx, order{Do: do})
	if err != nil {
		return nil, 0, err
	}
	for _, a := range answers {
		all = append(all, a.Nodes...)
		lost += a.Lost
	}
	for _, n := range f.real {
		if n.HasExited() {
			return nil, 0, fmt.Errorf("real node %s has exited: %s", n.Place.Name, n.LastLogLine())
		}
		st, err := n.status()
		if err != nil { // a node that was just started does not answer yet
			st = status{Name: n.Place.Name}
		}
		all = append(all, st)
	}
	return all, lost, nil
}

// agreement summarizes how far the views of nodes agree.
type agreement struct {
	smallest     int             // number of members in the smallest view; at most the expected number
	largest      int             // number of members in the largest view
	fingerprints map[string]bool // fingerprints of the distinct views
	cutOff       int             // number of nodes that report a possible partition
}

// agreementOf summarizes the views of the nodes that the filter accepts; a nil filter accepts all.
func agreementOf(all []status, members int, filter func(status) bool) agreement {
	a := agreement{smallest: members, fingerprints: map[string]bool{}}
	for _, st := range all {
		if filter != nil && !filter(st) {
			continue
		}
		a.smallest = min(a.smallest, st.Members)
		a.largest = max(a.largest, st.Members)
		a.fingerprints[st.Fingerprint] = true
		if st.MayBePartitioned {
			a.cutOff++
		}
	}
	return a
}

// reached reports whether all views are identical and have the given number of members.
func (a agreement) reached(members int) bool {
	return a.smallest == members && a.largest == members && len(a.fingerprints) == 1 && a.cutOff == 0
}

// awaitAgreement waits until the views of all nodes that the filter accepts are identical and have the given number of
// members. It returns the time until then.
func (f *fleetRun) awaitAgreement(ctx context.Context, members int, within time.Duration,
	filter func(status) bool) (took time.Duration, err error) {
	began := time.Now()
	for {
		all, _, err := f.statuses(ctx, doReadViews)
		if err != nil {
			return 0, err
		}
		a := agreementOf(all, members, filter)
		took = time.Since(began)
		if a.reached(members) {
			return took, nil
		}
		f.rig.logProgress("%d nodes: waiting for views to converge for %.0f s; views have %d to %d members, "+
			"%d distinct views, %d nodes cut off",
			len(f.places), took.Seconds(), a.smallest, a.largest, len(a.fingerprints), a.cutOff)
		if took > within {
			return took, fmt.Errorf("views of %d nodes did not converge on %d members within %v: "+
				"%d to %d members, %d distinct views, %d nodes cut off",
				len(f.places), members, within, a.smallest, a.largest, len(a.fingerprints), a.cutOff)
		}
		if err := f.checkMemory(); err != nil {
			return took, err
		}
		if err := sleep(ctx, viewPollInterval); err != nil {
			return took, err
		}
	}
}

// checkMemory returns an error if all processes together use more memory than the rig allows.
func (f *fleetRun) checkMemory() error {
	processes := f.processes()
	sum := uint64(0)
	for _, p := range processes {
		cost, err := p.Cost()
		if err != nil {
			return err
		}
		sum += cost.Resident
	}
	if sum > uint64(f.rig.MaxMemoryMB)*mb {
		return fmt.Errorf("%d processes take %d MB: %d are the most", len(processes), sum/mb, f.rig.MaxMemoryMB)
	}
	return nil
}

// settle waits until gossip about the last event has settled, or until settleTimeout.
func (f *fleetRun) settle(ctx context.Context) error {
	if err := sleep(ctx, minSettleTime); err != nil {
		return err
	}
	before, err := f.statementsSent(ctx)
	if err != nil {
		return err
	}
	nodes := float64(len(f.places))
	for by := time.Now().Add(settleTimeout); time.Now().Before(by); {
		if err := sleep(ctx, statementInterval); err != nil {
			return err
		}
		now, err := f.statementsSent(ctx)
		if err != nil {
			return err
		}
		if now-before < settledStatementsPerNode*nodes {
			return nil
		}
		f.rig.logProgress("%d nodes: waiting for gossip to settle; %.1f statements per node in %v",
			len(f.places), (now-before)/nodes, statementInterval)
		before = now
	}
	return nil
}

// statementsSent returns the number of statements that all nodes have sent so far.
func (f *fleetRun) statementsSent(ctx context.Context) (float64, error) {
	s, err := f.read(ctx)
	sum := 0.0
	for _, flows := range s.nodes {
		sum += flows["statements"].OutMessages
	}
	return sum, err
}

// sleep waits for a duration. It returns an error if the context is done before.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
