package requestids

import (
	"crypto/sha256"
	"time"
)

// Retention is how long an id is remembered after its request has ended. It exceeds the longest deadline by far: a
// client that sends a request again does so at once or after its own timeout.
const Retention = time.Minute

// digestSize is large enough that no client can find two ids with the same digest.
const digestSize = 16

// entrySize is about how much memory an id takes in a Recent, in bytes.
const entrySize = 128

// Digest stands for the id of a request, whose size is up to the client.
type Digest [digestSize]byte

// DigestOf returns the digest of an id.
func DigestOf(id []byte) Digest {
	sum := sha256.Sum256(id)
	return Digest(sum[:digestSize])
}

// Recent is a set of ids, each of which is remembered for Retention after it was last added, or until more ids follow
// than the memory allows. It is not safe for concurrent use.
type Recent struct {
	capacity int
	addedAt  map[Digest]time.Time
	queue    []addition // in the order of their times; those before head have been removed
	head     int
}

// addition is the addition of an id. It is outdated if the id was added again or removed later.
type addition struct {
	id Digest
	at time.Time
}

// NewRecent returns an empty set that takes about memory bytes at most.
func NewRecent(memory int64) *Recent {
	return &Recent{capacity: int(max(1, memory/entrySize)), addedAt: map[Digest]time.Time{}}
}

// Add adds an id.
func (r *Recent) Add(id Digest, now time.Time) {
	r.expire(now)
	for len(r.queue)-r.head >= r.capacity {
		r.removeOldest()
	}
	r.addedAt[id] = now
	r.queue = append(r.queue, addition{id: id, at: now})
}

// Remove removes an id.
func (r *Recent) Remove(id Digest) { delete(r.addedAt, id) }

// Contains reports whether an id is in the set.
func (r *Recent) Contains(id Digest, now time.Time) bool {
	at, ok := r.addedAt[id]
	return ok && now.Sub(at) < Retention
}

// Each calls f for each id, with the time at which it was added, in the order of these times.
func (r *Recent) Each(f func(id Digest, at time.Time)) {
	for _, added := range r.queue[r.head:] {
		if at, ok := r.addedAt[added.id]; ok && at.Equal(added.at) {
			f(added.id, added.at)
		}
	}
}

// expire removes the ids that have been remembered for Retention.
func (r *Recent) expire(now time.Time) {
	for r.head < len(r.queue) && now.Sub(r.queue[r.head].at) >= Retention {
		r.removeOldest()
	}
}

// removeOldest removes the oldest addition, and its id unless that was added again.
func (r *Recent) removeOldest() {
	oldest := r.queue[r.head]
	r.head++
	if at, ok := r.addedAt[oldest.id]; ok && at.Equal(oldest.at) {
		delete(r.addedAt, oldest.id)
	}
	if r.head > len(r.queue)/2 {
		r.queue = append(r.queue[:0], r.queue[r.head:]...)
		r.head = 0
	}
}
