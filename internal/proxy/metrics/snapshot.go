package metrics

import (
	"strconv"
	"strings"
	"time"
)

// The kinds of metrics in the text form.
const (
	kindCounter = "c" // counts since the start
	kindGauge   = "g" // a value at the moment
)

// metricPrefix begins the name of each metric.
const metricPrefix = "svc"

// Snapshot is a copy of a node's metrics at one moment. The event loop makes a new one each time; nobody changes it.
type Snapshot struct {
	At          time.Time // when it was made, by the monotonic clock
	Serving     bool      // clients are accepted and their requests served
	Phase       string    // name of the node's phase
	Classes     []ClassSnapshot
	Attempts    uint64 // attempts written to servers
	Pending     int    // requests received and not answered yet
	Members     int    // endpoints in the list
	Unavailable int    // endpoints of the list that the node avoids
}

// ClassSnapshot counts the responses of one service class.
type ClassSnapshot struct {
	Name      string // the deployment's name of the class
	Satisfied uint64
	Rejected  uint64
	Failed    uint64
}

// escapeName replaces what would end a class's name within its metric, or the line.
var escapeName = strings.NewReplacer(".", "_", ":", "_", "|", "_", " ", "_", "\t", "_", "\r", "_", "\n", "_")

// Text returns the metrics as lines of name, value and kind, in the form of statsd.
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
