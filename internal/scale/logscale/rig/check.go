package rig

import (
	"cmp"
	"encoding/json"
	"errors"
	"os"
	"time"

	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/scale/logscale/checker"
)

// check passes all traces to the checker, computes the recovery time of the region that was cut off, and aggregates the
// resource usage.
func (r *run) check() error {
	cutSpec := r.specs[r.CutRegion]
	inCut := func(node uint32) bool {
		return r.cutStart > 0 && node >= cutSpec.First && node < cutSpec.First+uint32(cutSpec.Nodes)
	}
	traces := checker.New(controlServerCount-1, func(node uint32) bool { return !inCut(node) })
	for i := range controlServerCount - 1 {
		if err := logtrace.ReadJSONLines(r.path("control-%d.trace", i), func(k logtrace.DurableEntries) {
			traces.AddStored(i, k)
		}); err != nil {
			return err
		}
	}
	for _, o := range r.published {
		traces.AddPublished(o)
	}
	if err := r.writePublished(r.path("orders.jsonl")); err != nil {
		return err
	}
	target := uint64(0)
	for _, o := range r.published {
		if r.cutEnd > 0 && o.Acked <= r.cutEnd {
			target = max(target, o.Index)
		}
	}
	for _, s := range r.specs {
		if err := logtrace.Read(s.Trace, func(rec logtrace.NodeEvent) {
			traces.AddNodeRecord(rec)
			if inCut(rec.Node) && rec.Kind == logtrace.Applied && rec.Index == target {
				r.report.RegionRecoveryS = max(r.report.RegionRecoveryS, time.Duration(rec.At-r.cutEnd).Seconds())
			}
		}); err != nil {
			return err
		}
	}
	r.report.Check = traces.Report(r.Nodes)
	if err := r.checkCaches(); err != nil {
		return err
	}
	return r.aggregateUsage()
}

// writePublished writes the published changes to a file, for an examination by hand.
func (r *run) writePublished(path string) error {
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	w := json.NewEncoder(out)
	for _, o := range r.published {
		err = cmp.Or(err, w.Encode(o))
	}
	return errors.Join(err, out.Close())
}
