package world

// idempotencyKeys records the idempotency keys of writes for their deduplication window, within which a repeated write
// has no effect.
type idempotencyKeys struct {
	records map[string]idempotencyRecord
	order   []string // keys, oldest first
}

type idempotencyRecord struct {
	expiresAt int64
	receipt   string
}

// lookup returns the receipt of an earlier write with the same key within its window.
func (k *idempotencyKeys) lookup(now int64, key string) (receipt string, ok bool) {
	for len(k.order) > 0 && k.records[k.order[0]].expiresAt <= now {
		delete(k.records, k.order[0])
		k.order = k.order[1:]
	}
	record, ok := k.records[key]
	return record.receipt, ok
}

func (k *idempotencyKeys) add(key, receipt string, expiresAt int64) {
	if k.records == nil {
		k.records = map[string]idempotencyRecord{}
	}
	k.records[key] = idempotencyRecord{expiresAt: expiresAt, receipt: receipt}
	k.order = append(k.order, key)
}
