// Package keyhash hashes names alike in every process, and draws random numbers that a seed and a counter determine.
// Placement of keys, rings of neighbours and all draws of decisions go by it: its values must never change.
package keyhash

import (
	"encoding/binary"
	"hash/crc32"
)

// Mix spreads the bits of x (splitmix64's finalizer). CRC32 would not do: it is linear, so that its values under two
// salts depend on each other.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Salted returns one of many independent hashes of h.
func Salted(h uint64, salt int) uint64 { return Mix(h ^ Salt(salt)) }

// Salt spreads the number of a salt over all bits: Salted(h, n) is Mix(h ^ Salt(n)). Callers that hash much by the same
// salts keep it.
func Salt(n int) uint64 { return Mix(uint64(n+1) * 0x9e3779b97f4a7c15) }

// The parameters of the hash FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// String returns the hash of a name: FNV-1a, mixed.
func String(s string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return Mix(h)
}

// Source draws random numbers. Sources with the same seed draw the same numbers. The zero Source has the seed 0.
type Source struct {
	Seed  uint32
	drawn uint32 // numbers drawn until now
}

// Float64 returns a number from 0 up to, but not including, 1.
//
// Without Mix, as CRC32 is linear, draws that follow a low one would not be independent: an admission with a
// probability of 15% that draws three more numbers for each request which it admits would admit 10%.
func (s *Source) Float64() float64 {
	var b [8]byte
	s.drawn++
	binary.LittleEndian.PutUint32(b[:4], s.Seed)
	binary.LittleEndian.PutUint32(b[4:], s.drawn)
	return float64(Mix(uint64(crc32.ChecksumIEEE(b[:])))>>11) / (1 << 53)
}
