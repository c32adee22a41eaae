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
	metricsLag            = 500 * time.Millisecond // that metrics may lag behind
	countsInterval        = 100 * time.Millisecond // between copies of what clients counted
	countTolerance        = 3                      // allowed difference of a count,
	countToleranceDivisor = 100                    // or this fraction of it if that is more
	maxMetricsSize        = 1 << 20                // bytes
)

// clientCounts is what a node's clients counted. Comparing it with the node's metrics reveals requests that the node
// counted twice or not at all.
type clientCounts struct {
	pending  int // requests without a response, including those that the node never received
	finished map[string]uint64
}

// metricSuffixes are the last parts of the names of a node's counters, by result.
var metricSuffixes = map[checker.Final]string{checker.Satisfied: "completed", checker.Rejected: "rejected", checker.Failed: "failed"}

func (f *clientCounts) requestFinished(grade string, how checker.Final) {
	name, is := metricSuffixes[how]
	if !is {
		return
	}
	if f.finished == nil {
		f.finished = map[string]uint64{}
	}
	f.pending--
	f.finished["svc.downstream_requests."+grade+"."+name]++
}

// wrongCounts returns the counters of a node that contradict what its clients counted between two instants.
func wrongCounts(text string, from, to clientCounts) (wrong []string) {
	for line := range strings.Lines(text) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		if !strings.HasPrefix(name, "svc.downstream_requests.") {
			continue
		}
		digits, kind, _ := strings.Cut(rest, "|")
		n, err := strconv.ParseUint(digits, 10, 64)
		low, high := from.finished[name], to.finished[name]
		slack := max(countTolerance, high/countToleranceDivisor)
		if err != nil || kind != "c" || n+slack < low || n > high+slack+uint64(max(0, to.pending)) {
			wrong = append(wrong, fmt.Sprintf("%s, but clients counted %d to %d", strings.TrimSpace(line), low, high))
		}
	}
	return wrong
}

// ScrapeNode reads a node's metrics until an instant and compares them with what its clients counted. The lock is
// held.
func (r *Rig) ScrapeNode(number int, until policy.Instant) {
	m := r.nodes[number]
	go func() {
		type look struct {
			at   time.Time
			seen clientCounts
		}
		var looks []look
		for fetched := time.Now(); r.now() < until && !r.isClosing(); time.Sleep(countsInterval) {
			r.mu.Lock()
			now := look{time.Now(), clientCounts{m.counts.pending, maps.Clone(m.counts.finished)}}
			r.mu.Unlock()
			looks = append(looks, now)
			for len(looks) > 1 && now.at.Sub(looks[1].at) >= metricsLag {
				looks = looks[1:]
			}
			if now.at.Sub(fetched) < scrapeInterval {
				continue
			}
			fetched = now.at
			text, err := m.fetchMetrics()
			if err != nil {
				m.fail("cannot read its metrics: " + err.Error())
				return
			}
			r.mu.Lock()
			to := clientCounts{m.counts.pending, maps.Clone(m.counts.finished)}
			r.mu.Unlock()
			if wrong := wrongCounts(text, looks[0].seen, to); len(wrong) > 0 {
				m.fail("metrics contradict its clients: " + strings.Join(wrong, "; "))
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
		err = fmt.Errorf("status %d without metrics", a.StatusCode)
	}
	return string(text), err
}
