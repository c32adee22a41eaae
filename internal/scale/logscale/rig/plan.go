package rig

import (
	"io"
	"time"
)

// The phases of a run.
const (
	Steady      = "steady"    // purges and configurations at the planned rates
	Burst       = "burst"     // 1,000 purges in one call
	CacheOutage = "cache-cut" // a cache is unresponsive for a time
	RegionCut   = "cut"       // a region is cut off while an hour's changes are published, and then reconnected
)

// Plan configures a run.
type Plan struct {
	Program           string        // executable for control servers, simulated nodes and real nodes
	Nodes, Real       int           // numbers of simulated and of real nodes
	Regions           int           // number of regions
	Phases            []string      // in the order in which they run
	SteadyFor         time.Duration // duration of Steady
	CutFor            time.Duration // duration of the outage in CacheOutage and RegionCut
	After             time.Duration // time for which purges continue after the outage
	CutRegion         int           // region that is cut off; control servers are in those at 0, 1, 2 and 3 quarters
	CutPurges         int           // purges during the cut of a region
	CutConfigs        int           // configurations during the cut of a region
	Loss              float64       // share of lost packets
	Kill              bool          // kill the leader after a third of Steady, restart it with its data after two
	Hang              bool          // stop the leader (SIGSTOP) during that time instead, which leaves its streams open
	Seed              uint32
	Dir               string        // folder for configurations, data, logs and traces
	Log               io.Writer     // receives progress
	Caches            int           // number of caches at which purges are executed; 0 for none
	MaxFillTime       time.Duration // maximum duration of a cache fill
	SimulatedNodeArgs []string      // arguments of the program that precede the path of a Spec
	PurgesPerSecond   float64       // rate in Steady and during outages; 0 for both default rates
	ConfigsPerSecond  float64       // rate in Steady
}
