package cachegrowth

// Metric is a quantity measured on one day: resource usage of the node, or service to its clients.
type Metric int

// The metrics in the operators' table of growth limits.
const (
	ProcessorSeconds Metric = iota // processor time of the node, in seconds
	PeakMemory                     // peak resident memory, in megabytes
	Descriptors                    // peak number of open descriptors
	Connections                    // connections made to caches
	ListKilobytes                  // bytes of endpoint lists from discovery, in kilobytes
	ShareServed                    // part of the requests that were served
	rowCount
)

var rowNames = [rowCount]string{
	ProcessorSeconds: "processor s",
	PeakMemory:       "peak memory MB",
	Descriptors:      "descriptors",
	Connections:      "connections to caches",
	ListKilobytes:    "lists kB",
	ShareServed:      "share served",
}

// String returns the metric's name in tables.
func (r Metric) String() string { return rowNames[r] }

// GrowthLimit limits the growth of a metric over the same day at the first size.
type GrowthLimit struct {
	Factor      float64
	Allowance   float64 // in the metric's unit
	PerThousand float64 // more for each thousand caches
}

// growthLimits are the operators' limits, for fleets of up to sixteen times the caches. That of ShareServed is a
// lower bound; all others are upper bounds.
var growthLimits = [rowCount]GrowthLimit{
	ProcessorSeconds: {Factor: 1.4, Allowance: 0.02, PerThousand: 0.03},
	PeakMemory:       {Factor: 1.5, Allowance: 8, PerThousand: 4},
	Descriptors:      {Factor: 2, Allowance: 40},
	Connections:      {Factor: 2.5, Allowance: 40},
	ListKilobytes:    {Factor: 2, Allowance: 64, PerThousand: 500},
	ShareServed:      {Factor: 0.85},
}

// Limit returns the limit of a metric at a number of caches, given its value at the first size.
func (r Metric) Limit(first float64, caches int) float64 {
	growth := growthLimits[r]
	return growth.Factor*first + growth.Allowance + growth.PerThousand*float64(caches)/1000
}

// Within reports whether a value is within a limit of the metric.
func (r Metric) Within(value, limit float64) bool {
	if r == ShareServed {
		return value >= limit
	}
	return value <= limit
}

// Figures holds the values of all metrics.
type Figures [rowCount]float64
