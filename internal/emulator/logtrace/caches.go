package logtrace

import "dahliapin/internal/monotime"

// CacheEventKind is the kind of a CacheEvent.
type CacheEventKind uint8

// The kinds of cache events.
const (
	Deleted   CacheEventKind = 1 // a key was deleted
	Emptied   CacheEventKind = 2 // all keys were removed, by a flush or a restart
	Served    CacheEventKind = 3 // a version of a key's value was read
	Confirmed CacheEventKind = 4 // a control server considers the purges up to an index completed at the cache
)

// CacheEvent is an event at a cache server, as recorded by the cache stub or by a control server.
type CacheEvent struct {
	At      monotime.Instant `json:"at"`
	Cache   string           `json:"cache"`
	Kind    CacheEventKind   `json:"what"`
	Key     string           `json:"key,omitempty"`
	Version uint64           `json:"version,omitempty"`
	Index   uint64           `json:"index,omitempty"`
}

// PublishedPurge is a purge with the version of its key's value at the time of publication.
type PublishedPurge struct {
	Index   uint64           `json:"index"`
	Key     string           `json:"key"`
	Version uint64           `json:"version"`
	Sent    monotime.Instant `json:"sent"`
	Phase   string           `json:"play,omitempty"`
}
