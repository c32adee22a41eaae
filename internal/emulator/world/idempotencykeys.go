package world

// idempotencyKeys stores the idempotency keys of writes for their deduplication window, so that a repeat has no effect.
type idempotencyKeys struct {
	records map[string]idempotencyRecord
	order   []string // keys in the order of their writes
}

type idempotencyRecord struct {
	until   int64
	receipt string
}

// lookup returns the receipt of an earlier write with the same key within its window.
func (l *idempotencyKeys) lookup(now int64, label string) (receipt string, ok bool) {
	for len(l.order) > 0 && l.records[l.order[0]].until <= now {
		delete(l.records, l.order[0])
		l.order = l.order[1:]
	}
	m, ok := l.records[label]
	return m.receipt, ok
}

func (l *idempotencyKeys) add(label, receipt string, until int64) {
	if l.records == nil {
		l.records = map[string]idempotencyRecord{}
	}
	l.records[label] = idempotencyRecord{until: until, receipt: receipt}
	l.order = append(l.order, label)
}
