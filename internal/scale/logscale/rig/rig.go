// Package rig exercises the replicated log at the size of a fleet, on one machine. It runs control servers as processes
// with data on disk, a process of many simulated nodes for each region, some real nodes, and an emulated network
// between regions with delay, loss and partitions. Package checker then checks the traces of all of them.
//
// Run executes a Plan: it starts all processes, runs the plan's phases in order, waits after each phase until every
// node has every entry, stops the processes and returns the Report. A run owns its processes and its network, and stops
// them.
package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/monotime"
)

const (
	settleTimeout      = 90 * time.Second       // time in which all nodes must have all entries after a phase
	showSamples        = 10                     // number of entries for which the delay of fleet changes is measured
	showTimeout        = 10 * time.Second       // time in which fleet changes must show such an entry at all nodes
	showPollInterval   = 20 * time.Millisecond  // interval at which this is polled
	statusPollInterval = 200 * time.Millisecond // interval at which the progress of nodes is polled
)

// run is the state of a run.
type run struct {
	Plan
	network     *RegionNetwork
	region      [controlServerCount]int    // regions of the control servers
	peers       [controlServerCount]string // listen addresses of the control servers for each other
	nodes       [controlServerCount]string // listen addresses of the control servers for nodes
	control     [controlServerCount]*process
	simulated   []*process
	specs       []Spec
	real        []*process
	client      controlclient.Client
	mu          sync.Mutex // guards published, the report's notes and the purges published at caches
	published   []logtrace.PublishedChange
	report      Report
	phaseUsages []phaseUsage
	cutStart    monotime.Instant
	cutEnd      monotime.Instant
	caches      caches
}

// log writes a line of progress with the time of day.
func (r *run) log(format string, args ...any) {
	fmt.Fprintf(r.Log, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05")}, args...)...)
}

// addNote adds a note to the report.
func (r *run) addNote(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Notes = append(r.report.Notes, fmt.Sprintf(format, args...))
}

// LoadAverage returns the load average of the machine.
func LoadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	return strings.TrimSpace(string(text))
}

// Run executes a plan and checks the traces of the run.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if p.PurgesPerSecond == 0 {
		p.PurgesPerSecond = purgeRate
		p.ConfigsPerSecond = configRate
	}
	r := newRun(p)
	defer r.network.Close()
	defer r.killAll()
	defer r.closeCaches()
	if err := r.start(); err != nil {
		return nil, err
	}
	for _, phase := range p.Phases {
		if err := r.measure(ctx, phase); err != nil {
			return nil, fmt.Errorf("%s: %w", phase, err)
		}
	}
	r.report.Load = append(r.report.Load, LoadAverage())
	r.countCompleteRealNodes()
	if r.Caches > 0 { // nodes have the last entries before they are done at caches
		if err := r.settle(ctx); err != nil {
			return nil, err
		}
		r.readAll()
	}
	if err := r.stopAll(); err != nil {
		return nil, err
	}
	return &r.report, r.check()
}

func newRun(p Plan) *run {
	return &run{
		Plan:    p,
		network: NewRegionNetwork(p.Regions, p.Loss, p.Seed),
		caches:  caches{chance: keyhash.Source{Seed: p.Seed}, closed: make(chan struct{})},
		report: Report{
			Nodes:   p.Nodes,
			Real:    p.Real,
			Regions: p.Regions,
			Loss:    p.Loss,
			Seed:    p.Seed,
			Load:    []string{LoadAverage()},
		},
	}
}

// measure runs a phase, waits until every node has every entry, and records the resource usage of all processes.
func (r *run) measure(ctx context.Context, phase string) error {
	usage := phaseUsage{phase: phase, from: gossip.BootTime(), cpuBefore: r.cpuSecondsByPID()}
	r.log("%s begins; load %s", phase, LoadAverage())
	if err := r.phase(ctx, phase); err != nil {
		return err
	}
	if err := r.settle(ctx); err != nil {
		return err
	}
	r.measureShown(ctx, phase)
	time.Sleep(2 * sampleInterval) // separates the samples of consecutive phases
	usage.until = gossip.BootTime()
	usage.cpuAfter = r.cpuSecondsByPID()
	usage.rss = r.residentBytesByPID()
	r.phaseUsages = append(r.phaseUsages, usage)
	return nil
}

func (r *run) phase(ctx context.Context, phase string) error {
	switch phase {
	case Steady:
		return r.steady(ctx)
	case Burst:
		return r.burst(ctx)
	case CacheOutage:
		return r.cutCache(ctx)
	case RegionCut:
		return r.cutOff(ctx)
	default:
		return fmt.Errorf("unknown phase %q", phase)
	}
}

func (r *run) path(format string, args ...any) string {
	return filepath.Join(r.Dir, fmt.Sprintf(format, args...))
}

// measureShown measures how long the data of the command fleet changes takes to show an entry at every node.
func (r *run) measureShown(ctx context.Context, phase string) {
	for i := range showSamples {
		purge := controlclient.NewProposal(replicatedlog.Purge, fmt.Append(nil, "shown/", phase, "/", i))
		r.publish(ctx, "shown", []replicatedlog.Proposal{purge})
		o := r.published[len(r.published)-1]
		for by := time.Now().Add(showTimeout); o.Index > 0 && time.Now().Before(by); time.Sleep(showPollInterval) {
			asked := time.Now()
			all, err := r.client.Overview()
			r.report.MaxQueryTimeS = max(r.report.MaxQueryTimeS, time.Since(asked).Seconds())
			if err == nil && uint64(all.Last) >= o.Index && all.NodesCaughtUp() && len(all.Nodes) == r.Nodes+r.Real {
				break
			}
		}
		r.report.MaxShowDelayS = max(r.report.MaxShowDelayS, time.Duration(gossip.BootTime()-o.Acked).Seconds())
	}
}

// settle waits until every node has every entry. After a timeout it adds a note to the report; the checker then reports
// the missing entries.
func (r *run) settle(ctx context.Context) error {
	for by := time.Now().Add(settleTimeout); ; time.Sleep(statusPollInterval) {
		o, err := r.client.Overview()
		if err == nil && o.CaughtUp() && len(o.Nodes) == r.Nodes+r.Real {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(by) {
			var behind []string
			for _, n := range o.Nodes {
				if n.Missing > 0 || n.Silent || n.NotStarted || n.Refused > 0 {
					behind = append(behind, fmt.Sprintf("%+v", n))
				}
			}
			r.addNote("after %v not all nodes have all entries: error %v, leader known %t, %d nodes; behind: %.2000s",
				settleTimeout, err, o.HasLeader, len(o.Nodes), strings.Join(behind, "; "))
			return nil
		}
	}
}

// countCompleteRealNodes counts the real nodes that report all entries and the newest configuration.
func (r *run) countCompleteRealNodes() {
	o, err := r.client.Overview()
	if err != nil {
		r.addNote("cannot count the real nodes with all entries: %v", err)
		return
	}
	for _, n := range o.Nodes {
		if strings.HasPrefix(n.Node, "real-") && n.Missing == 0 && n.Refused == 0 && n.Config == o.Servers[0].Config {
			r.report.RealComplete++
		}
	}
}
