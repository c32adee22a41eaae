//go:build review

// Command 7 replaces the process of a node while discovery is down.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	s "dahliapin/review/standins"
)

const (
	grace    = 400 * time.Millisecond // rules.stop_sending_within_s
	slack    = 50 * time.Millisecond  // PROTOCOL: each time limit is 50 ms longer
	toldIn   = 2 * time.Second        // DAYS: discovery's news counts as told 2 s after the yes
	outage   = 8 * time.Second        // herd+mass
	longest  = 1200 * time.Millisecond
	killSlow = 700 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	defer s.KillAll()
	rec := s.OpenRecord()
	dir := s.Folder()

	fabric := s.NewFabric()
	var list []s.Instance
	var caches []*s.Cache
	for range 12 {
		c := fabric.NewCache(fmt.Sprintf("s-%08x", rand.Uint32()), 1,
			func() time.Duration { return time.Duration(20+rand.Intn(15)) * time.Millisecond })
		caches = append(caches, c)
		list = append(list, c.Instance(0))
	}
	origin := fabric.NewOrigin(8, func() time.Duration { return 50 * time.Millisecond })
	list = append(list, origin.Instance())
	registry := s.NewRegistry(list...)
	known := registry.Whole()

	settings := s.Settings(1, s.Class("round-read", "idempotent", "all", .3, 1.2, 5, 1),
		s.Class("answer-submit", "deduplicated", "all", .25, .8, .8, 8))
	config := &s.NodeConfig{Name: "n1", Listen: s.FreePort(), Discovery: registry.Addr, Ops: s.FreePort(),
		Seed: fmt.Sprintf("%016x", rand.Uint64()), Known: &known, Settings: settings,
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}

	// The cache server that will drain goes on answering until the end.
	drained := caches[0]
	var mu sync.Mutex
	var calls []time.Time
	drained.OnCall = func(c s.Call) {
		mu.Lock()
		calls = append(calls, c.At)
		mu.Unlock()
		rec.Line("call at the draining server %s: %s %s %s", drained.ID, c.Verb, c.Key, c.ID)
	}
	old := s.StartNode(config, dir)
	rec.Line("node started; %s is in service", drained.ID)

	pool := &s.Pool{Addr: config.Listen}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var answers [4]atomic.Int64
	for range 6 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * 30e6)):
				}
				id := s.NewID()
				a := pool.Read(fmt.Sprintf("obj:k%d", rand.Intn(300)), id, "round-read", 800*time.Millisecond)
				rec.Line("client asked %s, answer after %v: %s", id, a.Took, a.Kind())
				answers[map[string]int{"served": 0, "refused": 1, "failed": 2, "none": 3}[a.Kind()]].Add(1)
			}
		})
	}
	time.Sleep(4 * time.Second)
	entry := drained.Instance(0)
	entry.State = "terminating"
	registry.Set(entry)
	firstTold := time.Now()
	rec.Line("told: %s is terminating", drained.ID)
	time.Sleep(4 * time.Second)

	down := time.Now()
	if s.Trouble() {
		registry.SetSilent(true)
		rec.Line("discovery is down")
	}
	time.Sleep(time.Second)
	ops := s.FreePort()
	next := s.StartProcess(config, dir, "n1-next.log", ops)
	rec.Line("the new process is started")
	started := time.Now()
	for !s.SaysYes(ops) {
		if !next.Alive() || time.Since(started) > 6*time.Second {
			rec.Say("the new process did not say yes within 6 s")
			return s.NotRun
		}
		time.Sleep(20 * time.Millisecond)
	}
	yes := time.Now()
	rec.Line("the new process says yes, %.2f s after its start", yes.Sub(started).Seconds())
	old.Signal(syscall.SIGTERM)
	select {
	case <-old.Done:
	case <-time.After(longest + killSlow):
		old.Signal(syscall.SIGKILL)
	}
	rec.Line("the old process has ended")
	time.Sleep(time.Until(down.Add(outage)))
	registry.SetSilent(false)
	back := time.Now()
	rec.Line("discovery is back")
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	// Up to the start of the new process the old one answers for the node; after the yes, the new one has 2 s.
	early, late := 0, 0
	mu.Lock()
	for _, at := range calls {
		switch {
		case at.After(firstTold.Add(grace+slack)) && at.Before(started):
			early++
		case at.After(yes.Add(toldIn + grace + slack)):
			late++
		}
	}
	mu.Unlock()
	rec.Say("answers: %d served, %d refused, %d failed, %d none", answers[0].Load(), answers[1].Load(), answers[2].Load(),
		answers[3].Load())
	rec.Say("new calls at the draining server: %d between the first grace and the upgrade, %d later than 2.45 s after the yes "+
		"(discovery back %.2f s after it)", early, late, back.Sub(yes).Seconds())
	if early+late > 0 {
		return s.Broken
	}
	return s.Held
}
