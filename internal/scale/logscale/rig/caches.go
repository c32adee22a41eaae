package rig

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/cachestub"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/monotime"
	"dahliapin/internal/scale/logscale/checker"
)

const (
	staleFillShare  = 0.2                   // share of (key, cache) pairs with a stale fill in flight at a purge
	staleFillMargin = 50 * time.Millisecond // fills this close to their time limit are skipped, as timers are not exact
	readInterval    = 2 * time.Millisecond  // between two reads at caches
)

// caches holds the rig's cache servers, each in a region, and the records of events at them. The value of a key has
// version 1 before its purge is published, and version 2 at the origin from then on.
type caches struct {
	all          []*cachestub.Cache
	mu           sync.Mutex            // guards records, recent and chance
	records      []logtrace.CacheEvent // of all caches
	recent       []string              // purged keys, in the order of their purges
	chance       keyhash.Source
	fills        sync.WaitGroup            // fills in flight
	purged       []logtrace.PublishedPurge // guarded by the run's mutex
	unresponsive string                    // name of the cache that was unresponsive in phase CacheOutage
	restoredAt   monotime.Instant          // when that cache responded again
	closed       chan struct{}
}

// openCaches starts all caches and the continuous reads.
func (r *run) openCaches() error {
	for i := range r.Caches {
		c, err := cachestub.Open(fmt.Sprintf("cache-%02d", i), gossip.BootTime, func(x logtrace.CacheEvent) {
			r.caches.mu.Lock()
			defer r.caches.mu.Unlock()
			r.caches.records = append(r.caches.records, x)
		})
		if err != nil {
			return err
		}
		r.caches.all = append(r.caches.all, c)
	}
	if r.Caches > 0 {
		go r.readContinuously()
	}
	return nil
}

// closeCaches stops the reads and all caches.
func (r *run) closeCaches() {
	close(r.caches.closed)
	for _, c := range r.caches.all {
		c.Close()
	}
}

// cacheList returns the section of caches in the file of a control server, which reaches them over the emulated
// network.
func (r *run) cacheList(server int) (string, error) {
	if r.Caches == 0 {
		return "", nil
	}
	text := fmt.Sprintf("[purges]\nfills_s = %v\n", r.MaxFillTime.Seconds())
	for i, c := range r.caches.all {
		addr, err := r.network.Listen(r.region[server], i%r.Regions, c.Addr())
		if err != nil {
			return "", err
		}
		text += fmt.Sprintf("[[purges.cache]]\nid = %q\naddr = %q\n", c.Name(), addr)
	}
	return text, nil
}

// fillCaches stores the values of the keys that are about to be purged in all caches.
func (r *run) fillCaches(all []replicatedlog.Proposal) {
	for _, p := range all {
		for _, c := range r.caches.all {
			if p.Kind == replicatedlog.Purge {
				c.Fill(string(p.Body), 1)
			}
		}
	}
}

// chance draws a random number from 0 to 1.
func (r *run) chance() float64 {
	r.caches.mu.Lock()
	defer r.caches.mu.Unlock()
	return r.caches.chance.Float64()
}

// scheduleStaleFills starts fills with old values that are in flight when their purges are published. Each ends within
// MaxFillTime after the publishing.
func (r *run) scheduleStaleFills(all []replicatedlog.Proposal, sent monotime.Instant) {
	for _, c := range r.caches.all {
		for _, p := range all {
			if p.Kind != replicatedlog.Purge || r.chance() > staleFillShare {
				continue
			}
			key, by := string(p.Body), sent.Add(r.MaxFillTime-staleFillMargin)
			at := sent.Add(time.Duration(r.chance() * float64(r.MaxFillTime-2*staleFillMargin)))
			r.caches.fills.Add(1)
			time.AfterFunc(at.Since(gossip.BootTime()), func() {
				defer r.caches.fills.Done()
				if gossip.BootTime() < by {
					c.Fill(key, 1)
				}
			})
		}
	}
	r.caches.mu.Lock()
	defer r.caches.mu.Unlock()
	for _, p := range all {
		if p.Kind == replicatedlog.Purge && r.Caches > 0 {
			r.caches.recent = append(r.caches.recent, string(p.Body))
		}
	}
}

// readContinuously reads random keys at random caches until the run ends, recently purged keys more often.
func (r *run) readContinuously() {
	for {
		select {
		case <-r.caches.closed:
			return
		case <-time.After(readInterval):
		}
		recency := r.chance()
		cache := int(r.chance() * float64(r.Caches))
		r.caches.mu.Lock()
		key, n := "", len(r.caches.recent)
		if n > 0 {
			key = r.caches.recent[n-1-int(recency*recency*float64(n))]
		}
		r.caches.mu.Unlock()
		if key != "" {
			_, _ = r.caches.all[cache].Serve(key)
		}
	}
}

// readAll reads each purged key at each cache. It is called after all purges are done, to find old values that remain.
func (r *run) readAll() {
	r.caches.fills.Wait()
	for _, c := range r.caches.all {
		for _, key := range r.caches.recent {
			_, _ = c.Serve(key)
		}
	}
}

// cutCache makes a cache unresponsive for CutFor, while purges are published. The cache keeps its contents.
func (r *run) cutCache(ctx context.Context) error {
	c := r.caches.all[0]
	c.SetFault(cachestub.Silent, 0)
	r.caches.unresponsive = c.Name()
	r.log("%s is unresponsive for %v", c.Name(), r.CutFor)
	var all sync.WaitGroup
	all.Go(func() { r.pace(ctx, CacheOutage, r.CutFor+r.After, r.PurgesPerSecond, 0) })
	time.Sleep(r.CutFor)
	o, err := r.client.Overview()
	for _, x := range o.Caches {
		if x.Cache == c.Name() && err == nil {
			why := []string{}
			for _, m := range x.Servers {
				why = append(why, fmt.Sprintf("%d: %s for %.1f s", m.Server, m.Reason, m.UnansweredS))
			}
			r.addNote("at the end of its outage %s lacked %d of %d entries according to fleet changes: %s",
				x.Cache, x.Missing, o.Last, strings.Join(why, "; "))
		}
	}
	c.SetFault(cachestub.None, 0)
	r.caches.restoredAt = gossip.BootTime()
	all.Wait()
	return err
}

// checkCaches passes the records of all caches to the checker, and computes the recovery time of the unresponsive
// cache.
func (r *run) checkCaches() error {
	if r.Caches == 0 {
		return nil
	}
	r.caches.mu.Lock()
	defer r.caches.mu.Unlock()
	target := uint64(0)
	for _, o := range r.published {
		if o.Acked <= r.caches.restoredAt {
			target = max(target, o.Index)
		}
	}
	back := monotime.Instant(0)
	for i := range controlServerCount {
		if err := logtrace.ReadJSONLines(r.path("control-%d.trace.caches", i), func(x logtrace.CacheEvent) {
			r.caches.records = append(r.caches.records, x)
			if x.Cache == r.caches.unresponsive && x.Index >= target && (back == 0 || x.At < back) {
				back = x.At
			}
		}); err != nil {
			return err
		}
	}
	if r.caches.restoredAt > 0 {
		r.report.CacheRecoveryS = back.Since(r.caches.restoredAt).Seconds()
	}
	report := checker.CheckCaches(r.caches.purged, r.caches.records,
		func(name string) bool { return name != r.caches.unresponsive })
	r.report.Caches = &report
	return nil
}
