package endpointlist

import "encoding/json"

// Snapshot is the list that a process holds. It is passed on to the process that replaces this one.
type Snapshot struct {
	Source     string // address of the discovery that Version belongs to
	Version    int
	HasVersion bool // Source has stated a version
	Entries    []Entry
}

// Entry is an endpoint of a Snapshot, in discovery's format but for the last field.
type Entry struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Group     int64   `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"startedAtMs"` // as stated by discovery
	// AgeMs is the time since the start by the monotonic clock of the process that wrote the snapshot, in milliseconds.
	// Unlike a difference of wall clock times it remains right if the wall clock is stepped.
	AgeMs float64 `json:"ageMs"`
}

// Marshal returns the snapshot as a complete list that a Reader can read.
func (s *Snapshot) Marshal() ([]byte, error) {
	object := map[string]any{keySource: s.Source, keyComplete: true, keyEntries: s.Entries}
	if s.HasVersion {
		object[keyVersion] = s.Version
	}
	return json.Marshal(object)
}
