package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
)

// startWithOrigin lets discovery list one cache and an origin, and starts the first process.
func (s *successionTest) startWithOrigin(origin *countingOrigin) *Proxy {
	s.t.Helper()
	g := &harness{t: s.t}
	entry := fmt.Sprintf(`{"instanceId":"o","hostPort":%q,"machineType":"origin","lifecycle":"in_service","zone":"z"}`,
		g.listenHTTP(origin.ServeHTTP))
	s.discovery.set(false, toldVersion, s.entry("steady", "in_service", 0), entry)
	p := s.start()
	s.waitUntil(p, "the list is applied", func() bool { return p.endpoints.byID["o"] != nil })
	return p
}

// keptClient opens a connection to the process that accepts connections, and has a read answered on it.
func (s *successionTest) keptClient(writer requestWriter) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, r := sendTo(s.t, s.listen[writer.listener], writer.read(fmt.Sprintf("kept%d", s.requests.Add(1))))
	expectPrefix(s.t, r, map[int]string{0: "VA 5", 1: "HTTP/1.1 200"}[writer.listener])
	for line := ""; line != "hello"; {
		b, err := r.ReadByte()
		if err != nil {
			s.t.Fatal(err)
		}
		if line += string(b); len(line) > 5 {
			line = line[1:]
		}
	}
	if writer.listener == 0 {
		r.ReadString('\n')
	}
	return c, r
}

// Guards against a write that runs at both processes of an upgrade: its client leaves one of them, where the first
// attempt is still out or may have run, and sends it again to the other one (16 of 20 ran twice, by meta commands and
// by HTTP alike).
func TestWriteDoesNotRunAtBothProcessesOfAnUpgrade(t *testing.T) {
	for protocol, writer := range requestWriters {
		for _, firstAt := range []string{"predecessor", "successor", "predecessor, before the successor starts"} {
			for _, end := range []string{"in flight", "client gone", "served"} {
				t.Run(fmt.Sprintf("%s, first at the %s, %s", protocol, firstAt, end), func(t *testing.T) {
					t.Parallel()
					testIDAtBothProcesses(t, writer, firstAt, end)
				})
			}
		}
	}
}

func testIDAtBothProcesses(t *testing.T, writer requestWriter, firstAt, end string) {
	s := newSuccessionTest(t)
	origin := newCountingOrigin()
	predecessor := s.startWithOrigin(origin)
	s.waitUntilServing(predecessor)
	old, oldReader := s.keptClient(writer)
	other, otherReader := s.keptClient(writer)
	first := func(c net.Conn, r *bufio.Reader, at *Proxy) {
		t.Helper()
		io.WriteString(c, writer.pay("x"))
		receive(t, origin.arrived)
		switch end {
		case "client gone":
			c.Close()
			(&harness{t: t, Proxy: at}).waitUntil("the client is gone", func(n metrics.Counters) bool {
				return n.ClientsGone == 1
			})
		case "served":
			origin.proceed <- 200
			expectPrefix(t, r, writer.served)
		}
	}
	if firstAt == "predecessor, before the successor starts" {
		first(old, oldReader, predecessor)
	}
	successor := s.start()
	s.waitUntilServing(successor)
	s.waitUntil(predecessor, "the predecessor knows", func() bool { return predecessor.takeover.otherProcessAccepts })
	fresh, freshReader := s.keptClient(writer) // at the successor
	s.waitUntil(successor, "used ids are known", func() bool {
		exchange := successor.takeover.requests.exchange
		return exchange != nil && exchange.IsComplete()
	})
	again, againReader := fresh, freshReader
	switch firstAt {
	case "predecessor":
		first(old, oldReader, predecessor)
	case "successor":
		first(fresh, freshReader, successor)
		again, againReader = other, otherReader
	}
	io.WriteString(again, writer.pay("x"))
	expectPrefix(t, againReader, writer.refused)
	if count := origin.count("x"); count != 1 {
		t.Errorf("the origin has got the write %d times", count)
	}
	predecessor.Shutdown()
	s.waitUntil(successor, "the predecessor has exited", func() bool { return successor.takeover.predecessorExited })
	_, r := sendTo(t, s.listen[writer.listener], writer.pay("x"))
	expectPrefix(t, r, writer.refused)
	origin.proceed <- 200
	if end != "served" {
		origin.proceed <- 200 // the first attempt may still wait
	}
	_, r = sendTo(t, s.listen[writer.listener], writer.pay("y"))
	expectPrefix(t, r, writer.served)
	if count := origin.count("x"); count != 1 {
		t.Errorf("the origin has got the write %d times in the end", count)
	}
}

// A successor that is reverted goes on serving its clients until it has drained, and the predecessor accepts new ones:
// a write must still not run at both. Afterwards the predecessor serves alone, and can be replaced again.
func TestWriteDoesNotRunAtBothProcessesOfARevertedUpgrade(t *testing.T) {
	writer := requestWriters["meta"]
	s := newSuccessionTest(t)
	origin := newCountingOrigin()
	predecessor := s.startWithOrigin(origin)
	s.waitUntilServing(predecessor)
	successor := s.start()
	s.waitUntilServing(successor)
	s.waitUntil(predecessor, "the predecessor knows", func() bool { return predecessor.takeover.otherProcessAccepts })
	kept, keptReader := s.keptClient(writer)
	io.WriteString(kept, writer.pay("w")) // keeps the connection busy
	receive(t, origin.arrived)
	successor.Shutdown()
	s.waitUntil(predecessor, "the predecessor serves", func() bool { return !predecessor.takeover.otherProcessAccepts })
	io.WriteString(kept, writer.pay("x"))
	receive(t, origin.arrived)
	_, r := sendTo(t, s.listen[0], writer.pay("x"))
	expectPrefix(t, r, writer.refused)
	origin.proceed <- 200
	origin.proceed <- 200
	expectPrefix(t, keptReader, writer.served)
	expectPrefix(t, keptReader, writer.served)
	s.waitUntil(predecessor, "the exchange has ended", func() bool { return predecessor.takeover.requests.exchange == nil })
	_, r = sendTo(t, s.listen[0], writer.pay("x"))
	expectPrefix(t, r, writer.refused)
	if count := origin.count("x"); count != 1 {
		t.Errorf("the origin has got the write %d times", count)
	}
	s.replace(predecessor)
	_, r = sendTo(t, s.listen[0], writer.pay("x"))
	expectPrefix(t, r, writer.refused)
	origin.proceed <- 200
	_, r = sendTo(t, s.listen[0], writer.pay("z"))
	expectPrefix(t, r, writer.served)
}

// A predecessor that is suspended cannot tell which writes it has attempted. Its successor rejects writes that must not
// run twice, at once, and serves reads; it serves writes once the predecessor has ended.
func TestWritesAreRejectedWhileThePredecessorIsSuspended(t *testing.T) {
	for protocol, writer := range requestWriters {
		t.Run(protocol, func(t *testing.T) {
			t.Parallel()
			s := newSuccessionTest(t)
			offer := s.offerWithoutProcess()
			origin := newCountingOrigin()
			p := s.startWithOrigin(origin)
			s.waitUntilServing(p)
			c, r := s.keptClient(writer)
			began := time.Now()
			io.WriteString(c, writer.pay("x"))
			expectPrefix(t, r, writer.busy)
			if took := time.Since(began); took > 500*time.Millisecond {
				t.Errorf("rejected after %v", took)
			}
			offer.Close()
			s.waitUntil(p, "the predecessor has exited", func() bool { return p.takeover.predecessorExited })
			origin.proceed <- 200
			_, r = sendTo(t, s.listen[writer.listener], writer.pay("x"))
			expectPrefix(t, r, writer.served)
		})
	}
}
