package scale

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/membership/gossip"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		xs, ys []float64
		want   Line
	}{
		{nil, nil, Line{}},
		{[]float64{5}, []float64{7}, Line{Intercept: 7, R2: 1, Points: 1}},
		{[]float64{5, 5}, []float64{6, 8}, Line{Intercept: 7, R2: 0, Points: 2}},
		{[]float64{1, 2, 3}, []float64{5, 7, 9}, Line{Slope: 2, Intercept: 3, R2: 1, Points: 3}},
		{[]float64{0, 1, 2}, []float64{0, 3, 0}, Line{Intercept: 1, R2: 0, Error: math.Sqrt(3), Points: 3}},
		{[]float64{1, 2, 3, 4}, []float64{1, 3, 2, 4}, Line{Slope: 0.8, Intercept: 0.5, R2: 0.64, Error: math.Sqrt(0.18), Points: 4}},
	} {
		got := Fit(c.xs, c.ys)
		for _, d := range []float64{got.Slope - c.want.Slope, got.Intercept - c.want.Intercept, got.R2 - c.want.R2, got.Error - c.want.Error} {
			if math.Abs(d) > 1e-9 || got.Points != c.want.Points {
				t.Errorf("%v, %v: %+v, and not %+v", c.xs, c.ys, got, c.want)
				break
			}
		}
	}
	if at := (Line{Slope: 2, Intercept: 3}).At(10); at != 23 {
		t.Errorf("%v at 10", at)
	}
}

func TestOver(t *testing.T) {
	hundred := make([]float64, 200)
	for i := range hundred {
		hundred[i] = float64(200 - i)
	}
	for _, c := range []struct {
		xs   []float64
		want Spread
	}{
		{nil, Spread{}}, {[]float64{4}, Spread{4, 4, 4, 4}}, {[]float64{9, 1, 2}, Spread{4, 2, 9, 9}}, {[]float64{1, 2, 3, 10}, Spread{4, 2.5, 10, 10}},
		{hundred, Spread{100.5, 100.5, 198, 200}},
	} {
		got := Over(c.xs)
		if math.Abs(got.Mean-c.want.Mean) > 1e-9 || got.Median != c.want.Median || got.P99 != c.want.P99 || got.Most != c.want.Most {
			t.Errorf("%v: %+v, and not %+v", c.xs, got, c.want)
		}
	}
}

// An address stands for one node, and tells the region and the role, as rules go by it. Real nodes stand together, and regions, sites and
// zones are filled evenly.
func TestLay(t *testing.T) {
	for _, c := range []struct{ nodes, real, regions, sites, zones int }{
		{480, 8, 11, 28, 37}, {12, 2, 1, 1, 1}, {60, 12, 11, 28, 37}, {2000, 32, 2, 3, 5},
	} {
		all, addrs, in, zones := Lay(c.nodes, c.real, Places{c.regions, c.sites, c.zones}, 7946), map[string]bool{}, map[RegionID]int{}, map[int]int{}
		for i, p := range all {
			region, role, ok := ofAddr(p.Addr)
			if !ok || region != p.Region || role != p.Role || addrs[p.Addr] || (p.Role == Real) != (i < c.real) || p.Role == Real && p.Region != 0 ||
				p.Site%c.regions != int(p.Region) || p.Zone%c.regions != int(p.Region) || p.Site >= c.sites || p.Zone >= c.zones {
				t.Fatalf("%+v: %+v, read as %v %v %v", c, p, region, role, ok)
			}
			addrs[p.Addr] = true
			in[p.Region]++
			zones[p.Zone]++
		}
		if len(all) != c.nodes || len(in) != c.regions || len(zones) != c.zones {
			t.Errorf("%+v: %d nodes in %d regions and %d zones", c, len(all), len(in), len(zones))
		}
		for r, n := range in {
			if even := c.nodes / c.regions; n < min(even, (c.nodes-c.real)/c.regions) || n > max(even+1, c.real) {
				t.Errorf("%+v: %d in region %d", c, n, r)
			}
		}
	}
	if _, _, ok := whose(netip.MustParseAddr("127.0.0.1")); ok {
		t.Error("127.0.0.1 is no node")
	}
}

func TestFileIsReadStrictly(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", ""},
		{"[places]\nregions = 11\nsites = 28\nzones = 37\n[cut]\nregion = 10\nfor_s = 3\n[budget]\nkb_per_s = 19", ""},
		{"[places]\nregion = 11", "f.toml:2: no such field: places.region"},
		{"[places]\nregions = 11\nsites = 28", "f.toml:1: places.zones: 1 is not from 11 to 2000"},
		{"[starts]\napart_ms = 0", "f.toml:2: starts.apart_ms: 0 is not from 1 to 10000"},
		{"[between]\nloss = 2", "f.toml:2: between.loss: 2 is not from 0 to 0.9"},
		{"[between]\ndelay_ms = 5\ndelay_most_ms = 4", "f.toml:3: between.delay_most_ms: 4 is not from 5 to 2000"},
		{"[cut]\nfor_s = 3", "f.toml:2: cut.for_s: there is one region only"},
		{"[members]\npause_s = 0", "f.toml:2: members.pause_s: 0 is not from 0.2 to 60"},
		{"[budget]\nmemory_mb = -1", "f.toml:2: budget.memory_mb: -1 is not from 0 to 1e+06"},
	} {
		_, err := ParseFile("f.toml", []byte(c.text))
		if got := fmt.Sprint(err); c.want == "" && err != nil || c.want != "" && got != c.want {
			t.Errorf("%q: %v", c.text, err)
		}
	}
}

func TestPlansAreChecked(t *testing.T) {
	for _, c := range []struct {
		plan Plan
		want string
	}{
		{Plan{Nodes: 480, Real: 8, Window: time.Minute}, ""},
		{Plan{Nodes: 2, Window: time.Minute}, "--nodes"},
		{Plan{Nodes: 480, Real: 33, Window: time.Minute}, "--real"},
		{Plan{Nodes: 480, Real: 8, Window: time.Second}, "--for"},
		{Plan{Nodes: 8, Real: 8, Window: time.Minute}, "leave no size"},
		{Plan{Nodes: 480, Real: 8, Window: time.Minute, Sizes: []int{8}}, "--sizes"},
		{Plan{Nodes: 480, Real: 8, Window: time.Minute, Sizes: []int{4000}}, "--sizes"},
		{Plan{Nodes: 2000, Window: time.Minute, Each: 4}, "processes"},
	} {
		err := c.plan.Check()
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%+v: %v", c.plan, err)
		}
		if c.want == "" && fmt.Sprint(c.plan.Sizes) != "[60 120 240 480]" {
			t.Errorf("sizes %v", c.plan.Sizes)
		}
	}
}

// A window in which some nodes have begun one exchange more than others says nothing of what is usual.
func TestWindowsAreWholeExchanges(t *testing.T) {
	p := Plan{Window: time.Minute}
	for nodes, want := range map[int]time.Duration{30: time.Minute, 60: time.Minute, 120: 90 * time.Second, 480: 75 * time.Second, 960: 90 * time.Second} {
		if got := p.window(nodes); got != want {
			t.Errorf("%d nodes: %v", nodes, got)
		}
	}
	if p.Window = 2 * time.Second; p.window(480) != p.Window {
		t.Errorf("a short look is %v", p.window(480))
	}
}

// What real nodes take more than hollow ones counts, and only what is over a stated budget is named.
func TestFiguresAreHeldAgainstTheBudget(t *testing.T) {
	size := func(nodes int, hollow, real float64) *Size {
		taken := func(x float64) *Taken {
			return &Taken{Nodes: 1, Flows: map[string]Spread{bothWays: {Mean: x}}, Processor: Spread{Mean: x / 1000}}
		}
		return &Size{Nodes: nodes, Phases: map[string]*Phase{steady: {LongS: 1, Roles: map[Role]*Taken{Hollow: taken(hollow), Real: taken(real)}}},
			Memory: map[Role]Memory{Hollow: {Resident: Spread{Mean: 2}}, Real: {Resident: Spread{Mean: 20}}}}
	}
	for name, c := range map[string]struct {
		sizes  []*Size
		budget Budget
		want   string
	}{
		"none stated":     {[]*Size{size(10, 1000, 1000)}, Budget{}, "all within"},
		"within":          {[]*Size{size(10, 1000, 900), size(20, 2000, 1900)}, Budget{KBPerS: 2.1, CorePercent: 2.1, MemoryMB: 21}, "all within"},
		"measured":        {[]*Size{size(10, 1000, 900), size(20, 2200, 2000)}, Budget{KBPerS: 2.1}, "not within: steady, all sent and received at 20 nodes is 2200 B/s, and 2100 is the budget"},
		"by the line":     {[]*Size{size(5, 1000, 1000), size(10, 2000, 2000)}, Budget{KBPerS: 3}, "not within: steady, all sent and received at 20 nodes is 4000 B/s, and 3000 is the budget"},
		"real takes more": {[]*Size{size(20, 1000, 1500)}, Budget{CorePercent: 1.2}, "not within: steady, processor at 20 nodes is 1.5 % of a core, and 1.2 is the budget"},
		"memory":          {[]*Size{size(20, 1000, 1500)}, Budget{MemoryMB: 19}, "not within: memory, resident at 20 nodes is 20 MB, and 19 is the budget"},
	} {
		r := Report{Nodes: 20, Sizes: c.sizes, File: File{Budget: c.budget}}
		r.judge()
		if r.Last() != c.want || r.Good() != (c.want == "all within") {
			t.Errorf("%s: %s", name, r.Last())
		}
		var text bytes.Buffer
		if err := r.Print(&text); err != nil || !strings.HasSuffix(text.String(), "\n"+c.want+"\n") {
			t.Errorf("%s: %v, printed %s", name, err, text.String())
		}
	}
	short := size(20, 1, 1)
	short.LostHere = 3
	r := Report{Nodes: 20, Sizes: []*Size{short}}
	if r.judge(); r.Good() {
		t.Error("messages that were lost here went unnamed")
	}
}

// What crosses between regions goes by their rule, whoever sends it: a hollow node keeps it for what it sends, and for what a real one
// sends to it, which knows of no rules. Within a region nothing goes wrong.
func TestRulesBetweenRegions(t *testing.T) {
	const delay, late = 300 * time.Millisecond, 100 * time.Millisecond
	faults := netfault.New(1)
	r := &ruler{faults: faults}
	come := map[net.Addr]chan string{}
	open := func(addr string, region RegionID, ruled bool) gossip.Transport {
		l, err := gossip.Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		if ruled {
			l = r.lines(l, region)
		}
		t.Cleanup(func() { l.Datagrams.Close(); l.Streams.Close() })
		came := make(chan string, 99)
		come[l.Datagrams.LocalAddr()] = came
		go func() {
			for b := make([]byte, 9); ; {
				n, from, err := l.Datagrams.ReadFrom(b)
				if err != nil {
					return
				}
				came <- string(b[:n]) + " from " + from.String()
			}
		}()
		return l
	}
	here, near, far, real := open("127.10.0.1:0", 0, true), open("127.10.0.2:0", 0, true), open("127.11.0.1:0", 1, true), open("127.11.200.1:0", 1, false)
	datagram := func(from, to gossip.Transport, want time.Duration) {
		t.Helper()
		began := time.Now()
		if _, err := from.Datagrams.WriteTo([]byte("x"), to.Datagrams.LocalAddr()); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-come[to.Datagrams.LocalAddr()]:
			if took := time.Since(began); got != "x from "+from.Datagrams.LocalAddr().String() || took < want || want == 0 && took > delay {
				t.Errorf("%s after %v, and not %v", got, took, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("a datagram never came")
		}
	}
	stream := func(from, to gossip.Transport, within time.Duration, want string) (took time.Duration) {
		t.Helper()
		said := make(chan string, 1)
		go func() {
			c, err := to.Streams.Accept()
			if err != nil {
				said <- "none"
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(within))
			b := make([]byte, 9)
			n, err := c.Read(b)
			if said <- string(b[:n]); err == nil {
				c.Write([]byte("yes"))
			}
		}()
		began := time.Now()
		c, err := from.Dial(to.Streams.Addr().String(), within)
		if err != nil {
			if want != "" {
				t.Errorf("no stream: %v", err)
			}
			return 0
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(within))
		c.Write([]byte("hello"))
		b := make([]byte, 9)
		n, _ := c.Read(b)
		if string(b[:n]) != want {
			t.Errorf("a stream brought %q, and not %q", b[:n], want)
		}
		return time.Since(began)
	}
	set := func(change func(*netfault.Way)) {
		faults.Change(0, 1, change)
		faults.Change(1, 0, change)
	}
	set(func(w *netfault.Way) { w.Delay, w.Late = delay, late })
	datagram(here, near, 0)
	datagram(here, far, delay)
	datagram(far, here, delay)
	datagram(here, real, delay)
	datagram(real, here, delay)
	datagram(real, far, 0)
	if took := stream(here, near, 5*time.Second, "yes"); took > delay {
		t.Errorf("a stream within a region took %v", took)
	}
	for _, pair := range [][2]gossip.Transport{{here, far}, {here, real}, {real, here}} {
		if took := stream(pair[0], pair[1], 5*time.Second, "yes"); took < 2*delay {
			t.Errorf("a stream there and back took %v", took)
		}
	}
	cut(faults, 1, 2, true)
	for _, from := range []gossip.Transport{here, real} {
		to := map[bool]gossip.Transport{true: far, false: here}[from.Datagrams == here.Datagrams]
		from.Datagrams.WriteTo([]byte("lost"), to.Datagrams.LocalAddr())
		stream(from, to, delay, "")
	}
	time.Sleep(delay + late)
	cut(faults, 1, 2, false)
	datagram(here, far, delay) // the first that comes: what was sent while they were cut off is lost
	datagram(real, here, delay)
	if lost := r.lost.Load(); lost != 0 {
		t.Errorf("%d were lost for want of room", lost)
	}
}

// Nine hollow nodes in three regions know one another; a region that is cut off is out of the others' views, knows that it is cut off, and
// is back once it may. Their calls for the list are those of a node.
func TestHollowNodesAndACutRegion(t *testing.T) {
	const nodes, regions, off = 9, 3, 1
	f := usual()
	f.Places = Places{regions, regions, regions}
	f.Between = Between{DelayMs: 2, DelayMostMs: 10, LateMs: 1, Loss: 0.01}
	r := &ruler{faults: f.Faults(7)}
	list := openListing(3)
	defer list.close()
	free, err := gossip.Listen("127.10.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	all, port := []*Node{}, free.Streams.Addr().(*net.TCPAddr).AddrPort().Port()
	free.Datagrams.Close()
	free.Streams.Close()
	file := fleetconfig.Default()
	file.Members.HeartbeatMs, file.Members.PauseS, file.Members.RejoinS = 100, 0.8, 0.6
	file.Fleet.Label = "hollow"
	for _, at := range Lay(nodes, 0, f.Places, port) {
		var err error
		if at.List, err = list.door(at.Name); err != nil {
			t.Fatal(err)
		}
		own := file
		own.Fleet.Listen, own.Fleet.Advertise, own.Fleet.Seeds = at.Addr, at.Addr, []string{fmt.Sprintf("127.%d.0.1:%d", firstRegion, port)}
		n, err := OpenNode(at, &own, nodes, r)
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close(false)
		all = append(all, n)
	}
	within := func(what string, yes func(*Node) bool) {
		t.Helper()
		for by := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			ok := true
			for _, n := range all {
				ok = ok && yes(n)
			}
			if ok {
				return
			}
			if time.Now().After(by) {
				t.Fatal("never: " + what)
			}
		}
	}
	whole := func(n *Node) bool { return len(n.Post.View().Nodes) == nodes && !n.Post.View().CutOff }
	within("all know all", whole)
	cut(r.faults, off, regions, true)
	within("the region is out, and knows it", func(n *Node) bool {
		v := n.Post.View()
		return n.Place.Region == off && v.CutOff || n.Place.Region != off && len(v.Nodes) == nodes-nodes/regions && !v.CutOff
	})
	cut(r.faults, off, regions, false)
	within("all know all again", whole)
	for _, n := range all {
		flow := list.flow(n.Place.Name)
		if flow.OutMessages < 2 || flow.In < float64(len(list.whole)) || flow.Out == 0 {
			t.Errorf("%s has called %+v", n.Place.Name, flow)
		}
		hellos := n.Post.Traffic()[0]
		if hellos.Out == 0 || hellos.InBytes == 0 {
			t.Errorf("%s: %+v", n.Place.Name, hellos)
		}
	}
}

// Where all caches stand in one zone nothing crosses and all is lost with it; where each has a zone of its own no two holders go at once. In
// between, two of three holders share one of few crowded zones about as often as chance has it: 13 pairs of 1,225, three to a key.
func TestPlacement(t *testing.T) {
	for name, c := range map[string]struct {
		places                   Places
		caches                   int
		price                    float64
		zone, region, two, twoIn [2]float64 // least and most: first attempts that leave the zone, the region; keys with two in one
	}{
		"one zone":         {Places{1, 1, 1}, 20, 0.2, [2]float64{0, 0}, [2]float64{0, 0}, [2]float64{1, 1}, [2]float64{1, 1}},
		"a zone each":      {Places{1, 1, 14}, 14, 0, [2]float64{0.91, 0.95}, [2]float64{0, 0}, [2]float64{0, 0}, [2]float64{1, 1}},
		"few in many":      {Places{11, 28, 37}, 50, 0, [2]float64{0.96, 0.985}, [2]float64{0.89, 0.93}, [2]float64{0.025, 0.04}, [2]float64{0.17, 0.23}},
		"at a price":       {Places{11, 28, 37}, 50, 0.2, [2]float64{0.9, 0.94}, [2]float64{0.82, 0.89}, [2]float64{0.025, 0.04}, [2]float64{0.17, 0.23}},
		"its own deal too": {Places{3, 3, 3}, 60, 0.2, [2]float64{0, 0.01}, [2]float64{0, 0.01}, [2]float64{0.999, 1}, [2]float64{0.999, 1}},
	} {
		x := PlaceKeys(c.places, c.caches, 9000, 480, c.price)
		for what, got := range map[string][3]float64{"zone": {x.First.Zone, c.zone[0], c.zone[1]}, "region": {x.First.Region, c.region[0], c.region[1]},
			"two in a zone": {x.TwoInZone, c.two[0], c.two[1]}, "two in a region": {x.TwoInRegion, c.twoIn[0], c.twoIn[1]}} {
			if got[0] < got[1] || got[0] > got[2] {
				t.Errorf("%s, %s: %.4f is not from %v to %v", name, what, got[0], got[1], got[2])
			}
		}
		if x.Holders < holds-1 || x.Holders > holds || x.First.Attempts != x.Keys || x.Second.Attempts < x.Keys/turnedEvery*9/10 {
			t.Errorf("%s: %+v", name, x)
		}
	}
}
