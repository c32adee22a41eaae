package keyhash

import "testing"

// A caller that draws more numbers where a draw was low, as an admission does for each request that it admits, got 10%
// in place of 15% from a source whose numbers depended on each other.
func TestDrawsAfterALowOneAreIndependent(t *testing.T) {
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
		t.Errorf("a probability of 15%% came true %d times in 20000", low)
	}
}

// Processes of different versions share placement and rings: the values are part of the protocol between them.
func TestValuesDoNotChange(t *testing.T) {
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
