package world

import "container/list"

// store is what a cache holds: a bounded set of keys, the one used longest ago giving way.
type store struct {
	most  int
	order *list.List // the latest used in front
	at    map[string]*list.Element
}

func newStore(most int) *store {
	return &store{most: most, order: list.New(), at: map[string]*list.Element{}}
}

func (s *store) has(key string) bool {
	e := s.at[key]
	if e != nil {
		s.order.MoveToFront(e)
	}
	return e != nil
}

func (s *store) put(key string) {
	if s.has(key) {
		return
	}
	s.at[key] = s.order.PushFront(key)
	for s.order.Len() > s.most {
		last := s.order.Back()
		s.order.Remove(last)
		delete(s.at, last.Value.(string))
	}
}

func (s *store) drop(key string) {
	if e := s.at[key]; e != nil {
		s.order.Remove(e)
		delete(s.at, key)
	}
}

// labels remembers labelled writes for a window, so that a repeat has no effect.
type labels struct {
	seen  map[string]mark
	order []string // by time
}

type mark struct {
	until   int64
	receipt string
}

// repeat returns the receipt of an earlier run of a labelled write within its window.
func (l *labels) repeat(now int64, label string) (receipt string, ok bool) {
	for len(l.order) > 0 && l.seen[l.order[0]].until <= now {
		delete(l.seen, l.order[0])
		l.order = l.order[1:]
	}
	m, ok := l.seen[label]
	return m.receipt, ok
}

func (l *labels) keep(label, receipt string, until int64) {
	if l.seen == nil {
		l.seen = map[string]mark{}
	}
	l.seen[label] = mark{until, receipt}
	l.order = append(l.order, label)
}
