package rig

import (
	"dahliapin/internal/scale/logscale/checker"
)

const bytesPerMB = 1 << 20

// Usage is the resource usage of the processes of a role during a phase.
type Usage struct {
	Phase   string  `json:"play"`
	Role    string  `json:"role"`
	Count   int     `json:"count"`                // number of processes or simulated nodes
	InRate  float64 `json:"bytes_in_s"`           // received bytes per second, median
	OutRate float64 `json:"bytes_out_s"`          // sent bytes per second, median
	MaxRate float64 `json:"most_bytes_s"`         // sent and received bytes per second, maximum
	Core    float64 `json:"percent_of_core"`      // median
	MaxCore float64 `json:"most_percent_of_core"` // maximum
	// MB is the maximum resident memory; for simulated nodes an equal share of that of their process.
	MB float64 `json:"mb"`
}

// Report is the result of a run.
type Report struct {
	Nodes, Real, Regions int
	Loss                 float64
	Seed                 uint32
	Load                 []string       `json:"load"` // load averages of the machine before and after the run
	Check                checker.Report `json:"judge"`
	Usage                []Usage        `json:"usage"`
	Notes                []string       `json:"notes"`
	// RegionRecoveryS is the time from the end of a region's cut until its nodes had all entries published by then.
	RegionRecoveryS float64 `json:"back_s"`
	StaleInCut      int     `json:"stale_in_cut"` // maximum number of stale nodes in the region during the cut
	Moves, Gaps     uint64
	Caches          *checker.CachesReport `json:"caches,omitempty"`
	// CacheRecoveryS is the time from the end of a cache's outage until all purges published by then were done there.
	CacheRecoveryS float64 `json:"cache_back_s,omitempty"`
	RealComplete   int     `json:"real_with_all"` // real nodes that had all entries and the newest configuration
	// MaxShowDelayS is the longest time from an entry's acknowledgement until fleet changes showed it at every node.
	MaxShowDelayS float64 `json:"shown_s"`
	MaxQueryTimeS float64 `json:"asked_s"` // longest time that one query of the data of fleet changes took
}
