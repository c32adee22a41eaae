package rig

import (
	"dahliapin/internal/scale/logscale/checker"
)

const bytesPerMB = 1 << 20

// Usage is the resource usage of the processes of a role during a phase.
type Usage struct {
	Phase   string  `json:"play"`
	Role    string  `json:"role"`
	Count   int     `json:"count"`
	InRate  float64 `json:"bytes_in_s"` // bytes per second, median over nodes
	OutRate float64 `json:"bytes_out_s"`
	MaxRate float64 `json:"most_bytes_s"` // in and out together, of the one with the most
	Core    float64 `json:"percent_of_core"`
	MaxCore float64 `json:"most_percent_of_core"`
	MB      float64 `json:"mb"` // resident, the most; for hollow nodes its share of the process's
}

// Report is the result of a run.
type Report struct {
	Nodes, Real, Regions int
	Loss                 float64
	Seed                 uint32
	Load                 []string       `json:"load"` // of the machine, before and after
	Check                checker.Report `json:"judge"`
	Usage                []Usage        `json:"usage"`
	Notes                []string       `json:"notes"`
	RegionRecoveryS      float64        `json:"back_s"` // from the end of the cut until the region had all; 0: no cut
	StaleInCut           int            `json:"stale_in_cut"`
	Moves, Gaps          uint64
	Caches               *checker.CachesReport `json:"caches,omitempty"`
	// CacheRecoveryS is from the end of a cache's silence until all purges published by then were done there.
	CacheRecoveryS float64 `json:"cache_back_s,omitempty"`
	RealComplete   int     `json:"real_with_all"`
	// MaxShowDelayS is the most from an entry's acknowledgement until the command fleet changes showed it at every node.
	MaxShowDelayS float64 `json:"shown_s"`
	MaxQueryTimeS float64 `json:"asked_s"` // the most that one such call took meanwhile
}
