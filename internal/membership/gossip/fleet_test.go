package gossip

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/membership"
)

func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// posts opens some that know one another by the first's address.
func posts(t *testing.T, n int, change func(*fleetconfig.File)) (ps []*Node) {
	t.Helper()
	seed := ""
	for i := range n {
		lines, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f := fleetconfig.Default()
		f.Members.HelloMs, f.Members.PauseS, f.Members.BackS = 50, 0.4, 0.3
		f.Fleet.Advertise = lines.Datagrams.LocalAddr().String()
		if i == 0 {
			seed = f.Fleet.Advertise
		}
		f.Fleet.Seeds = []string{seed}
		if change != nil {
			change(&f)
		}
		p, err := Join(Config{Name: string(rune('a' + i)), FleetConfig: &f, Log: quiet(), Now: BootTime, Trace: func([]byte) {}}, lines)
		if err != nil {
			t.Fatal(err)
		}
		ps = append(ps, p)
		over := make(chan bool)
		go func() { // the loop that serves clients
			for {
				select {
				case <-over:
					return
				case <-time.After(20 * time.Millisecond):
					p.LoopAdvanced()
				}
			}
		}()
		t.Cleanup(func() { close(over); p.Close(false) })
	}
	return ps
}

func within(t *testing.T, what string, yes func() bool) {
	t.Helper()
	for by := time.Now().Add(20 * time.Second); !yes(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("never: %s", what)
		}
	}
}

func all(ps []*Node, n int) func() bool {
	return func() bool {
		for _, p := range ps {
			if v := p.View(); len(v.Nodes) != n || v.Fingerprint != ps[0].View().Fingerprint {
				return false
			}
		}
		return true
	}
}

// Three on sockets come to one view; one that leaves in order is out of it, and what is foreign is dropped with a count and harms nobody.
func TestPostsJoinLeaveAndDropWhatIsForeign(t *testing.T) {
	ps := posts(t, 3, func(f *fleetconfig.File) { f.Fleet.Key = "MDEyMzQ1Njc4OWFiY2RlZg==" })
	within(t, "all know all", all(ps, 3))
	at := ps[0].FleetConfig.Fleet.Advertise
	c, err := net.Dial("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ours := func(kind byte) string { return string(ps[0].t.preface(kind)) }
	other := transport{label: 1}
	for _, rubbish := range []string{"", "x", "\xda\x17\x01", "\xda\x17\x02hhhhh", ours('z') + "...", ours('h'), ours('h') + "\xa1\x00\x01", ours('g'),
		ours('g') + "\xff\xff\xff", ours('h') + "\xbf", string(other.preface('h')), string(make([]byte, 9000))} {
		io.WriteString(c, rubbish)
	}
	for _, rubbish := range []string{"GET / HTTP/1.1\r\n\r\n", ours('h'), string(other.preface('g')), "\xda\x17"} {
		s, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(s, rubbish)
		s.(*net.TCPConn).CloseWrite()
		s.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.ReadAll(s); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: not closed: %v", rubbish, err)
		}
		s.Close()
	}
	within(t, "all rubbish is counted", func() bool {
		s, _ := ps[0].FleetStatus()
		got := s.(Status)
		return got.Foreign >= 9 && got.Unread >= 3
	})
	ps[2].SetPresence(Leaving)
	within(t, "the one that left is out", all(ps[:2], 2))
	ps[2].SetPresence(Staying)
	within(t, "and back", all(ps, 3))
	if s, whole := ps[0].FleetStatus(); !whole || s.(Status).CutOff {
		t.Errorf("%+v", s)
	}
}

// Each byte is of one kind: those of datagrams add up to all that were counted, and what members say and exchange is told apart.
func TestFlowsAreToldApart(t *testing.T) {
	ps := posts(t, 3, nil)
	within(t, "all know all", all(ps, 3))
	ps[2].SetPresence(Leaving) // something to say
	within(t, "the one that left is out", all(ps[:2], 2))
	for _, p := range ps {
		within(t, "what is counted adds up", func() bool { // it goes on meanwhile
			told, _ := p.FleetStatus()
			s, in, out := told.(Status), uint64(0), uint64(0)
			for _, f := range s.Flows[:streams] {
				if in, out = in+f.InBytes, out+f.OutBytes; f.InBytes == 0 || f.OutBytes == 0 || f.In == 0 || f.Out == 0 {
					return false
				}
			}
			ex := s.Flows[streams]
			return in == s.InBytes && out == s.OutBytes && s.Flows[hellos].Out+s.Flows[gossip].Out == s.Out && s.Flows[hellos].In+s.Flows[gossip].In == s.In &&
				ex.In == s.Streams && ex.InBytes > 0 && ex.OutBytes > 0 && ex.In+ex.Out > 0 && s.Flows[hellos].OutBytes > 2*s.Flows[hellos].Out*prefaceLen
		})
	}
}

// A stream comes from the address that datagrams come from, and that others know: else nobody can tell whose it is.
func TestStreamsComeFromTheAddressThatIsKnown(t *testing.T) {
	from, err := Listen("127.10.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer from.close()
	to, err := Listen("127.11.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer to.close()
	c, err := from.Dial(to.Streams.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got, err := to.Streams.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer got.Close()
	if at := got.RemoteAddr().(*net.TCPAddr).IP.String(); at != "127.10.0.1" {
		t.Errorf("it comes from %s", at)
	}
	any, err := Listen("0.0.0.0:0") // one that listens everywhere calls from anywhere
	if err != nil {
		t.Fatal(err)
	}
	defer any.close()
	if c, err := any.Dial(to.Streams.Addr().String(), time.Second); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
}

// Whatever comes is read or refused, and what is read is written the same again.
func FuzzMessages(f *testing.F) {
	s := membership.Statement{Process: 7, Node: "n1", Incarnation: 2, Revision: 9, Addr: "10.0.0.1:7946", SelfDoubt: true, Hears: []membership.ProcessID{8}, Misses: []membership.ProcessID{9}}
	one, err := encodeStatement(s)
	if err != nil {
		f.Fatal(err)
	}
	state, _ := encodeState([][]byte{one, one})
	hello, _ := encodeHello(membership.Heartbeat{Process: 7, Revision: 9, Digest: 1, Addr: "[::1]:1"})
	for _, b := range [][]byte{one, state, hello, {}, {0xbf}, {0xa1, 0x00, 0x01}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decodeStatement(b); err == nil && s.Addr != "" {
			again, err := encodeStatement(s)
			if err != nil {
				t.Fatal(err)
			}
			if back, err := decodeStatement(again); err != nil || back.Process != s.Process || back.Revision != s.Revision || back.Node != s.Node || back.Addr != s.Addr {
				t.Errorf("%+v became %+v, %v", s, back, err)
			}
		}
		if h, err := decodeHello(b); err == nil && (h.Process == 0 || h.Addr == "") {
			t.Errorf("taken: %+v", h)
		}
		_, _ = decodeState(b)
	})
}

// A field that an older node does not know is passed over, and goes on to others as it came.
func TestUnknownFieldsArePassedOver(t *testing.T) {
	one, err := encodeStatement(membership.Statement{Process: 7, Node: "n1", Revision: 9, Addr: "10.0.0.1:7946"})
	if err != nil {
		t.Fatal(err)
	}
	newer := append([]byte{one[0] + 1}, one[1:]...) // one more pair in the map: 23, true
	newer = append(newer, 0x17, 0xf5)
	if s, err := decodeStatement(newer); err != nil || s.Process != 7 {
		t.Errorf("%+v, %v", s, err)
	}
	state, err := encodeState([][]byte{newer})
	if err != nil {
		t.Fatal(err)
	}
	if back, err := decodeState(state); err != nil || len(back) != 1 || string(back[0]) != string(newer) {
		t.Errorf("%v, %v", back, err)
	}
}

// A seed that takes calls and says nothing kept a node from ending for ten seconds a seed; and a library that still had something to tell
// wrote to a trace that was closed.
func TestAPostEndsWhoeverDoesNotAnswer(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	p := posts(t, 1, func(f *fleetconfig.File) {
		f.Fleet.Seeds = []string{mute.Addr().String(), mute.Addr().String(), mute.Addr().String()}
	})[0]
	time.Sleep(50 * time.Millisecond) // the call to the first is under way
	began := time.Now()
	p.Close(true)
	p.Close(true)
	if took := time.Since(began); took > endBy+leaveBy+time.Second {
		t.Errorf("took %v to end", took)
	}
	p.NotifyLeave(&memberlist.Node{Name: "x"})
}

// Any port that was free for datagrams was taken, whether it was for streams or not: one start in some hundred failed.
func TestAnyPortIsFreeForBoth(t *testing.T) {
	for range 400 { // of some 28,000 that are given
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	for range 1000 {
		l, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.close()
	}
}
