package rig

import (
	"io"
	"time"
)

// The phases of a run.
const (
	Steady      = "steady"    // purges at the stated rate, and a configuration a second
	Burst       = "burst"     // 1,000 purges at once
	CacheOutage = "cache-cut" // a cache does not answer for a while
	RegionCut   = "cut"       // a region is cut off while an hour's changes are published, and reconnects
)

// Plan configures a run.
type Plan struct {
	Program           string // executable for control servers, hollow and real nodes
	Nodes, Real       int
	Regions           int
	Phases            []string
	SteadyFor         time.Duration // length of the phase steady
	CutFor            time.Duration
	After             time.Duration // time for which purges continue after the region or cache is back
	CutRegion         int           // which region is cut off; control servers are in those at 0, 1, 2 and 3 quarters
	CutPurges         int
	CutConfigs        int
	Loss              float64
	Kill              bool // the leader outright, a third into steady, and back with its disk after two thirds
	Hang              bool // the leader is stopped (SIGSTOP) in that time instead, its streams open
	Seed              uint32
	Dir               string
	Log               io.Writer
	Caches            int           // at which purges are carried out; 0 for none
	MaxFillTime       time.Duration // upper bound of the duration of a cache fill
	SimulatedNodeArgs []string      // of the program, before the spec
	PurgesPerSecond   float64
	ConfigsPerSecond  float64
}
