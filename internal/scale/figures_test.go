package scale

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		xs, ys []float64
		want   Line
	}{
		{nil, nil, Line{}},
		{[]float64{5}, []float64{7}, Line{Intercept: 7, R2: 1, Points: 1}},
		{[]float64{5, 5}, []float64{6, 8}, Line{Intercept: 7, R2: 0, Points: 2}},
		{[]float64{1, 2, 3}, []float64{5, 7, 9}, Line{Slope: 2, Intercept: 3, R2: 1, Points: 3}},
		{[]float64{0, 1, 2}, []float64{0, 3, 0}, Line{Intercept: 1, R2: 0, Error: math.Sqrt(3), Points: 3}},
		{[]float64{1, 2, 3, 4}, []float64{1, 3, 2, 4}, Line{Slope: 0.8, Intercept: 0.5, R2: 0.64, Error: math.Sqrt(0.18), Points: 4}},
	} {
		got := Fit(c.xs, c.ys)
		for _, d := range []float64{got.Slope - c.want.Slope, got.Intercept - c.want.Intercept, got.R2 - c.want.R2, got.Error - c.want.Error} {
			if math.Abs(d) > 1e-9 || got.Points != c.want.Points {
				t.Errorf("%v, %v: %+v, and not %+v", c.xs, c.ys, got, c.want)
				break
			}
		}
	}
	if at := (Line{Slope: 2, Intercept: 3}).At(10); at != 23 {
		t.Errorf("%v at 10", at)
	}
}

func TestOver(t *testing.T) {
	hundred := make([]float64, 200)
	for i := range hundred {
		hundred[i] = float64(200 - i)
	}
	for _, c := range []struct {
		xs   []float64
		want Spread
	}{
		{nil, Spread{}}, {[]float64{4}, Spread{4, 4, 4, 4}}, {[]float64{9, 1, 2}, Spread{4, 2, 9, 9}}, {[]float64{1, 2, 3, 10}, Spread{4, 2.5, 10, 10}},
		{hundred, Spread{100.5, 100.5, 198, 200}},
	} {
		got := Over(c.xs)
		if math.Abs(got.Mean-c.want.Mean) > 1e-9 || got.Median != c.want.Median || got.P99 != c.want.P99 || got.Most != c.want.Most {
			t.Errorf("%v: %+v, and not %+v", c.xs, got, c.want)
		}
	}
}
