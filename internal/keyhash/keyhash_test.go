package keyhash

import "testing"

func TestChanceHoldsWhenDrawsDependOnDraws(t *testing.T) {
	s, in := Source{Seed: 12345}, 0
	for range 20000 {
		if s.Float64() < 0.15 {
			in++
			s.Float64()
			s.Float64()
			s.Float64()
		}
	}
	if in < 2800 || in > 3200 {
		t.Errorf("a chance of 15%% came true %d times in 20000", in)
	}
}
