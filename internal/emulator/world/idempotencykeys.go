package world

import (
	"slices"
	"time"

	"dahliapin/policy"
)

// expiredKeyRetention is how long an expired idempotency key is remembered for jobs that began before it expired. It is
// longer than any job runs.
const expiredKeyRetention = 30 * time.Second

// idempotencyKeys records the idempotency keys of writes for their deduplication window, within which a repeated write
// has no effect.
type idempotencyKeys struct {
	records map[string]idempotencyRecord
	order   []string // keys, oldest first
}

type idempotencyRecord struct {
	addedAt   policy.Instant
	expiresAt policy.Instant
	receipt   string
}

// lookup returns the receipt of an earlier write with the same key if the write of a job repeats it: the key is known
// now, or it was known when the job began. A server that has begun to execute a repeat has recognized it.
func (k *idempotencyKeys) lookup(now, begunAt policy.Instant, key string) (receipt string, ok bool) {
	for len(k.order) > 0 && k.records[k.order[0]].expiresAt.Add(expiredKeyRetention) <= now {
		delete(k.records, k.order[0])
		k.order = k.order[1:]
	}
	record, known := k.records[key]
	wasKnown := record.addedAt <= begunAt && begunAt < record.expiresAt
	return record.receipt, known && (wasKnown || now < record.expiresAt)
}

// add records the key of a write that has taken effect. A key that had expired is removed first, so that it is in order
// only once.
func (k *idempotencyKeys) add(now policy.Instant, window time.Duration, key, receipt string) {
	if k.records == nil {
		k.records = map[string]idempotencyRecord{}
	}
	if _, known := k.records[key]; known {
		k.order = slices.DeleteFunc(k.order, func(other string) bool { return other == key })
	}
	k.records[key] = idempotencyRecord{addedAt: now, expiresAt: now.Add(window), receipt: receipt}
	k.order = append(k.order, key)
}
