// Package keyhash provides hashes that are the same in every process, and random numbers determined by a seed and a
// counter. Key placement, neighbour rings and all random decisions depend on it, so its values must never change.
package keyhash

import (
	"encoding/binary"
	"hash/crc32"
)

// Mix is the finalizer of splitmix64. CRC32 is no substitute: it is linear, so that its values under two salts would be
// correlated.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Salted returns the hash of h under a salt. Hashes under different salts are independent.
func Salted(h uint64, salt int) uint64 { return Mix(h ^ Salt(salt)) }

// Salt spreads a salt's number over all bits: Salted(h, n) is Mix(h ^ Salt(n)). Callers that often hash with the same
// salts precompute it.
func Salt(n int) uint64 { return Mix(uint64(n+1) * 0x9e3779b97f4a7c15) }

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// String returns the FNV-1a hash of a name, passed through Mix.
func String(s string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return Mix(h)
}

// Source is a pseudo-random number generator. Sources with equal seeds yield equal sequences. The zero Source has seed
// 0.
type Source struct {
	Seed  uint32
	drawn uint32 // numbers drawn so far
}

// Float64 returns a pseudo-random number in [0, 1).
//
// Because CRC32 is linear, draws after a low one would not be independent without Mix: an admission check with a
// probability of 15% that draws three more numbers for each admitted request would admit 10%.
func (s *Source) Float64() float64 {
	var b [8]byte
	s.drawn++
	binary.LittleEndian.PutUint32(b[:4], s.Seed)
	binary.LittleEndian.PutUint32(b[4:], s.drawn)
	return float64(Mix(uint64(crc32.ChecksumIEEE(b[:])))>>11) / (1 << 53)
}
