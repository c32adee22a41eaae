package metrics

import (
	"strconv"
	"strings"
	"time"
)

// The metric types of the statsd text format.
const (
	kindCounter = "c" // count since the start
	kindGauge   = "g" // current value
)

// metricPrefix is the first part of each metric's name.
const metricPrefix = "svc"

// Snapshot is an immutable copy of a node's metrics at one moment.
type Snapshot struct {
	At          time.Time // creation time, with the reading of the monotonic clock
	Serving     bool      // whether the node's phase is Serving; clients may be served in other phases too
	Phase       string    // name of the node's phase
	Classes     []ClassSnapshot
	Attempts    uint64 // attempts written to servers completely; Counters.Attempts counts all that were started
	Pending     int    // requests in flight
	Members     int    // endpoints in the list, without the origin
	Unavailable int    // endpoints in the list that the node avoids
}

// ClassSnapshot holds the response counts of one service class.
type ClassSnapshot struct {
	Name      string // configured name of the class
	Satisfied uint64
	Rejected  uint64
	Failed    uint64
}

// escapeName replaces the characters that would end a part of a metric's name, or the line.
var escapeName = strings.NewReplacer(".", "_", ":", "_", "|", "_", " ", "_", "\t", "_", "\r", "_", "\n", "_")

// Text returns the metrics in the statsd text format: one line per metric, with its name, value and type.
func (s *Snapshot) Text() []byte {
	var text []byte
	for _, class := range s.Classes {
		text = appendMetric(text, class.Satisfied, kindCounter, "downstream_requests", class.Name, "completed")
		text = appendMetric(text, class.Rejected, kindCounter, "downstream_requests", class.Name, "rejected")
		text = appendMetric(text, class.Failed, kindCounter, "downstream_requests", class.Name, "failed")
	}
	text = appendMetric(text, s.Attempts, kindCounter, "upstream_requests")
	text = appendMetric(text, uint64(s.Pending), kindGauge, "pending")
	text = appendMetric(text, uint64(s.Members), kindGauge, "members")
	return appendMetric(text, uint64(s.Unavailable), kindGauge, "members_unavailable")
}

// appendMetric appends the line of one metric to text. The name is given by its parts.
func appendMetric(text []byte, value uint64, kind string, name ...string) []byte {
	text = append(text, metricPrefix...)
	for _, part := range name {
		text = append(text, '.')
		text = append(text, escapeName.Replace(part)...)
	}
	text = append(text, ':')
	text = strconv.AppendUint(text, value, 10)
	text = append(text, '|')
	text = append(text, kind...)
	return append(text, '\n')
}
