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
	scrapeInterval        = 500 * time.Millisecond // between fetches of a node's figures
	metricsLag            = 500 * time.Millisecond // that they may be behind
	countsInterval        = 100 * time.Millisecond // between looks at what clients saw
	countTolerance        = 3                      // that a count may miss by,
	countToleranceDivisor = 100                    // or this part of it
	maxMetricsSize        = 1 << 20                // bytes of figures
)

// clientCounts is what a node's clients saw of it.
type clientCounts struct {
	pending  int // asked of it and not answered, those that never were with them
	finished map[string]uint64
}

// The names by which a node tells each kind of end.
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

// wrongCounts tells which of a node's counts could not be what its clients saw from one look to the other.
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
			wrong = append(wrong, fmt.Sprintf("%s, where clients saw %d to %d", strings.TrimSpace(line), low, high))
		}
	}
	return wrong
}

// ScrapeNode fetches a node's figures until then, and holds them against what its clients saw; the lock is held.
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
				m.fail("its figures: " + err.Error())
				return
			}
			r.mu.Lock()
			to := clientCounts{m.counts.pending, maps.Clone(m.counts.finished)}
			r.mu.Unlock()
			if wrong := wrongCounts(text, looks[0].seen, to); len(wrong) > 0 {
				m.fail("untrue figures: " + strings.Join(wrong, "; "))
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
		err = fmt.Errorf("status %d, and none", a.StatusCode)
	}
	return string(text), err
}
