package realtime

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/policy"
)

const (
	scrapeInterval        = 500 * time.Millisecond // between reads of a node's metrics
	metricsLag            = 500 * time.Millisecond // by which a node's metrics may lag behind its clients' counts
	countsInterval        = 100 * time.Millisecond // between snapshots of the clients' counts
	countTolerance        = 3                      // allowed absolute difference of a counter
	countToleranceDivisor = 100                    // allowed relative difference of one in 100, if that is more
	maxMetricsSize        = 1 << 20                // bytes
)

// clientCounts are the counts of a node's clients. Comparing them with the node's metrics reveals requests that the
// node counted twice or not at all.
type clientCounts struct {
	pending  int               // requests that the node may have received, and whose clients have no response
	finished map[string]uint64 // finished requests by the name of the node's counter
}

// metricSuffixes are the last components of the names of a node's counters, by final result.
var metricSuffixes = map[checker.Final]string{
	checker.Satisfied: "completed",
	checker.Rejected:  "rejected",
	checker.Failed:    "failed",
}

func (c *clientCounts) requestFinished(class string, result checker.Final) {
	name, ok := metricSuffixes[result]
	if !ok {
		return
	}
	if c.finished == nil {
		c.finished = map[string]uint64{}
	}
	c.pending--
	c.finished["svc.downstream_requests."+class+"."+name]++
}

// contradictingCounters returns the counters in a node's metrics that are out of the range of its clients' counts.
// from is a snapshot of the counts taken about metricsLag before the metrics were read, and to is one taken after.
func contradictingCounters(text string, from, to clientCounts) (wrong []string) {
	for line := range strings.Lines(text) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		if !strings.HasPrefix(name, "svc.downstream_requests.") {
			continue
		}
		digits, kind, _ := strings.Cut(rest, "|")
		n, err := strconv.ParseUint(digits, 10, 64)
		low, high := from.finished[name], to.finished[name]
		tolerance := max(countTolerance, high/countToleranceDivisor)
		// The node may have counted requests that are still pending for the clients.
		if err != nil || kind != "c" || n+tolerance < low || n > high+tolerance+uint64(max(0, to.pending)) {
			wrong = append(wrong, fmt.Sprintf("%s, but clients counted %d to %d", strings.TrimSpace(line), low, high))
		}
	}
	return wrong
}

// ScrapeNode reads a node's metrics every scrapeInterval until an instant, and compares them with the counts of its
// clients. Rig.mu must be locked.
func (r *Rig) ScrapeNode(number int, until policy.Instant) {
	m := r.nodes[number]
	go func() {
		type snapshot struct {
			at     time.Time
			counts clientCounts
		}
		var snapshots []snapshot
		for fetched := time.Now(); r.now() < until && !r.isClosing(); time.Sleep(countsInterval) {
			r.mu.Lock()
			latest := snapshot{time.Now(), clientCounts{m.counts.pending, maps.Clone(m.counts.finished)}}
			r.mu.Unlock()
			snapshots = append(snapshots, latest)
			for len(snapshots) > 1 && latest.at.Sub(snapshots[1].at) >= metricsLag {
				snapshots = snapshots[1:]
			}
			if latest.at.Sub(fetched) < scrapeInterval {
				continue
			}
			fetched = latest.at
			text, err := m.fetchMetrics()
			if err != nil {
				m.fail("cannot read its metrics: " + err.Error())
				return
			}
			r.mu.Lock()
			to := clientCounts{m.counts.pending, maps.Clone(m.counts.finished)}
			r.mu.Unlock()
			if wrong := contradictingCounters(text, snapshots[0].counts, to); len(wrong) > 0 {
				m.fail("its metrics contradict the counts of its clients: " + strings.Join(wrong, "; "))
				return
			}
		}
	}()
}

func (m *member) fetchMetrics() (string, error) {
	client := http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Get("http://" + m.adminAddr + "/status/metrics")
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, maxMetricsSize))
	if err == nil && !strings.Contains(string(text), "svc.pending:") {
		err = fmt.Errorf("response with status %d contains no metrics", a.StatusCode)
	}
	return string(text), err
}
