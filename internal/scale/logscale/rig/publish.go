package rig

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/membership/gossip"
)

const (
	purgeRate      = 9.5              // default rate of purges, per second
	configRate     = 1                // default rate of configurations, per second
	keyBytes       = 60               // size of a purged key
	configBytes    = 2048             // size of a configuration
	burstPurges    = 1000             // purges published in one call
	publishTimeout = 30 * time.Second // time in which a call must be answered
)

// purges returns n purges of consecutively numbered keys.
func (r *run) purges(phase string, from, n int) (all []replicatedlog.Proposal) {
	for i := range n {
		key := fmt.Sprintf("%s/%08d/", phase, from+i)
		key += strings.Repeat("k", keyBytes-len(key))
		all = append(all, controlclient.NewProposal(replicatedlog.Purge, []byte(key)))
	}
	return all
}

// publish publishes changes in one call, and records the times of the call and the indexes of the changes for the
// checker.
func (r *run) publish(ctx context.Context, phase string, all []replicatedlog.Proposal) {
	ctx, done := context.WithTimeout(ctx, publishTimeout)
	defer done()
	r.fillCaches(all)
	sent := gossip.BootTime()
	r.scheduleStaleFills(all, sent)
	at, err := r.client.Publish(ctx, all)
	acked := gossip.BootTime()
	if err != nil {
		r.addNote("%s: cannot publish %d changes: %v", phase, len(all), err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range all {
		o := logtrace.PublishedChange{
			Mark:   p.ContentHash(),
			Config: p.Kind == replicatedlog.Config,
			Sent:   sent,
			Acked:  acked,
			Phase:  phase,
		}
		if i < len(at) {
			o.Index = uint64(at[i])
		}
		r.published = append(r.published, o)
		if p.Kind == replicatedlog.Purge && o.Index > 0 && r.Caches > 0 {
			r.caches.purged = append(r.caches.purged, logtrace.PublishedPurge{
				Index:   o.Index,
				Key:     string(p.Body),
				Version: 2,
				Sent:    sent,
				Phase:   phase,
			})
		}
	}
}

// pace publishes purges and configurations at rates per second for a time. Each is published when it is due, whether or
// not earlier calls have been answered, so that a slow log shows as late changes and not as fewer changes.
func (r *run) pace(ctx context.Context, phase string, lasts time.Duration, purgeRate, configRate float64) {
	var all sync.WaitGroup
	begin := time.Now()
	purges := 0
	configs := 0
	for {
		due := time.Duration(float64(purges) / purgeRate * float64(time.Second))
		isConfig := false
		if configRate > 0 {
			configDue := time.Duration((float64(configs) + 0.5) / configRate * float64(time.Second))
			if configDue < due {
				due = configDue
				isConfig = true
			}
		}
		if due >= lasts || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(begin.Add(due)))
		proposals := r.purges(phase, purges, 1)
		if isConfig {
			proposals = []replicatedlog.Proposal{configProposal("all-"+phase, configs)}
			configs++
		} else {
			purges++
		}
		all.Go(func() { r.publish(ctx, phase, proposals) })
	}
	all.Wait()
}

// configProposal returns a configuration for all nodes, which its number makes unique.
func configProposal(name string, number int) replicatedlog.Proposal {
	return controlclient.NewProposal(replicatedlog.Config, configuration(name, "127.0.0.1:1", number))
}
