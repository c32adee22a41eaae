package scale

import (
	"math"
	"testing"
)

func TestFitMatchesLeastSquares(t *testing.T) {
	for name, c := range map[string]struct {
		xs, ys []float64
		want   Line
	}{
		"no points": {want: Line{}},
		"one point": {
			xs:   []float64{5},
			ys:   []float64{7},
			want: Line{Intercept: 7, R2: 1, Points: 1},
		},
		"two points with the same x": {
			xs:   []float64{5, 5},
			ys:   []float64{6, 8},
			want: Line{Intercept: 7, R2: 0, Points: 2},
		},
		"three points on a line": {
			xs:   []float64{1, 2, 3},
			ys:   []float64{5, 7, 9},
			want: Line{Slope: 2, Intercept: 3, R2: 1, Points: 3},
		},
		"three points without a slope": {
			xs:   []float64{0, 1, 2},
			ys:   []float64{0, 3, 0},
			want: Line{Intercept: 1, R2: 0, Error: math.Sqrt(3), Points: 3},
		},
		"four points near a line": {
			xs:   []float64{1, 2, 3, 4},
			ys:   []float64{1, 3, 2, 4},
			want: Line{Slope: 0.8, Intercept: 0.5, R2: 0.64, Error: math.Sqrt(0.18), Points: 4},
		},
	} {
		got := Fit(c.xs, c.ys)
		same := got.Points == c.want.Points &&
			near(got.Slope, c.want.Slope) &&
			near(got.Intercept, c.want.Intercept) &&
			near(got.R2, c.want.R2) &&
			near(got.Error, c.want.Error)
		if !same {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
	if at := (Line{Slope: 2, Intercept: 3}).At(10); at != 23 {
		t.Errorf("the line's value at 10 is %v, want 23", at)
	}
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9 }

func TestSpreadOfMatchesDefinitions(t *testing.T) {
	descending := make([]float64, 200)
	for i := range descending {
		descending[i] = float64(200 - i)
	}
	for name, c := range map[string]struct {
		xs   []float64
		want Spread
	}{
		"no values":   {want: Spread{}},
		"one value":   {xs: []float64{4}, want: Spread{Mean: 4, Median: 4, P99: 4, Max: 4}},
		"odd number":  {xs: []float64{9, 1, 2}, want: Spread{Mean: 4, Median: 2, P99: 9, Max: 9}},
		"even number": {xs: []float64{1, 2, 3, 10}, want: Spread{Mean: 4, Median: 2.5, P99: 10, Max: 10}},
		"200 values":  {xs: descending, want: Spread{Mean: 100.5, Median: 100.5, P99: 198, Max: 200}},
	} {
		got := SpreadOf(c.xs)
		same := near(got.Mean, c.want.Mean) &&
			got.Median == c.want.Median &&
			got.P99 == c.want.P99 &&
			got.Max == c.want.Max
		if !same {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}
