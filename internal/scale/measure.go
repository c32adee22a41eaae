package scale

import (
	"context"
	"fmt"
	"time"
)

const (
	// formTimeout is the time in which all views must become equal after the last node was started.
	formTimeout = 3 * time.Minute
	// recoveryTimeout is the time in which all views must become equal after the beginning or the end of a fault.
	recoveryTimeout = time.Minute
)

// measurement takes one size through its phases.
type measurement struct {
	fleet *fleetRun
	size  *Size
	last  snapshot // at the end of the previous phase
}

// measure starts a fleet of one size and measures it in all phases.
func (r *Rig) measure(ctx context.Context, p *Plan, nodes int) (*Size, error) {
	began := time.Now()
	f, err := r.open(ctx, p, nodes)
	if err != nil {
		return nil, err
	}
	defer f.close()
	m := &measurement{
		fleet: f,
		size:  &Size{Nodes: nodes, Terms: p.Terms(), Began: began.UTC(), Processes: len(f.processes())},
	}
	if err := m.forming(ctx, began); err != nil {
		return nil, err
	}
	if err := m.steady(ctx); err != nil {
		return nil, err
	}
	if p.File.Crash.ForS > 0 {
		if err := m.loseNode(ctx); err != nil {
			return nil, err
		}
	}
	if p.File.Partition.ForS > 0 {
		if err := m.cutRegion(ctx); err != nil {
			return nil, err
		}
	}
	m.size.LostInEmulator = m.last.lost
	m.size.Dropped = m.last.drops
	return m.size, nil
}

// forming waits until all nodes know each other and gossip has settled.
func (m *measurement) forming(ctx context.Context, began time.Time) error {
	if _, err := m.fleet.awaitAgreement(ctx, m.size.Nodes, formTimeout, nil); err != nil {
		return fmt.Errorf("forming: %w", err)
	}
	formed := time.Since(began)
	if err := m.fleet.settle(ctx); err != nil {
		return err
	}
	now, err := m.fleet.read(ctx)
	if err != nil {
		return err
	}
	m.size.add(m.fleet, forming, formed, snapshot{at: began}, now)
	m.last = now
	return nil
}

// steady measures the fleet without faults, and its memory afterwards.
func (m *measurement) steady(ctx context.Context) error {
	err := m.phase(ctx, steady, func() (time.Duration, error) {
		return 0, sleep(ctx, m.fleet.plan.window(m.size.Nodes))
	})
	if err != nil {
		return err
	}
	return m.size.measureMemory(ctx, m.fleet)
}

// loseNode crashes the last node, and restarts it when the crash has lasted as long as planned.
func (m *measurement) loseNode(ctx context.Context) error {
	f := m.fleet
	lost := f.places[len(f.places)-1].Name
	err := m.phase(ctx, lostOne, func() (time.Duration, error) {
		began := time.Now()
		if err := f.orderFor(ctx, lost, doCrash); err != nil {
			return 0, err
		}
		others := func(st status) bool { return st.Name != lost }
		return m.awaitFault(ctx, began, seconds(f.plan.File.Crash.ForS), m.size.Nodes-1, others)
	})
	if err != nil {
		return err
	}
	return m.phase(ctx, lostBack, func() (time.Duration, error) {
		if err := f.orderFor(ctx, lost, doRestart); err != nil {
			return 0, err
		}
		return m.awaitRecovery(ctx)
	})
}

// cutRegion cuts a region off from all others, and reconnects it when the cut has lasted as long as planned.
func (m *measurement) cutRegion(ctx context.Context) error {
	f := m.fleet
	region := RegionID(f.plan.File.Partition.Region)
	inside := map[string]bool{}
	for _, at := range f.places {
		if at.Region == region {
			inside[at.Name] = true
		}
	}
	err := m.phase(ctx, cutOff, func() (time.Duration, error) {
		began := time.Now()
		if _, err := f.each(ctx, order{Do: doCut, Cut: true}); err != nil {
			return 0, err
		}
		outside := func(st status) bool { return !inside[st.Name] }
		return m.awaitFault(ctx, began, seconds(f.plan.File.Partition.ForS), len(f.places)-len(inside), outside)
	})
	if err != nil {
		return err
	}
	return m.phase(ctx, cutBack, func() (time.Duration, error) {
		if _, err := f.each(ctx, order{Do: doCut, Cut: false}); err != nil {
			return 0, err
		}
		return m.awaitRecovery(ctx)
	})
}

// phase runs a phase and records the usage of nodes during it. run returns the time until views were as expected.
func (m *measurement) phase(ctx context.Context, name string, run func() (time.Duration, error)) error {
	m.fleet.rig.logProgress("%d nodes: %s", m.size.Nodes, name)
	took, err := run()
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	now, err := m.fleet.read(ctx)
	if err != nil {
		return err
	}
	m.size.add(m.fleet, name, took, m.last, now)
	m.last = now
	return nil
}

// awaitFault waits until the views of the nodes that the filter accepts contain exactly the left remaining nodes, and
// then until the fault has lasted as long as planned. It returns an error if the views do not converge in time.
func (m *measurement) awaitFault(ctx context.Context, began time.Time, lasts time.Duration, left int,
	filter func(status) bool) (time.Duration, error) {
	took, err := m.fleet.awaitAgreement(ctx, left, recoveryTimeout, filter)
	if err != nil {
		return took, err
	}
	return took, sleep(ctx, max(0, lasts-time.Since(began)))
}

// awaitRecovery waits until all nodes know each other again and gossip has settled. It returns the time until the
// former.
func (m *measurement) awaitRecovery(ctx context.Context) (time.Duration, error) {
	took, err := m.fleet.awaitAgreement(ctx, m.size.Nodes, recoveryTimeout, nil)
	if err != nil {
		return took, err
	}
	return took, m.fleet.settle(ctx)
}
