package world

import "container/list"

// lruStore is the content of a cache: a bounded set of keys that evicts the least recently used one.
type lruStore struct {
	capacity int
	order    *list.List // the most recently used first
	elements map[string]*list.Element
}

func newStore(capacity int) *lruStore {
	return &lruStore{capacity: capacity, order: list.New(), elements: map[string]*list.Element{}}
}

// contains reports whether a key is stored, without marking it as used.
func (s *lruStore) contains(key string) bool { return s.elements[key] != nil }

// use reports whether a key is stored, and makes it the most recently used.
func (s *lruStore) use(key string) bool {
	e := s.elements[key]
	if e == nil {
		return false
	}
	s.order.MoveToFront(e)
	return true
}

func (s *lruStore) put(key string) {
	if s.use(key) {
		return
	}
	s.elements[key] = s.order.PushFront(key)
	for s.order.Len() > s.capacity {
		last := s.order.Back()
		s.order.Remove(last)
		delete(s.elements, last.Value.(string))
	}
}

func (s *lruStore) remove(key string) {
	if e := s.elements[key]; e != nil {
		s.order.Remove(e)
		delete(s.elements, key)
	}
}
