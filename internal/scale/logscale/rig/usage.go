package rig

import (
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/monotime"
)

// The roles of processes in reports, whose format is stable.
const (
	roleSimulatedNode = "hollow node"
	roleRealNode      = "real node"
	roleControlServer = "control machine"
)

// phaseUsage records the start and the end of a phase, and the usage of control servers and real nodes by process ID.
type phaseUsage struct {
	phase       string
	from, until monotime.Instant
	cpuBefore   map[int]float64 // CPU time at the start, in seconds
	cpuAfter    map[int]float64 // CPU time at the end, in seconds
	rss         map[int]int64   // resident memory at the end, in bytes
}

// pids returns the process IDs of the control servers and the real nodes.
func (r *run) pids() (all []int) {
	for _, p := range append(append([]*process{}, r.control[:]...), r.real...) {
		all = append(all, p.Process.Pid)
	}
	return all
}

// cpuSecondsByPID returns the CPU times, in seconds, by process ID.
func (r *run) cpuSecondsByPID() map[int]float64 {
	all := map[int]float64{}
	for _, pid := range r.pids() {
		all[pid] = cpuSeconds(pid)
	}
	return all
}

// residentBytesByPID returns the resident memory, in bytes, by process ID.
func (r *run) residentBytesByPID() map[int]int64 {
	all := map[int]int64{}
	for _, pid := range r.pids() {
		all[pid] = residentBytes(pid)
	}
	return all
}

// aggregateUsage aggregates the resource usage of each phase.
func (r *run) aggregateUsage() error {
	lastPhase := ""
	if len(r.phaseUsages) > 0 {
		lastPhase = r.phaseUsages[len(r.phaseUsages)-1].phase
	}
	for _, m := range r.phaseUsages {
		simulated, err := r.simulatedUsage(m, m.phase == lastPhase)
		if err != nil {
			return err
		}
		r.report.Usage = append(r.report.Usage, simulated)
		r.addProcessUsage(m, roleRealNode, r.real)
		r.addProcessUsage(m, roleControlServer, r.control[:])
	}
	return nil
}

// simulatedUsage returns the usage of the simulated nodes during a phase. For the last phase it also adds the totals of
// the run to the report.
func (r *run) simulatedUsage(m phaseUsage, isLast bool) (Usage, error) {
	u := Usage{Phase: m.phase, Role: roleSimulatedNode, Count: r.Nodes}
	var in, out, both, core []float64
	for region, spec := range r.specs {
		first, last, err := r.samples(region, m)
		if err != nil {
			return u, err
		}
		if last.At <= first.At {
			return u, fmt.Errorf("region %d has fewer than two usage samples of phase %s", region, m.phase)
		}
		seconds := time.Duration(last.At - first.At).Seconds()
		for n := range last.In {
			if n >= len(first.In) {
				break
			}
			inRate := float64(last.In[n]-first.In[n]) / seconds
			outRate := float64(last.Out[n]-first.Out[n]) / seconds
			in = append(in, inRate)
			out = append(out, outRate)
			both = append(both, inRate+outRate)
		}
		nodes := float64(spec.Nodes)
		core = append(core, (last.CPU-first.CPU)/seconds/nodes*100)
		u.MB = max(u.MB, float64(last.RSS)/nodes/bytesPerMB)
		if isLast {
			r.report.Moves += last.Moves
			r.report.Gaps += last.Gaps
		}
	}
	u.InRate = median(in)
	u.OutRate = median(out)
	u.MaxRate = slices.Max(both)
	u.Core = median(core)
	u.MaxCore = slices.Max(core)
	return u, nil
}

// samples returns the last samples of a region before the beginning and before the end of a phase. For the region that
// was cut off it also records how many nodes were stale during the cut.
func (r *run) samples(region int, m phaseUsage) (first, last Sample, err error) {
	err = logtrace.ReadJSONLines(r.specs[region].Stats, func(s Sample) {
		if s.At <= m.from || first.At == 0 {
			first = s
		}
		if s.At <= m.until {
			last = s
		}
		if r.cutStart > 0 && region == r.CutRegion && s.At <= r.cutEnd {
			r.report.StaleInCut = max(r.report.StaleInCut, s.Stale)
		}
	})
	return first, last, err
}

// addProcessUsage adds the usage of the processes of a role during a phase, if there are any. For a process that was
// restarted during the phase, it is the usage since the restart.
func (r *run) addProcessUsage(m phaseUsage, role string, all []*process) {
	if len(all) == 0 {
		return
	}
	u := Usage{Phase: m.phase, Role: role, Count: len(all)}
	seconds := time.Duration(m.until - m.from).Seconds()
	var core []float64
	for _, p := range all {
		pid := p.Process.Pid
		core = append(core, (m.cpuAfter[pid]-m.cpuBefore[pid])/seconds*100)
		u.MB = max(u.MB, float64(m.rss[pid])/bytesPerMB)
	}
	u.Core = median(core)
	u.MaxCore = slices.Max(core)
	r.report.Usage = append(r.report.Usage, u)
}

// median returns the median, or 0 for no values. It sorts its argument.
func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
