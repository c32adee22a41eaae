// Package rig plays the log of changes at the size of a fleet: control machines as processes with disks, many hollow nodes in a process
// for each region, some real nodes, and a network between regions with delay, loss and cuts. The judge says what was kept.
package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/freeport"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/monotime"
	"dahliapin/internal/scale/logscale/checker"
)

const (
	label       = "scale-changes"
	machines    = 4    // control machines: three voters and a learner
	purgeRate   = 9.5  // a second, as stated
	keyBytes    = 60   // of a purged key
	configBytes = 2048 // of a configuration
	publishBy   = 30 * time.Second
	readyBy     = 40 * time.Second      // for all to have begun
	settleBy    = 90 * time.Second      // for all to have all
	endBy       = 30 * time.Second      // for a process to write down what is left
	showings    = 10                    // entries by which it is measured how soon fleet changes shows them
	showBy      = 10 * time.Second      // for one to show
	showEach    = 20 * time.Millisecond // between two calls for it
	lookEach    = 200 * time.Millisecond
	callsAtOnce = 256 // to publish, during a cut's backlog
	backlogOf   = 190 // purges in one call during a cut: 34,200 in 180 calls
	killedAt    = 3   // a third into a play
	backAt      = 3   // and back, two thirds into it
)

// The plays.
const (
	Steady   = "steady"    // purges at the stated rate, and a configuration a second
	Burst    = "burst"     // 1,000 purges at once
	CacheCut = "cache-cut" // a cache says nothing for a while
	Cut      = "cut"       // a region is cut off while an hour's changes pass, and comes back
)

// Plan is a run.
type Plan struct {
	Program        string // that control machines, hollow and real nodes are started by
	Nodes, Real    int
	Regions        int
	Plays          []string
	For            time.Duration // of steady
	CutFor         time.Duration
	After          time.Duration // that purges at the stated rate go on once it is back
	CutRegion      int           // which region is cut off; control machines are in those at 0, 1, 2 and 3 quarters
	CutPurges      int
	CutConfigs     int
	Loss           float64
	Kill           bool // the leader outright, a third into steady, and back with its disk after two thirds
	Hang           bool // the leader stands still (SIGSTOP) in that time instead, its streams open
	Seed           uint32
	Dir            string
	Log            io.Writer
	Caches         int           // at which purges are carried out; 0 for none
	Fills          time.Duration // the longest that a fill may take there
	HollowArgs     []string      // of the program, before the spec
	PurgesASecond  float64
	ConfigsASecond float64
}

// Usage is what processes of a kind used during a play.
type Usage struct {
	Play     string  `json:"play"`
	Role     string  `json:"role"`
	Count    int     `json:"count"`
	InRate   float64 `json:"bytes_in_s"` // a second for each: median
	OutRate  float64 `json:"bytes_out_s"`
	MostRate float64 `json:"most_bytes_s"` // in and out together, of the one with the most
	Core     float64 `json:"percent_of_core"`
	MostCore float64 `json:"most_percent_of_core"`
	MB       float64 `json:"mb"` // resident, the most; for hollow nodes its share of the process's
}

// Report is a run's.
type Report struct {
	Nodes, Real, Regions int
	Loss                 float64
	Seed                 uint32
	Load                 []string       `json:"load"` // of the machine, before and after
	Judge                checker.Report `json:"judge"`
	Usage                []Usage        `json:"usage"`
	Notes                []string       `json:"notes"`
	Back                 float64        `json:"back_s"` // from the end of the cut until the region had all; 0 for no cut
	StaleInCut           int            `json:"stale_in_cut"`
	Moves, Gaps          uint64
	Caches               *checker.CachesReport `json:"caches,omitempty"`
	CacheBack            float64               `json:"cache_back_s,omitempty"` // from the end of a cache's silence until all was done there that was published by then
	RealWhole            int                   `json:"real_with_all"`
	Shown                float64               `json:"shown_s"` // the most from an entry's acknowledgement until fleet changes showed it at every node
	Asked                float64               `json:"asked_s"` // the most that one such call took meanwhile
}

type process struct {
	*exec.Cmd
	in io.WriteCloser
}

// run is a plan being played.
type run struct {
	Plan
	between  *Between
	region   [machines]int // of control machines
	peers    [machines]string
	nodes    [machines]string
	control  [machines]*process
	hollows  []*process
	specs    []Spec
	real     []*process
	caller   controlclient.Client
	mu       sync.Mutex
	orders   []logtrace.Ordered
	report   Report
	marks    []mark
	cutFrom  monotime.Instant
	cutUntil monotime.Instant
	caches   caches
}

// mark is when a play began and ended, with what real and control processes had used.
type mark struct {
	play        string
	from, until monotime.Instant
	before      map[int]float64
	after       map[int]float64
	rss         map[int]int64
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.Log, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05")}, args...)...)
}

// Load is the machine's.
func Load() string {
	text, _ := os.ReadFile("/proc/loadavg")
	return strings.TrimSpace(string(text))
}

// Play plays a plan and judges it.
func Play(ctx context.Context, p Plan) (rep *Report, err error) {
	if p.PurgesASecond == 0 {
		p.PurgesASecond, p.ConfigsASecond = purgeRate, 1
	}
	r := &run{Plan: p, between: NewBetween(p.Regions, p.Loss, p.Seed), caches: caches{chance: keyhash.Source{Seed: p.Seed}, closed: make(chan struct{})}}
	r.report = Report{Nodes: p.Nodes, Real: p.Real, Regions: p.Regions, Loss: p.Loss, Seed: p.Seed, Load: []string{Load()}}
	defer r.between.Close()
	defer r.kill()
	defer r.closeCaches()
	if err := r.start(); err != nil {
		return nil, err
	}
	for _, play := range p.Plays {
		m := mark{play: play, from: gossip.BootTime(), before: r.usedBy()}
		r.say("%s begins; load %s", play, Load())
		switch play {
		case Steady:
			err = r.steady(ctx)
		case Burst:
			err = r.burst(ctx)
		case CacheCut:
			err = r.cutCache(ctx)
		case Cut:
			err = r.cutOff(ctx)
		default:
			err = fmt.Errorf("no play %q", play)
		}
		if err == nil {
			err = r.settle(ctx)
		}
		if err == nil {
			r.shown(ctx, play)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", play, err)
		}
		time.Sleep(2 * sampleEach) // so that no play is in another one's figures
		m.until, m.after, m.rss = gossip.BootTime(), r.usedBy(), r.residentBy()
		r.marks = append(r.marks, m)
	}
	r.report.Load = append(r.report.Load, Load())
	r.realWhole()
	if r.Caches > 0 { // the last entries are shown at all nodes before they are done at caches
		if err := r.settle(ctx); err != nil {
			return nil, err
		}
		r.readAll()
	}
	if err := r.end(); err != nil {
		return nil, err
	}
	return &r.report, r.judge()
}

func (r *run) path(format string, args ...any) string {
	return filepath.Join(r.Dir, fmt.Sprintf(format, args...))
}

// launch starts a process, its output in a file.
func (r *run) launch(name string, args ...string) (*process, error) {
	c := exec.Command(r.Program, args...)
	out, err := os.OpenFile(r.path("%s.log", name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := c.StdinPipe()
	if err != nil {
		return nil, err
	}
	return &process{c, in}, c.Start()
}

func (r *run) startControl(i int, more ...string) (err error) {
	r.control[i], err = r.launch(fmt.Sprintf("control-%d", i), append([]string{"control", r.path("control-%d.toml", i), "--trace", r.path("control-%d.trace", i)}, more...)...)
	return err
}

// start starts all processes and waits until all nodes have begun.
func (r *run) start() error {
	for i := range machines {
		var err error
		r.region[i] = i * r.Regions / machines
		if r.peers[i], err = freeport.Free(); err == nil {
			r.nodes[i], err = freeport.Free()
		}
		if err != nil {
			return err
		}
	}
	if err := r.openCaches(); err != nil {
		return err
	}
	for i := range machines {
		text := fmt.Sprintf("[control]\nid = %d\nlabel = %q\npeers = %q\nnodes = %q\ndata = %q\n", i+1, label, r.peers[i], r.nodes[i], r.path("data-%d", i))
		for j := range machines {
			door, err := r.between.Door(r.region[i], r.region[j], r.peers[j])
			if err != nil {
				return err
			}
			text += fmt.Sprintf("[[machine]]\nid = %d\nname = \"control-%d\"\naddr = %q\nlearner = %t\n", j+1, j, door, j == machines-1)
		}
		at, err := r.cacheList(i)
		if err != nil {
			return err
		}
		text += at
		if err := os.WriteFile(r.path("control-%d.toml", i), []byte(text), 0o644); err != nil {
			return err
		}
		if err := r.startControl(i, "--new"); err != nil {
			return err
		}
	}
	r.caller = controlclient.Client{Servers: r.nodes[:], Label: label}
	first := uint32(0)
	for region := range r.Regions {
		doors, err := r.doors(region)
		if err != nil {
			return err
		}
		n := r.Nodes*(region+1)/r.Regions - r.Nodes*region/r.Regions
		s := Spec{Label: label, At: doors, Seed: r.Seed*1000 + 7, First: first, Nodes: n, Trace: r.path("hollow-%d.trace", region), Stats: r.path("hollow-%d.stats", region)}
		first += uint32(n)
		text, _ := json.Marshal(s)
		if err := os.WriteFile(r.path("hollow-%d.json", region), text, 0o644); err != nil {
			return err
		}
		p, err := r.launch(fmt.Sprintf("hollow-%d", region), append(r.HollowArgs, r.path("hollow-%d.json", region))...)
		if err != nil {
			return err
		}
		r.hollows, r.specs = append(r.hollows, p), append(r.specs, s)
	}
	for i := range r.Real {
		if err := r.startReal(i); err != nil {
			return err
		}
	}
	for by := time.Now().Add(readyBy); ; time.Sleep(lookEach) {
		o, err := r.caller.Overview()
		if err == nil && o.HasLeader && len(o.Nodes) == r.Nodes+r.Real && o.CaughtUp() {
			r.say("%d nodes follow", len(o.Nodes))
			return nil
		}
		if time.Now().After(by) {
			return fmt.Errorf("only %d of %d nodes follow: %w", len(o.Nodes), r.Nodes+r.Real, err)
		}
	}
}

// doors are the control machines, as a region reaches them.
func (r *run) doors(region int) (at []string, err error) {
	for j := range machines {
		door, err := r.between.Door(region, r.region[j], r.nodes[j])
		if err != nil {
			return nil, err
		}
		at = append(at, door)
	}
	return at, nil
}

// startReal starts a whole node that follows: with listeners, a loop, gossip with nobody, and no list of caches.
func (r *run) startReal(i int) error {
	listen, err := freeport.Free()
	if err != nil {
		return err
	}
	gossip, err := freeport.Free()
	if err != nil {
		return err
	}
	doors, err := r.doors(i % r.Regions)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.path("real-%d.json", i), configuration(fmt.Sprintf("real-%04d", i), listen, 0), 0o644); err != nil {
		return err
	}
	at, _ := json.Marshal(doors)
	text := fmt.Sprintf("[fleet]\nlabel = %q\nlisten = %q\n[changes]\nat = %s\n", label, gossip, at)
	if err := os.WriteFile(r.path("real-%d.toml", i), []byte(text), 0o644); err != nil {
		return err
	}
	p, err := r.launch(fmt.Sprintf("real-%d", i), "serve", "--config", r.path("real-%d.json", i), "--fleet", r.path("real-%d.toml", i))
	r.real = append(r.real, p)
	return err
}

// configuration is a node's, with a number and of the size of a usual one.
func configuration(name, listen string, number int) []byte {
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964","limits":{"memory_mb":64,"sockets":400},"settings":{"service_grades":[{"name":"read","hard_stop_s":0.1}]},"number":%d,"note":""}`, name, listen, number)
	return []byte(strings.Replace(text, `"note":""`, `"note":"`+strings.Repeat("x", max(0, configBytes-len(text)))+`"`, 1))
}

func (r *run) purges(play string, from, n int) (all []replicatedlog.Proposal) {
	for i := range n {
		key := fmt.Sprintf("%s/%08d/", play, from+i)
		all = append(all, controlclient.NewProposal(replicatedlog.Purge, []byte(key+strings.Repeat("k", keyBytes-len(key)))))
	}
	return all
}

// publish has changes ordered and notes it.
func (r *run) publish(ctx context.Context, play string, all []replicatedlog.Proposal) {
	ctx, done := context.WithTimeout(ctx, publishBy)
	defer done()
	r.cached(all)
	sent := gossip.BootTime()
	r.refill(all, sent)
	at, err := r.caller.Publish(ctx, all)
	acked := gossip.BootTime()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range all {
		o := logtrace.Ordered{Mark: p.ContentHash(), Config: p.Kind == replicatedlog.Config, Sent: sent, Acked: acked, Play: play}
		if i < len(at) {
			o.Index = uint64(at[i])
		}
		r.orders = append(r.orders, o)
		if p.Kind == replicatedlog.Purge && o.Index > 0 && r.Caches > 0 {
			r.caches.purged = append(r.caches.purged, logtrace.Purged{Index: o.Index, Key: string(p.Body), Version: 2, Sent: sent, Play: play})
		}
	}
	if err != nil {
		r.report.Notes = append(r.report.Notes, fmt.Sprintf("%s: %v", play, err))
	}
}

// pace publishes purges and configurations at rates until a time has passed: each when it is due, whatever became of those before.
func (r *run) pace(ctx context.Context, play string, long time.Duration, purges, configs float64) {
	var all sync.WaitGroup
	begin := time.Now()
	for p, c := 0, 0; ; {
		due, config := time.Duration(float64(p)/purges*float64(time.Second)), false
		if configs > 0 {
			if at := time.Duration((float64(c) + 0.5) / configs * float64(time.Second)); at < due {
				due, config = at, true
			}
		}
		if due >= long || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(begin.Add(due)))
		some := r.purges(play, p, 1)
		if config {
			some = []replicatedlog.Proposal{controlclient.NewProposal(replicatedlog.Config, configuration("all-"+play, "127.0.0.1:1", c))}
			c++
		} else {
			p++
		}
		all.Go(func() { r.publish(ctx, play, some) })
	}
	all.Wait()
}

func (r *run) steady(ctx context.Context) error {
	var others sync.WaitGroup
	var fault error
	if r.Kill || r.Hang {
		others.Go(func() {
			time.Sleep(r.For / killedAt)
			o, err := r.caller.Overview()
			if err != nil {
				fault = err
				return
			}
			at := slices.IndexFunc(o.Servers, func(m controlclient.ServerStatus) bool { return m.IsLeader })
			if at < 0 {
				fault = errors.New("nobody to kill leads")
				return
			}
			if r.Hang {
				_ = r.control[at].Process.Signal(syscall.SIGSTOP)
				r.say("control-%d, the leader, stands still at entry %d", at, o.Last)
				time.Sleep(r.For / backAt)
				_ = r.control[at].Process.Signal(syscall.SIGCONT)
				r.say("control-%d goes on", at)
				return
			}
			_ = r.control[at].Process.Kill()
			_ = r.control[at].Wait()
			r.say("control-%d, the leader, was killed at entry %d", at, o.Last)
			time.Sleep(r.For / backAt)
			if fault = r.startControl(at); fault == nil {
				r.say("control-%d is back with its disk", at)
			}
		})
	}
	r.pace(ctx, Steady, r.For, r.PurgesASecond, r.ConfigsASecond)
	others.Wait()
	return fault
}

func (r *run) burst(ctx context.Context) error {
	r.publish(ctx, Burst, r.purges(Burst, 0, 1000))
	return nil
}

// cutOff cuts a region off while an hour's changes pass, and measures until it has all again.
func (r *run) cutOff(ctx context.Context) error {
	region := r.CutRegion
	r.cutFrom = gossip.BootTime()
	r.between.Cut(region, true)
	r.say("region %d is cut off", region)
	var all sync.WaitGroup
	all.Go(func() { r.pace(ctx, Cut, r.CutFor+r.After, r.PurgesASecond, 0) }) // what is measured at the others, also while the region comes back
	slots := make(chan struct{}, callsAtOnce)
	calls := (r.CutPurges + backlogOf - 1) / backlogOf
	begin := time.Now()
	var backlog sync.WaitGroup
	for i, configs := 0, 0; i < calls; i++ {
		time.Sleep(time.Until(begin.Add(r.CutFor * time.Duration(i) / time.Duration(calls))))
		some := r.purges("backlog", i*backlogOf, min(backlogOf, r.CutPurges-i*backlogOf))
		for ; configs < r.CutConfigs*(i+1)/calls; configs++ {
			some = append(some, controlclient.NewProposal(replicatedlog.Config, configuration("all-cut", "127.0.0.1:1", configs)))
		}
		slots <- struct{}{}
		backlog.Go(func() {
			defer func() { <-slots }()
			r.publish(ctx, "backlog", some)
		})
	}
	backlog.Wait()
	time.Sleep(time.Until(begin.Add(r.CutFor)))
	o, err := r.caller.Overview()
	if err != nil {
		return err
	}
	silent := 0
	for _, n := range o.Nodes {
		if n.Silent {
			silent++
		}
	}
	r.report.Notes = append(r.report.Notes, fmt.Sprintf("at the end of the cut: newest entry %d, %d nodes silent, told by fleet changes", o.Last, silent))
	r.between.Cut(region, false)
	r.cutUntil = gossip.BootTime()
	r.say("region %d is back; newest entry %d", region, o.Last)
	all.Wait()
	return nil
}

// shown measures how soon fleet changes shows an entry at every node.
func (r *run) shown(ctx context.Context, play string) {
	for i := range showings {
		r.publish(ctx, "shown", []replicatedlog.Proposal{controlclient.NewProposal(replicatedlog.Purge, fmt.Append(nil, "shown/", play, "/", i))})
		o := r.orders[len(r.orders)-1]
		for by := time.Now().Add(showBy); o.Index > 0 && time.Now().Before(by); time.Sleep(showEach) {
			asked := time.Now()
			all, err := r.caller.Overview()
			r.report.Asked = max(r.report.Asked, time.Since(asked).Seconds())
			if err == nil && uint64(all.Last) >= o.Index && all.NodesCaughtUp() && len(all.Nodes) == r.Nodes+r.Real {
				break
			}
		}
		r.report.Shown = max(r.report.Shown, time.Duration(gossip.BootTime()-o.Acked).Seconds())
	}
}

// settle waits until every node has all.
func (r *run) settle(ctx context.Context) error {
	for by := time.Now().Add(settleBy); ; time.Sleep(lookEach) {
		o, err := r.caller.Overview()
		if err == nil && o.CaughtUp() && len(o.Nodes) == r.Nodes+r.Real {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(by) {
			var behind []string
			for _, n := range o.Nodes {
				if n.Missing > 0 || n.Silent || n.NotStarted || n.Refused > 0 {
					behind = append(behind, fmt.Sprintf("%+v", n))
				}
			}
			r.report.Notes = append(r.report.Notes, fmt.Sprintf("not all had all: %v, led %t, %d nodes, behind: %.2000s", err, o.HasLeader, len(o.Nodes), strings.Join(behind, "; ")))
			return nil // the judge says what is missing
		}
	}
}

func (r *run) pids() (all []int) {
	for _, p := range append(append([]*process{}, r.control[:]...), r.real...) {
		all = append(all, p.Process.Pid)
	}
	return all
}

func (r *run) usedBy() map[int]float64 {
	all := map[int]float64{}
	for _, pid := range r.pids() {
		all[pid] = used(pid)
	}
	return all
}

func (r *run) residentBy() map[int]int64 {
	all := map[int]int64{}
	for _, pid := range r.pids() {
		all[pid] = resident(pid)
	}
	return all
}

// realWhole counts the real nodes that say they have all.
func (r *run) realWhole() {
	o, err := r.caller.Overview()
	if err != nil {
		r.report.Notes = append(r.report.Notes, err.Error())
		return
	}
	for _, n := range o.Nodes {
		if strings.HasPrefix(n.Node, "real-") && n.Missing == 0 && n.Refused == 0 && n.Config == o.Servers[0].Config {
			r.report.RealWhole++
		}
	}
}

// end has all processes write down what is left.
func (r *run) end() error {
	var all sync.WaitGroup
	var mu sync.Mutex
	var fault error
	stop := func(p *process, how func()) {
		all.Go(func() {
			timer := time.AfterFunc(endBy, func() { _ = p.Process.Kill() })
			defer timer.Stop()
			how()
			if err := p.Wait(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				fault = errors.Join(fault, fmt.Errorf("%s: %w", strings.Join(p.Args[1:], " "), err))
			}
		})
	}
	for _, p := range r.hollows {
		stop(p, func() { _ = p.in.Close() })
	}
	for _, p := range append(r.real, r.control[:]...) {
		stop(p, func() { _ = p.Process.Signal(syscall.SIGTERM) })
	}
	all.Wait()
	return fault
}

// kill ends what still runs: its own processes, by their handles.
func (r *run) kill() {
	for _, p := range append(append(append([]*process{}, r.hollows...), r.real...), r.control[:]...) {
		if p != nil && p.ProcessState == nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
}

// judge hands all that was left to the judge, and adds up what was used.
func (r *run) judge() error {
	off := r.specs[r.CutRegion]
	inCut := func(node uint32) bool {
		return r.cutFrom > 0 && node >= off.First && node < off.First+uint32(off.Nodes)
	}
	j := checker.New(machines-1, func(node uint32) bool { return !inCut(node) })
	for i := range machines - 1 {
		if err := logtrace.Lines(r.path("control-%d.trace", i), func(k logtrace.Kept) { j.Kept(i, k) }); err != nil {
			return err
		}
	}
	out, err := os.Create(r.path("orders.jsonl"))
	if err != nil {
		return err
	}
	defer out.Close()
	w := json.NewEncoder(out)
	for _, o := range r.orders {
		j.Order(o)
		_ = w.Encode(o)
	}
	target := uint64(0)
	for _, o := range r.orders {
		if r.cutUntil > 0 && o.Acked <= r.cutUntil {
			target = max(target, o.Index)
		}
	}
	for _, s := range r.specs {
		if err := logtrace.Read(s.Trace, func(rec logtrace.Record) {
			j.Saw(rec)
			if inCut(rec.Node) && rec.What == logtrace.Applied && rec.Index == target {
				r.report.Back = max(r.report.Back, time.Duration(rec.At-r.cutUntil).Seconds())
			}
		}); err != nil {
			return err
		}
	}
	r.report.Judge = j.Report(r.Nodes)
	if err := r.judgeCaches(); err != nil {
		return err
	}
	return r.usage()
}

// usage adds up what was used during each play.
func (r *run) usage() error {
	for _, m := range r.marks {
		long := time.Duration(m.until - m.from).Seconds()
		hollow := Usage{Play: m.play, Role: "hollow node", Count: r.Nodes}
		var in, out, both, core []float64
		for i, s := range r.specs {
			var a, b Sample
			if err := logtrace.Lines(s.Stats, func(x Sample) {
				if x.At <= m.from || a.At == 0 {
					a = x
				}
				if x.At <= m.until {
					b = x
				}
				if r.cutFrom > 0 && i == r.CutRegion && x.At <= r.cutUntil {
					r.report.StaleInCut = max(r.report.StaleInCut, x.Stale)
				}
			}); err != nil {
				return err
			}
			if b.At <= a.At {
				return fmt.Errorf("region %d left no figures of %s", i, m.play)
			}
			each := time.Duration(b.At - a.At).Seconds()
			for n := range b.In {
				if n < len(a.In) {
					x, y := float64(b.In[n]-a.In[n])/each, float64(b.Out[n]-a.Out[n])/each
					in, out, both = append(in, x), append(out, y), append(both, x+y)
				}
			}
			core = append(core, (b.CPU-a.CPU)/each/float64(s.Nodes)*100)
			hollow.MB = max(hollow.MB, float64(b.RSS)/float64(s.Nodes)/(1<<20))
			if m.play == r.marks[len(r.marks)-1].play {
				r.report.Moves, r.report.Gaps = r.report.Moves+b.Moves, r.report.Gaps+b.Gaps
			}
		}
		hollow.InRate, hollow.OutRate, hollow.MostRate = median(in), median(out), slices.Max(both)
		hollow.Core, hollow.MostCore = median(core), slices.Max(core)
		r.report.Usage = append(r.report.Usage, hollow)
		for _, role := range []struct {
			name string
			all  []*process
		}{{"real node", r.real}, {"control machine", r.control[:]}} {
			u := Usage{Play: m.play, Role: role.name, Count: len(role.all)}
			var core []float64
			for _, p := range role.all {
				pid := p.Process.Pid
				core = append(core, (m.after[pid]-m.before[pid])/long*100) // of one that was killed and is back: since then
				u.MB = max(u.MB, float64(m.rss[pid])/(1<<20))
			}
			if len(core) > 0 {
				u.Core, u.MostCore = median(core), slices.Max(core)
				r.report.Usage = append(r.report.Usage, u)
			}
		}
	}
	return nil
}

func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
