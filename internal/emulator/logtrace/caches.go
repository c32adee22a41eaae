package logtrace

import "dahliapin/internal/monotime"

// CacheEventKind says what befell a cache server.
type CacheEventKind uint8

// What befalls a cache server.
const (
	Deleted   CacheEventKind = 1 // a key was deleted
	Emptied   CacheEventKind = 2 // all of it has gone, by a flush or a restart
	Served    CacheEventKind = 3 // a key's value, in a version, was read
	Confirmed CacheEventKind = 4 // a control machine counts purges up to an index as done there
)

// CacheEvent is one thing that befell a cache server.
type CacheEvent struct {
	At      monotime.Instant `json:"at"`
	Cache   string           `json:"cache"`
	Kind    CacheEventKind   `json:"what"`
	Key     string           `json:"key,omitempty"`
	Version uint64           `json:"version,omitempty"`
	Index   uint64           `json:"index,omitempty"`
}

// PublishedPurge is a purge: its key's value had that version when it was published.
type PublishedPurge struct {
	Index   uint64           `json:"index"`
	Key     string           `json:"key"`
	Version uint64           `json:"version"`
	Sent    monotime.Instant `json:"sent"`
	Play    string           `json:"play,omitempty"`
}
