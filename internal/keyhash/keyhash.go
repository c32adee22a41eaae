// Package keyhash hashes names alike in every process, and draws numbers that a seed and a counter fix.
package keyhash

import (
	"encoding/binary"
	"hash/crc32"
)

// Mix is splitmix64's finaliser. CRC32 would not do here: being linear, its values under two salts depend
// on each other.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Salted returns one of many independent hashes of h.
func Salted(h uint64, salt int) uint64 { return Mix(h ^ Salt(salt)) }

// Salt spreads a salt's number over all bits: Salted(h, n) is Mix(h ^ Salt(n)), for who hashes much by the same salts.
func Salt(n int) uint64 { return Mix(uint64(n+1) * 0x9e3779b97f4a7c15) }

// String hashes a name (FNV-1a, mixed).
func String(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return Mix(h)
}

// Source draws numbers from a seed and a counter.
type Source struct{ Seed, drawn uint32 }

// Float64 returns a number from 0 up to 1. Without the mix, CRC32 being linear, draws that follow a low one
// are not chance: a door of 15% that draws thrice more for each one let in would let in 10%.
func (s *Source) Float64() float64 {
	var b [8]byte
	s.drawn++
	binary.LittleEndian.PutUint32(b[:4], s.Seed)
	binary.LittleEndian.PutUint32(b[4:], s.drawn)
	return float64(Mix(uint64(crc32.ChecksumIEEE(b[:])))>>11) / (1 << 53)
}
