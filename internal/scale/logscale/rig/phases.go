package rig

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/membership/gossip"
)

const (
	maxConcurrentPublishes = 256 // maximum number of publish calls in flight during a cut
	backlogBatch           = 190 // purges in one call during a cut: 34,200 purges in 180 calls
	failAtFraction         = 3   // the leader fails after a third of the phase
	downFraction           = 3   // and recovers after another third
)

// steady publishes at the plan's rates. If the plan requires it, the leader fails and recovers during the phase.
func (r *run) steady(ctx context.Context) error {
	var failover sync.WaitGroup
	var failoverErr error
	if r.Kill || r.Hang {
		failover.Go(func() { failoverErr = r.failLeader() })
	}
	r.pace(ctx, Steady, r.SteadyFor, r.PurgesPerSecond, r.ConfigsPerSecond)
	failover.Wait()
	return failoverErr
}

// failLeader stops or kills the leader after a third of the phase, and continues or restarts it after another third.
func (r *run) failLeader() error {
	time.Sleep(r.SteadyFor / failAtFraction)
	o, err := r.client.Overview()
	if err != nil {
		return err
	}
	leader := slices.IndexFunc(o.Servers, func(s controlclient.ServerStatus) bool { return s.IsLeader })
	if leader < 0 {
		return errors.New("cannot stop or kill the leader: there is none")
	}
	if r.Hang {
		_ = r.control[leader].Process.Signal(syscall.SIGSTOP)
		r.log("control-%d, the leader, was stopped by SIGSTOP at entry %d", leader, o.Last)
		time.Sleep(r.SteadyFor / downFraction)
		_ = r.control[leader].Process.Signal(syscall.SIGCONT)
		r.log("control-%d was continued by SIGCONT", leader)
		return nil
	}
	_ = r.control[leader].Process.Kill()
	_ = r.control[leader].Wait()
	r.log("control-%d, the leader, was killed at entry %d", leader, o.Last)
	time.Sleep(r.SteadyFor / downFraction)
	if err := r.startControl(leader); err != nil {
		return err
	}
	r.log("control-%d was restarted with its data", leader)
	return nil
}

// burst publishes many purges in one call.
func (r *run) burst(ctx context.Context) error {
	r.publish(ctx, Burst, r.purges(Burst, 0, burstPurges))
	return nil
}

// cutOff cuts a region off while an hour's changes are published, and reconnects it. The checker reads from the traces
// of the region's nodes how long they then take to catch up.
func (r *run) cutOff(ctx context.Context) error {
	region := r.CutRegion
	r.cutStart = gossip.BootTime()
	r.network.SetCut(region, true)
	r.log("region %d is cut off", region)
	var steady sync.WaitGroup
	ctx, stop := context.WithCancel(ctx)
	defer steady.Wait()
	defer stop() // after an error; otherwise all calls have ended
	// These purges measure the delay in the other regions, also while this region catches up.
	steady.Go(func() { r.pace(ctx, RegionCut, r.CutFor+r.After, r.PurgesPerSecond, 0) })
	begin := time.Now()
	r.publishBacklog(ctx, begin)
	time.Sleep(time.Until(begin.Add(r.CutFor)))
	o, err := r.client.Overview()
	if err != nil {
		return err
	}
	silent := 0
	for _, n := range o.Nodes {
		if n.Silent {
			silent++
		}
	}
	r.addNote("at the end of the cut: newest entry %d, %d nodes silent, according to fleet changes", o.Last, silent)
	r.network.SetCut(region, false)
	r.cutEnd = gossip.BootTime()
	r.log("region %d is reconnected; newest entry %d", region, o.Last)
	steady.Wait()
	return nil
}

// publishBacklog publishes the changes of a cut in calls that are spread evenly over its duration, and waits for all
// answers.
func (r *run) publishBacklog(ctx context.Context, begin time.Time) {
	calls := (r.CutPurges + backlogBatch - 1) / backlogBatch
	slots := make(chan struct{}, maxConcurrentPublishes)
	configs := 0
	var backlog sync.WaitGroup
	for i := range calls {
		time.Sleep(time.Until(begin.Add(r.CutFor * time.Duration(i) / time.Duration(calls))))
		proposals := r.purges("backlog", i*backlogBatch, min(backlogBatch, r.CutPurges-i*backlogBatch))
		for ; configs < r.CutConfigs*(i+1)/calls; configs++ {
			proposals = append(proposals, configProposal("all-cut", configs))
		}
		slots <- struct{}{}
		backlog.Go(func() {
			defer func() { <-slots }()
			r.publish(ctx, "backlog", proposals)
		})
	}
	backlog.Wait()
}
