package cachegrowth

// Metric is a quantity that a node needs, or its clients get, on one day.
type Metric int

// The rows of the operators' table of growth.
const (
	ProcessorSeconds Metric = iota // processor time of the node, in seconds
	PeakMemory                     // resident memory at most, in megabytes
	Descriptors                    // open descriptors at most
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

// String returns the row's name in tables.
func (r Metric) String() string { return rowNames[r] }

// GrowthLimit is how much a row may grow over the same day at the first size.
type GrowthLimit struct {
	Factor      float64
	Allowance   float64 // in the row's unit
	PerThousand float64 // more for each thousand caches
}

// growthLimits are the operators' limits, for fleets of up to sixteen times the caches. That of ShareServed is the
// least that is left; all others are the most that is needed.
var growthLimits = [rowCount]GrowthLimit{
	ProcessorSeconds: {Factor: 1.4, Allowance: 0.02, PerThousand: 0.03},
	PeakMemory:       {Factor: 1.5, Allowance: 8, PerThousand: 4},
	Descriptors:      {Factor: 2, Allowance: 40},
	Connections:      {Factor: 2.5, Allowance: 40},
	ListKilobytes:    {Factor: 2, Allowance: 64, PerThousand: 500},
	ShareServed:      {Factor: 0.85},
}

// Limit returns the limit of a row at a number of caches, by what was needed at the first size.
func (r Metric) Limit(first float64, caches int) float64 {
	growth := growthLimits[r]
	return growth.Factor*first + growth.Allowance + growth.PerThousand*float64(caches)/1000
}

// Within reports whether a value keeps a limit of the row.
func (r Metric) Within(value, limit float64) bool {
	if r == ShareServed {
		return value >= limit
	}
	return value <= limit
}

// Figures are the values of all rows.
type Figures [rowCount]float64
