package scale

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sys/unix"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/membership/gossip"
)

const (
	formsWithin = 3 * time.Minute        // from the last start until all know all
	wholeWithin = time.Minute            // after a trouble, until all know all again
	settles     = 4 * time.Second        // after that, at the least, until nothing more is told of it
	quietWithin = time.Minute            // at the most: who still tells something then does so usually
	quietEach   = time.Second            // between looks whether somebody does
	quietPart   = 0.1                    // statements a node in that time which are none: one node's troubles
	lookEach    = 200 * time.Millisecond // between looks at how views stand
	answerBy    = 30 * time.Second       // for a process to do what it is asked, beside what it is given for starts
	callBy      = 5 * time.Second        // for a real node's answer to operators
	endsBy      = 5 * time.Second        // for a process to end by itself
	seedsOf     = 5                      // members that are asked first, evenly over all
	longestSaid = 8 << 20                // bytes of an answer
	basePort    = 12_000                 // below those that systems give to whoever asks for any
	morePorts   = 20_000
)

// Rig runs what is measured. It ends what it has started, by its id, and nothing else.
type Rig struct {
	Program string       // that takes serve and scale hollow
	Dir     string       // for configurations and logs; the caller's to remove
	Tell    func(string) // progress, a line at a time; nil for nobody
	MostMB  int          // that all its processes may take: it ends once they take more
}

func (r *Rig) tell(text string, args ...any) {
	if r.Tell != nil {
		r.Tell(fmt.Sprintf(text, args...))
	}
}

// fleetRun is one size as it runs.
type fleetRun struct {
	rig     *Rig
	plan    *Plan
	places  []Place
	list    *listing
	hollows []*Hollows
	reals   []*RealNode
	alone   *RealNode // knows of no other: what a node takes for all else; nil where there are no real ones
}

// Child is a process that this one started.
type Child struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// StartChild starts one that ends with this process, with its errors in a file.
func StartChild(cmd *exec.Cmd, log string) (*Child, error) {
	f, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cmd.Stderr = f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // Ctrl-C is the rig's to hear
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c := &Child{cmd: cmd, done: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		close(c.done)
	}()
	return c, nil
}

// Over tells whether it has ended.
func (c *Child) Over() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// said is the last line of its log.
func (c *Child) said() string {
	text, _ := os.ReadFile(c.log)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// End has it end: asked first, then made to.
func (c *Child) End(ask func()) {
	ask()
	select {
	case <-c.done:
	case <-time.After(endsBy):
		_ = c.cmd.Process.Kill()
		<-c.done
	}
}

// Cost is what a process has taken until now.
type Cost struct {
	Processor time.Duration // by its clock, which counts what rusage does
	Waited    time.Duration // for a core, all its threads together
	Resident  uint64        // bytes
}

// Cost reads it.
func (c *Child) Cost() (k Cost, err error) {
	pid := c.cmd.Process.Pid
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|2), &t); err != nil { // the process's clock of processor time, as clock_getcpuclockid(3) has it
		return k, err
	}
	k.Processor = time.Duration(t.Nano())
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return k, err
	}
	var size, resident uint64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return k, err
	}
	k.Resident = resident * uint64(os.Getpagesize())
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, at := range threads {
		var ran, waited uint64
		if text, bad := os.ReadFile(at); bad != nil { // it has ended meanwhile
			continue
		} else if _, bad := fmt.Sscan(string(text), &ran, &waited); bad == nil {
			k.Waited += time.Duration(waited)
		}
	}
	return k, err
}

// Hollows is a process of hollow nodes.
type Hollows struct {
	*Child
	places  []Place
	in      io.WriteCloser
	answers chan answer
}

// StartHollows starts one, which has no nodes yet.
func (r *Rig) StartHollows(places []Place, name string) (*Hollows, error) {
	cmd := exec.Command(r.Program, "scale", "hollow")
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	from, to, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = to
	c, err := StartChild(cmd, filepath.Join(r.Dir, name+".log"))
	to.Close()
	if err != nil {
		from.Close()
		return nil, err
	}
	h := &Hollows{Child: c, places: places, in: in, answers: make(chan answer, 1)}
	go func() {
		defer from.Close()
		defer close(h.answers)
		lines := bufio.NewScanner(from)
		lines.Buffer(make([]byte, 64<<10), longestSaid)
		for lines.Scan() {
			var a answer
			if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
				a.Fault = err.Error()
			}
			h.answers <- a
		}
	}()
	return h, nil
}

// ask has it do something, and waits for it.
func (h *Hollows) ask(ctx context.Context, o order, within time.Duration) (answer, error) {
	if err := json.NewEncoder(h.in).Encode(o); err != nil {
		return answer{}, fmt.Errorf("a process of hollow nodes takes no order: %w: %s", err, h.said())
	}
	select {
	case a, more := <-h.answers:
		if !more {
			return a, fmt.Errorf("a process of hollow nodes has ended: %s", h.said())
		}
		if a.Fault != "" {
			return a, fmt.Errorf("a process of hollow nodes: %s", a.Fault)
		}
		return a, nil
	case <-ctx.Done():
		return answer{}, ctx.Err()
	case <-time.After(within):
		return answer{}, fmt.Errorf("a process of hollow nodes does not answer within %v to %s", within, o.Do)
	}
}

// Close ends it.
func (h *Hollows) Close() { h.End(func() { _ = h.in.Close() }) }

// RealNode is a node in a process of its own.
type RealNode struct {
	*Child
	Place Place
	ops   string
}

// StartReal starts one, by the program's serve. Without a fleet's file it knows of no other.
func (r *Rig) StartReal(at Place, f *fleetconfig.File, nodes int, seed int64) (*RealNode, error) {
	host, _, err := net.SplitHostPort(at.Addr)
	if err != nil {
		return nil, err
	}
	var free [2]string // for clients, and for operators
	for i := range free {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		free[i] = l.Addr().String()
		l.Close()
	}
	s, err := scenario.Parse("scale.toml", []byte(ofReal))
	if err != nil {
		return nil, err
	}
	s.Fleet.Nodes = nodes
	configuration, err := json.Marshal(map[string]any{"ops": free[1], "name": at.Name, "listen": free[0], "discovery": at.List, "seed": fmt.Sprintf("%x", seed),
		"limits": map[string]int{"memory_mb": 192, "sockets": 1024}, "settings": s.Settings(s.Fleet.Zones[0])})
	if err != nil {
		return nil, err
	}
	base := filepath.Join(r.Dir, at.Name)
	cmd := exec.Command(r.Program, "serve", "--config", base+".json")
	if f != nil {
		own := *f
		own.Fleet.Listen, own.Fleet.Advertise = at.Addr, at.Addr
		joins, err := toml.Marshal(own)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(base+".toml", joins, 0o600); err != nil {
			return nil, err
		}
		cmd.Args = append(cmd.Args, "--fleet", base+".toml")
	}
	if err := os.WriteFile(base+".json", configuration, 0o600); err != nil {
		return nil, err
	}
	cmd.Env = append(os.Environ(), "TMPDIR="+r.Dir)
	c, err := StartChild(cmd, base+".log")
	return &RealNode{c, at, free[1]}, err
}

// ofReal is the least that a node's settings are made of. It has no client.
const ofReal = `about = "a node without clients"
seconds = 1
[fleet]
nodes = 1
caches = 1
[traffic]
per_second = 1
keys = 1
[[grade]]
name = "read"
share = 1
benefit = 1
soft_ms = 150
hard_ms = 500
work_ms = 2
tries = 3
`

var toReal = http.Client{Timeout: callBy, Transport: &http.Transport{DisableKeepAlives: true}}

// status asks it how it stands; only what it says of the fleet is taken.
func (n *RealNode) status() (st status, err error) {
	a, err := toReal.Get("http://" + n.ops + "/fleet/status")
	if err != nil {
		return st, err
	}
	defer a.Body.Close()
	var s gossip.Status
	if err := json.NewDecoder(io.LimitReader(a.Body, longestSaid)).Decode(&s); err != nil {
		return st, err
	}
	return status{Name: n.Place.Name, Members: s.Members, Mark: s.Mark, CutOff: s.CutOff, Flows: s.Flows, Dropped: s.Dropped}, nil
}

// Close ends it.
func (n *RealNode) Close() { n.End(func() { _ = n.cmd.Process.Signal(syscall.SIGTERM) }) }

// close ends all, at once.
func (f *fleetRun) close() {
	var all sync.WaitGroup
	for _, end := range f.ends() {
		all.Add(1)
		go func() {
			defer all.Done()
			end()
		}()
	}
	all.Wait()
	f.list.close()
}

func (f *fleetRun) ends() (all []func()) {
	for _, h := range f.hollows {
		all = append(all, h.Close)
	}
	for _, n := range f.reals {
		all = append(all, n.Close)
	}
	if f.alone != nil {
		all = append(all, f.alone.Close)
	}
	return all
}

// open starts a fleet of a size.
func (r *Rig) open(ctx context.Context, p *Plan, nodes int) (*fleetRun, error) {
	port := uint16(basePort + (os.Getpid()*397+nodes*7)%morePorts)
	f := &fleetRun{rig: r, plan: p, places: Lay(nodes, p.Real, p.File.Places, port), list: openListing(p.File.List.Caches)}
	for i := range f.places {
		at, err := f.list.door(f.places[i].Name)
		if err != nil {
			f.close()
			return nil, err
		}
		f.places[i].List = at
	}
	file := fleetconfig.Default()
	file.Members = p.File.Members
	file.Members.MaxMembers = max(file.Members.MaxMembers, nodes)
	file.Fleet.Label = fmt.Sprintf("scale-%d-%d-%d", os.Getpid(), nodes, p.Seed)
	for i := range min(seedsOf, nodes) {
		file.Fleet.Seeds = append(file.Fleet.Seeds, f.places[i*nodes/min(seedsOf, nodes)].Addr)
	}
	if err := f.start(ctx, file); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleetRun) start(ctx context.Context, file fleetconfig.File) error {
	real := 0
	for ; real < len(f.places) && f.places[real].Role == Real; real++ {
		n, err := f.rig.StartReal(f.places[real], &file, len(f.places), f.plan.Seed+int64(real))
		if err != nil {
			return fmt.Errorf("a real node does not start: %w", err)
		}
		f.reals = append(f.reals, n)
	}
	if real > 0 {
		list, err := f.list.door(alone)
		if err != nil {
			return err
		}
		if f.alone, err = f.rig.StartReal(Place{Name: alone, Role: Real, Addr: "127.0.0.1:0", List: list}, nil, len(f.places), f.plan.Seed); err != nil {
			return fmt.Errorf("a node that is to know of no other does not start: %w", err)
		}
	}
	for from := real; from < len(f.places); from += f.plan.Each {
		h, err := f.rig.StartHollows(f.places[from:min(len(f.places), from+f.plan.Each)], fmt.Sprintf("hollow-%d", from))
		if err != nil {
			return fmt.Errorf("a process of hollow nodes does not start: %w", err)
		}
		f.hollows = append(f.hollows, h)
	}
	apart := ms(f.plan.File.Starts.ApartMs) * time.Duration(len(f.hollows))
	_, err := f.each(ctx, order{Do: doOpen, Fleet: &file, File: &f.plan.File, Seed: f.plan.Seed, Nodes: len(f.places), Apart: apart})
	return errors.Join(err, ctx.Err())
}

// each has all processes of hollow nodes do something at once.
func (f *fleetRun) each(ctx context.Context, o order) (all []answer, err error) {
	all, errs := make([]answer, len(f.hollows)), make([]error, len(f.hollows))
	var wait sync.WaitGroup
	for i, h := range f.hollows {
		wait.Add(1)
		go func() {
			defer wait.Done()
			o := o
			if o.Do == doOpen {
				o.Places = h.places
			}
			all[i], errs[i] = h.ask(ctx, o, answerBy+time.Duration(len(o.Places))*o.Apart)
		}()
	}
	wait.Wait()
	return all, errors.Join(errs...)
}

// of has the process of one node do something for it.
func (f *fleetRun) of(ctx context.Context, name, do string) error {
	for _, h := range f.hollows {
		for _, at := range h.places {
			if at.Name == name {
				_, err := h.ask(ctx, order{Do: do, Name: name}, answerBy)
				return err
			}
		}
	}
	return fmt.Errorf("no hollow node %s", name)
}

// look is how all views stand.
func (f *fleetRun) look(ctx context.Context, do string) (all []status, lost uint64, err error) {
	said, err := f.each(ctx, order{Do: do})
	if err != nil {
		return nil, 0, err
	}
	for _, a := range said {
		all, lost = append(all, a.Nodes...), lost+a.Lost
	}
	for _, n := range f.reals {
		if n.Over() {
			return nil, 0, fmt.Errorf("real node %s has ended: %s", n.Place.Name, n.said())
		}
		st, err := n.status()
		if err != nil {
			st = status{Name: n.Place.Name} // it does not answer yet
		}
		all = append(all, st)
	}
	return all, lost, nil
}

// until looks until the views of all who are looked at have so many members and are the same, and tells how long it took.
func (f *fleetRun) until(ctx context.Context, members int, within time.Duration, of func(status) bool) (took time.Duration, err error) {
	began := time.Now()
	for {
		all, _, err := f.look(ctx, doLook)
		if err != nil {
			return 0, err
		}
		least, most, off, marks := members, 0, 0, map[string]bool{}
		for _, st := range all {
			if of != nil && !of(st) {
				continue
			}
			if least, most, marks[st.Mark] = min(least, st.Members), max(most, st.Members), true; st.CutOff {
				off++
			}
		}
		if took = time.Since(began); least == members && most == members && len(marks) == 1 && off == 0 {
			return took, nil
		}
		if f.rig.tell("%d nodes: %.0f s, views of %d to %d members, %d different, %d cut off", len(f.places), took.Seconds(), least, most, len(marks), off); took > within {
			return took, fmt.Errorf("views of %d nodes are not the same %d members within %v: %d to %d, %d different, %d cut off", len(f.places), members, within,
				least, most, len(marks), off)
		}
		if err := f.bounded(); err != nil {
			return took, err
		}
		if err := pass(ctx, lookEach); err != nil {
			return took, err
		}
	}
}

// bounded tells that all processes together take more than they may.
func (f *fleetRun) bounded() error {
	sum := uint64(0)
	for _, c := range f.children() {
		k, err := c.Cost()
		if err != nil {
			return err
		}
		sum += k.Resident
	}
	if most := uint64(f.rig.MostMB) * mb; sum > most {
		return fmt.Errorf("%d processes take %d MB: %d are the most", len(f.children()), sum/mb, f.rig.MostMB)
	}
	return nil
}

func (f *fleetRun) children() (all []*Child) {
	for _, h := range f.hollows {
		all = append(all, h.Child)
	}
	for _, n := range f.reals {
		all = append(all, n.Child)
	}
	if f.alone != nil {
		all = append(all, f.alone.Child)
	}
	return all
}

// quiet waits until nothing more is told of what has happened.
func (f *fleetRun) quiet(ctx context.Context) error {
	if err := pass(ctx, settles); err != nil {
		return err
	}
	told := func() (sum float64, err error) {
		s, err := f.read(ctx)
		for _, flows := range s.nodes {
			sum += flows["statements"].OutMessages
		}
		return sum, err
	}
	was, err := told()
	for by := time.Now().Add(quietWithin); err == nil && time.Now().Before(by); {
		if err = pass(ctx, quietEach); err != nil {
			return err
		}
		is, bad := told()
		if err = bad; is-was < quietPart*float64(len(f.places)) {
			break
		}
		f.rig.tell("%d nodes: %.1f statements a node in %v still", len(f.places), (is-was)/float64(len(f.places)), quietEach)
		was = is
	}
	return err
}

func pass(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// snapshot is what each node has taken until now.
type snapshot struct {
	at    time.Time
	nodes map[string]map[string]Flow // by node and flow
	costs map[string]Cost            // by node: of hollow ones a share of their process
	lost  uint64
	drops uint64
}

// read takes one.
func (f *fleetRun) read(ctx context.Context) (s snapshot, err error) {
	if err := f.bounded(); err != nil {
		return s, err
	}
	s = snapshot{at: time.Now(), nodes: map[string]map[string]Flow{}, costs: map[string]Cost{}}
	for _, h := range f.hollows { // before anybody is asked, as that costs
		k, err := h.Cost()
		if err != nil {
			return s, err
		}
		n := len(h.places)
		for _, at := range h.places {
			s.costs[at.Name] = Cost{k.Processor / time.Duration(n), k.Waited / time.Duration(n), k.Resident / uint64(n)}
		}
	}
	for _, n := range f.reals {
		if s.costs[n.Place.Name], err = n.Cost(); err != nil {
			return s, err
		}
	}
	if f.alone != nil {
		if s.costs[alone], err = f.alone.Cost(); err != nil {
			return s, err
		}
	}
	all, lost, err := f.look(ctx, doRead)
	if err != nil {
		return s, err
	}
	s.lost = lost
	for _, st := range all {
		flows := map[string]Flow{}
		for _, l := range st.Flows {
			flows[l.Name] = Flow{float64(l.OutBytes), float64(l.InBytes), float64(l.Out), float64(l.In)}
		}
		flows[theList] = f.list.flow(st.Name)
		s.nodes[st.Name], s.drops = flows, s.drops+st.Dropped
	}
	return s, nil
}

const (
	theList = "list"
	alone   = "alone" // the node that knows of no other
)

// Run measures all sizes, the lowest first. Those that are kept from an earlier run by the same plan are taken as they are.
func (r *Rig) Run(ctx context.Context, p *Plan, kept func(nodes int) *Size, keep func(*Size) error) (*Report, error) {
	report := &Report{Nodes: p.Nodes, Real: p.Real, WindowS: p.Window.Seconds(), Seed: p.Seed, File: p.File}
	for _, n := range p.Sizes {
		if kept != nil {
			if s := kept(n); s != nil && s.By == p.Terms() {
				report.Sizes = append(report.Sizes, s)
				continue
			}
		}
		s, err := r.measure(ctx, p, n)
		if err != nil {
			return nil, fmt.Errorf("%d nodes: %w", n, err)
		}
		if keep != nil {
			if err := keep(s); err != nil {
				return nil, err
			}
		}
		report.Sizes = append(report.Sizes, s)
	}
	report.evaluate()
	return report, nil
}

// window is how long a size is measured once it is steady: so long that each node begins as many exchanges of all that is known as any
// other.
func (p *Plan) window(nodes int) time.Duration {
	each := gossip.PushPullInterval(nodes)
	if p.Window < each/2 { // a short look, in which none may be
		return p.Window
	}
	return (p.Window + each - 1) / each * each
}

// measure measures one size.
func (r *Rig) measure(ctx context.Context, p *Plan, nodes int) (_ *Size, err error) {
	began := time.Now()
	f, err := r.open(ctx, p, nodes)
	if err != nil {
		return nil, err
	}
	defer f.close()
	s := &Size{Nodes: nodes, By: p.Terms(), Began: began.UTC(), Processes: len(f.children())}
	if _, err := f.until(ctx, nodes, formsWithin, nil); err != nil {
		return nil, fmt.Errorf("forming: %w", err)
	}
	formed := time.Since(began)
	if err := f.quiet(ctx); err != nil {
		return nil, err
	}
	last, err := f.read(ctx)
	if err != nil {
		return nil, err
	}
	s.add(f, forming, formed, snapshot{at: began}, last)

	phase := func(name string, do func() (time.Duration, error)) error {
		if err != nil {
			return err
		}
		r.tell("%d nodes: %s", nodes, name)
		took, bad := do()
		if bad != nil {
			err = fmt.Errorf("%s: %w", name, bad)
			return err
		}
		next, bad := f.read(ctx)
		if bad != nil {
			err = bad
			return err
		}
		s.add(f, name, took, last, next)
		last = next
		return nil
	}
	again := func(members int, of func(status) bool) (time.Duration, error) {
		took, err := f.until(ctx, members, wholeWithin, of)
		if err == nil {
			err = f.quiet(ctx)
		}
		return took, err
	}
	_ = phase(steady, func() (time.Duration, error) { return 0, pass(ctx, p.window(nodes)) })
	if err == nil {
		err = s.weigh(ctx, f)
	}
	if lost := f.places[len(f.places)-1]; p.File.Lost.ForS > 0 {
		_ = phase(lostOne, func() (time.Duration, error) {
			began := time.Now()
			if err := f.of(ctx, lost.Name, doDrop); err != nil {
				return 0, err
			}
			took, err := f.until(ctx, nodes-1, wholeWithin, func(st status) bool { return st.Name != lost.Name })
			return took, cmp.Or(err, pass(ctx, max(0, seconds(p.File.Lost.ForS)-time.Since(began))))
		})
		_ = phase(lostBack, func() (time.Duration, error) {
			if err := f.of(ctx, lost.Name, doRaise); err != nil {
				return 0, err
			}
			return again(nodes, nil)
		})
	}
	if p.File.Cut.ForS > 0 {
		region, inside := RegionID(p.File.Cut.Region), map[string]bool{}
		for _, at := range f.places {
			inside[at.Name] = at.Region == region
		}
		left := 0
		for _, at := range f.places {
			if at.Region != region {
				left++
			}
		}
		_ = phase(cutOff, func() (time.Duration, error) {
			began := time.Now()
			if _, err := f.each(ctx, order{Do: doCut, Off: true}); err != nil {
				return 0, err
			}
			took, err := f.until(ctx, left, wholeWithin, func(st status) bool { return !inside[st.Name] })
			return took, cmp.Or(err, pass(ctx, max(0, seconds(p.File.Cut.ForS)-time.Since(began))))
		})
		_ = phase(cutBack, func() (time.Duration, error) {
			if _, err := f.each(ctx, order{Do: doCut, Off: false}); err != nil {
				return 0, err
			}
			return again(nodes, nil)
		})
	}
	if err != nil {
		return nil, err
	}
	s.LostHere, s.Dropped = last.lost, last.drops
	return s, nil
}
