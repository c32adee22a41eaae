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
	scrapeEach  = 500 * time.Millisecond // between fetches of a node's figures
	figuresLag  = 500 * time.Millisecond // that they may be behind
	lookBetween = 100 * time.Millisecond // between looks at what clients saw
	figuresMiss = 3                      // that a count may miss by,
	figuresPart = 100                    // or this part of it
	longestText = 1 << 20                // bytes of figures
)

// figures is what a node's clients saw of it.
type figures struct {
	open int // asked of it and not answered, those that never were with them
	done map[string]uint64
}

// The names by which a node tells each kind of end.
var endNames = map[checker.Final]string{checker.Satisfied: "completed", checker.Rejected: "rejected", checker.Failed: "failed"}

func (f *figures) ended(grade string, how checker.Final) {
	name, is := endNames[how]
	if !is {
		return
	}
	if f.done == nil {
		f.done = map[string]uint64{}
	}
	f.open--
	f.done["svc.downstream_requests."+grade+"."+name]++
}

// untrue tells which of a node's counts could not be what its clients saw from one look to the other.
func untrue(text string, from, to figures) (wrong []string) {
	for line := range strings.Lines(text) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		if !strings.HasPrefix(name, "svc.downstream_requests.") {
			continue
		}
		digits, kind, _ := strings.Cut(rest, "|")
		n, err := strconv.ParseUint(digits, 10, 64)
		low, high := from.done[name], to.done[name]
		slack := max(figuresMiss, high/figuresPart)
		if err != nil || kind != "c" || n+slack < low || n > high+slack+uint64(max(0, to.open)) {
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
			seen figures
		}
		var looks []look
		for fetched := time.Now(); r.now() < until && !r.over(); time.Sleep(lookBetween) {
			r.mu.Lock()
			now := look{time.Now(), figures{m.figures.open, maps.Clone(m.figures.done)}}
			r.mu.Unlock()
			looks = append(looks, now)
			for len(looks) > 1 && now.at.Sub(looks[1].at) >= figuresLag {
				looks = looks[1:]
			}
			if now.at.Sub(fetched) < scrapeEach {
				continue
			}
			fetched = now.at
			text, err := m.fetch()
			if err != nil {
				m.failed("its figures: " + err.Error())
				return
			}
			r.mu.Lock()
			to := figures{m.figures.open, maps.Clone(m.figures.done)}
			r.mu.Unlock()
			if wrong := untrue(text, looks[0].seen, to); len(wrong) > 0 {
				m.failed("untrue figures: " + strings.Join(wrong, "; "))
				return
			}
		}
	}()
}

func (m *member) fetch() (string, error) {
	client := http.Client{Timeout: callBy, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Get("http://" + m.ops + "/status/metrics")
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, longestText))
	if err == nil && !strings.Contains(string(text), "svc.pending:") {
		err = fmt.Errorf("status %d, and none", a.StatusCode)
	}
	return string(text), err
}
