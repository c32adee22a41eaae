package keyhash

import "testing"

// An admission check draws more numbers after each low one, for the request that it admits. With correlated numbers a
// probability of 15% came out as 10%.
func TestDrawsAfterLowDrawAreIndependent(t *testing.T) {
	source := Source{Seed: 12345}
	low := 0
	for range 20000 {
		if source.Float64() < 0.15 {
			low++
			source.Float64()
			source.Float64()
			source.Float64()
		}
	}
	if low < 2800 || low > 3200 {
		t.Errorf("%d of 20000 draws are below 15%%", low)
	}
}

// Processes of different versions share placement and rings, so the hash values are part of their protocol.
func TestHashValuesAreStable(t *testing.T) {
	if got := String("user:1"); got != 0x3290bc1a92ad86c2 {
		t.Errorf("String: %#x", got)
	}
	if got := Salted(7, 3); got != 0x88d1e30f51a6f8b7 {
		t.Errorf("Salted: %#x", got)
	}
	source := Source{Seed: 7}
	source.Float64()
	if got := source.Float64(); got != 0.8677207223940347 {
		t.Errorf("Float64: %v", got)
	}
}
