package cachegrowth

// Metric is a quantity that is measured on each day: resource usage of the node, or service to its clients.
type Metric int

// The metrics in the operators' table of growth limits.
const (
	ProcessorSeconds Metric = iota // CPU time of the node, in seconds
	PeakMemory                     // peak resident memory, in MB
	Descriptors                    // peak number of open descriptors
	Connections                    // number of connections opened to caches
	ListKilobytes                  // size of the endpoint lists received from discovery, in kB
	ShareServed                    // share of requests that were served
	metricCount
)

var metricNames = [metricCount]string{
	ProcessorSeconds: "processor s",
	PeakMemory:       "peak memory MB",
	Descriptors:      "descriptors",
	Connections:      "connections to caches",
	ListKilobytes:    "lists kB",
	ShareServed:      "share served",
}

// String returns the metric's name in tables.
func (r Metric) String() string { return metricNames[r] }

// GrowthLimit limits the growth of a metric relative to the same day at the first size.
type GrowthLimit struct {
	Factor      float64 // of the value at the first size
	Allowance   float64 // added, in the metric's unit
	PerThousand float64 // added per thousand caches, in the metric's unit
}

// growthLimits are the operators' limits for up to sixteen times the caches of the first size. That of ShareServed is a
// lower bound; all others are upper bounds.
var growthLimits = [metricCount]GrowthLimit{
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

// Figures holds the values of all metrics, by Metric.
type Figures [metricCount]float64
