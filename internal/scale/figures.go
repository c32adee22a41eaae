package scale

import (
	"math"
	"slices"
)

// Flow is the traffic of one kind of message: bytes and messages, sent and received.
type Flow struct {
	Out         float64 `json:"out"`
	In          float64 `json:"in"`
	OutMessages float64 `json:"out_messages"`
	InMessages  float64 `json:"in_messages"`
}

func (f Flow) plus(o Flow) Flow {
	return Flow{f.Out + o.Out, f.In + o.In, f.OutMessages + o.OutMessages, f.InMessages + o.InMessages}
}

// since returns the increase since an earlier reading. The counters of a restarted node begin at zero.
func (f Flow) since(was Flow) Flow {
	if f.Out < was.Out || f.In < was.In {
		return f
	}
	return Flow{f.Out - was.Out, f.In - was.In, f.OutMessages - was.OutMessages, f.InMessages - was.InMessages}
}

func (f Flow) times(x float64) Flow {
	return Flow{f.Out * x, f.In * x, f.OutMessages * x, f.InMessages * x}
}

// flowNames lists the flows in the order of the tables. All but the last use the membership sockets.
var flowNames = []string{"hellos", "statements", "gossip", "streams", "list"}

// Spread is the distribution of a figure over nodes.
type Spread struct {
	Mean   float64 `json:"mean"`
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"most"`
}

// SpreadOf returns the distribution of a figure, given one value per node.
func SpreadOf(xs []float64) (s Spread) {
	if len(xs) == 0 {
		return s
	}
	xs = slices.Clone(xs)
	slices.Sort(xs)
	for _, x := range xs {
		s.Mean += x / float64(len(xs))
	}
	s.Median = (xs[(len(xs)-1)/2] + xs[len(xs)/2]) / 2
	s.P99 = xs[int(math.Ceil(0.99*float64(len(xs))))-1]
	s.Max = xs[len(xs)-1]
	return s
}

// Line is a least-squares regression line.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"`     // coefficient of determination
	Error     float64 `json:"error"`  // standard error of the slope; 0 if there are too few points
	Points    int     `json:"points"` // number of points fitted
}

// Fit fits a line through points. With fewer than two distinct x values its slope is 0.
func Fit(xs, ys []float64) (l Line) {
	n := float64(len(xs))
	if l.Points = len(xs); n == 0 {
		return l
	}
	mx, my := 0.0, 0.0
	for i := range xs {
		mx, my = mx+xs[i]/n, my+ys[i]/n
	}
	sxx, sxy, syy := 0.0, 0.0, 0.0
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
		syy += (ys[i] - my) * (ys[i] - my)
	}
	if sxx > 0 {
		l.Slope = sxy / sxx
	}
	l.Intercept = my - l.Slope*mx
	rest := max(0, syy-l.Slope*sxy)
	if l.R2 = 1; syy > 0 {
		l.R2 = 1 - rest/syy
	}
	if n > 2 && sxx > 0 {
		l.Error = math.Sqrt(rest / (n - 2) / sxx)
	}
	return l
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }
