package rig

import (
	"io"
	"time"
)

// The plays.
const (
	Steady      = "steady"    // purges at the stated rate, and a configuration a second
	Burst       = "burst"     // 1,000 purges at once
	CacheOutage = "cache-cut" // a cache says nothing for a while
	RegionCut   = "cut"       // a region is cut off while an hour's changes pass, and comes back
)

// Plan is a run.
type Plan struct {
	Program          string // that control machines, hollow and real nodes are started by
	Nodes, Real      int
	Regions          int
	Phases           []string
	SteadyFor        time.Duration // of steady
	CutFor           time.Duration
	After            time.Duration // that purges at the stated rate go on once it is back
	CutRegion        int           // which region is cut off; control machines are in those at 0, 1, 2 and 3 quarters
	CutPurges        int
	CutConfigs       int
	Loss             float64
	Kill             bool // the leader outright, a third into steady, and back with its disk after two thirds
	Hang             bool // the leader is stopped (SIGSTOP) in that time instead, its streams open
	Seed             uint32
	Dir              string
	Log              io.Writer
	Caches           int           // at which purges are carried out; 0 for none
	MaxFillTime      time.Duration // the longest that a fill may take there
	HollowArgs       []string      // of the program, before the spec
	PurgesPerSecond  float64
	ConfigsPerSecond float64
}
