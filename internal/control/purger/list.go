package purger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/discovery"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
	"dahliapin/policy"
)

const (
	listPath = "/registry/instances"
	maxList  = 8 << 20 // bytes of a list
	gone     = "terminated"
)

// news is an answer of discovery's.
type news struct {
	Generation *int   `json:"generation"`
	Reset      bool   `json:"reset"`
	Instances  *[]row `json:"instances"`
}

type row struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Kind      string  `json:"machineType"`
	Lifecycle string  `json:"lifecycle"`
	Started   float64 `json:"startedAtMs"`
}

var (
	errRefused = errors.New("discovery says that it has too much to do")
	errNews    = errors.New("discovery's answer is no list")
)

// askForList follows discovery's list, by the same rules as nodes do.
func (p *Purger) askForList() {
	defer p.done.Done()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go func() {
		<-p.closed
		end()
	}()
	web := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
	defer web.CloseIdleConnections()
	caller, chance := discovery.New(p.Machines), keyhash.Source{Seed: p.Seed}
	for {
		call, began, at := caller.NextPoll(), time.Now(), p.Now()
		n, err := p.ask(ctx, web, call)
		if err == nil && !caller.Accepts(*n.Generation, n.Reset) {
			err = errNews
		}
		if err == nil {
			form, again := caller.OnUpdate(*n.Generation, n.Reset)
			if again {
				p.Logger.Info("the list of caches is had again")
			}
			p.take(*n.Instances, form, at)
			select {
			case <-p.closed:
				return
			default:
				continue
			}
		}
		how := discovery.ConnectionLost
		switch {
		case errors.Is(err, errRefused):
			how = discovery.Refused
		case errors.Is(err, errNews):
			how = discovery.Unreadable
		}
		rest, first := caller.OnFailure(how, time.Since(began), chance.Float64())
		if first {
			p.Logger.WithError(err).Warn("the list of caches cannot be had; the last one stays")
		}
		select {
		case <-time.After(rest):
		case <-p.closed:
			return
		}
	}
}

func (p *Purger) ask(ctx context.Context, web *http.Client, call discovery.Poll) (n news, err error) {
	ctx, done := context.WithTimeout(ctx, call.Timeout)
	defer done()
	url := "http://" + p.Terms.Discovery + listPath
	if !call.Complete {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", call.SinceVersion, max(1, call.LongPoll.Milliseconds()))
	}
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return n, err
	}
	a, err := web.Do(ask)
	if err != nil {
		return n, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, maxList+1))
	switch {
	case err != nil:
		return n, err
	case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests:
		return n, errRefused
	case a.StatusCode != http.StatusOK || len(text) > maxList || json.Unmarshal(text, &n) != nil || n.Generation == nil || n.Instances == nil || len(*n.Instances) > mostCaches:
		return n, errNews
	}
	return n, nil
}

// take takes a list, or what has changed in it, that was asked for at a time. What can't be read may be any cache that is not named: then all
// stay.
func (p *Purger) take(rows []row, form policy.UpdateKind, at monotime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return
	default:
	}
	whole, odd, named := form != policy.DeltaUpdate, false, map[purge.CacheID]bool{}
	for _, r := range rows {
		_, bad := netip.ParseAddrPort(r.Addr)
		switch {
		case slices.Contains(p.Terms.Origins, r.Kind):
		case r.ID == "" || len(r.ID) > longestID || bad != nil && r.Lifecycle != gone:
			odd = true
		default:
			id := purge.CacheID(r.ID)
			named[id] = true
			p.list(entry{id, r.Addr, purge.Incarnation(r.Started), r.Lifecycle == gone}, at)
		}
	}
	for id, c := range p.caches {
		switch {
		case c.stop == nil || named[id] || odd:
		case whole:
			p.unlist(c)
		default: // as it was
			p.list(entry{id, c.addr, c.Cursor().Started, false}, at)
		}
	}
	p.hasList = true
}
