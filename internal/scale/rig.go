package scale

import (
	"context"
	"fmt"
	"time"

	"dahliapin/internal/membership/gossip"
)

// Rig starts fleets and measures them. It stops only the processes that it has started, by their process IDs.
type Rig struct {
	Program     string       // executable with the commands serve and scale hollow
	Dir         string       // folder for configurations and logs, which the caller removes
	Progress    func(string) // receives lines of progress; may be nil
	MaxMemoryMB int          // memory limit of all processes together, above which a run fails
}

// logProgress passes a line of progress on.
func (r *Rig) logProgress(text string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(text, args...))
	}
}

// Run measures all sizes of a plan, the smallest first. kept returns an earlier measurement of a size or nil; if it was
// made on the same terms, the size is not measured again. Each new measurement is passed to keep. Both functions may be
// nil.
func (r *Rig) Run(ctx context.Context, p *Plan, kept func(nodes int) *Size, keep func(*Size) error) (*Report, error) {
	report := &Report{Nodes: p.Nodes, Real: p.Real, WindowS: p.Window.Seconds(), Seed: p.Seed, File: p.File}
	for _, nodes := range p.Sizes {
		if kept != nil {
			if s := kept(nodes); s != nil && s.Terms == p.Terms() {
				report.Sizes = append(report.Sizes, s)
				continue
			}
		}
		s, err := r.measure(ctx, p, nodes)
		if err != nil {
			return nil, fmt.Errorf("%d nodes: %w", nodes, err)
		}
		if keep != nil {
			if err := keep(s); err != nil {
				return nil, err
			}
		}
		report.Sizes = append(report.Sizes, s)
	}
	report.evaluate()
	return report, nil
}

// window returns the length of the steady phase at a size. It is the planned window, rounded up to whole push-pull
// intervals, so that all nodes begin the same number of exchanges. A window of less than half an interval is not
// rounded.
func (p *Plan) window(nodes int) time.Duration {
	each := gossip.PushPullInterval(nodes)
	if p.Window < each/2 {
		return p.Window
	}
	return (p.Window + each - 1) / each * each
}
