//go:build review

// Case 3: at a planned restart the node ends while a cache server still gives a long value, before the platform would
// kill it.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dahliapin/review/rig"
)

const (
	rounds       = 4
	pace         = 1 << 20                // bytes a second in which a cache server gives a long value
	pieceSize    = 16 << 10               // bytes
	beforeTerm   = 300 * time.Millisecond // from sending the requests for long values to SIGTERM
	killAfter    = 2 * time.Second        // from SIGTERM to SIGKILL: 1.2 s, the longest deadline, and 0.7 s at the least
	noNewAfter   = 300 * time.Millisecond // from SIGTERM to the last new connection
	longDeadline = 900 * time.Millisecond
)

// ends are the times after SIGTERM at which the long values are whole: all before the earliest SIGKILL, at 1.9 s.
var ends = []time.Duration{1000 * time.Millisecond, 1760 * time.Millisecond, 1800 * time.Millisecond, 1840 * time.Millisecond}

func main() { rig.Main(run) }

func sizeFor(end time.Duration) int { return int((beforeTerm + end).Seconds() * pace) }

// writer writes the answers of a cache server, long ones in small pieces, at a steady pace.
func writer(c *rig.Case, id string, cut *atomic.Int64) func(net.Conn, []byte) bool {
	return func(conn net.Conn, answer []byte) bool {
		if len(answer) < 64<<10 {
			_, err := conn.Write(answer)
			return err == nil
		}
		began := time.Now()
		for at := 0; at < len(answer); {
			n := min(pieceSize, len(answer)-at)
			time.Sleep(time.Until(began.Add(time.Duration(float64(at) / pace * float64(time.Second)))))
			if _, err := conn.Write(answer[at : at+n]); err != nil {
				cut.Add(1)
				c.Line("%s was cut off with %d of %d bytes still to give: %v", id, len(answer)-at, len(answer), err)
				return false
			}
			at += n
		}
		c.Line("%s has given all of a long value", id)
		return true
	}
}

func run(c *rig.Case) error {
	list := rig.NewDiscovery()
	fleet := rig.NewFleet(c.Record, list)
	fleet.Log = true
	fleet.ValueSize = func(key string) int {
		var n int
		if _, err := fmt.Sscanf(key, "pack-%d", &n); err == nil {
			return sizeFor(ends[n%len(ends)])
		}
		return 300
	}
	var cut atomic.Int64
	for i := range 10 {
		id := fmt.Sprintf("s-%02d", i)
		s, err := fleet.AddCache(id, rig.Instance{Zone: "salt-lake", Kind: "standard", Lifecycle: "in_service", Weight: 1})
		if err != nil {
			return err
		}
		s.HoldAll = true
		s.Work = func(string) time.Duration { return time.Duration(10+rand.Intn(20)) * time.Millisecond }
		s.Write = writer(c, id, &cut)
	}
	if _, err := fleet.AddOrigin("o-1", "origin", "salt-lake"); err != nil {
		return err
	}
	agent, err := list.Serve()
	if err != nil {
		return err
	}
	n, err := rig.StartNode("n1", c.Dir+"/n1", agent.Addr, rig.Settings(rig.Kolkata, rig.KolkataGrades()), 192, 1024,
		list.Complete())
	if err != nil {
		return err
	}
	for round := range rounds {
		if err := n.AwaitReady(10 * time.Second); err != nil {
			return err
		}
		if err := playRound(c, n, round); err != nil {
			return err
		}
		if !c.Trouble {
			continue
		}
		n.Kill()
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

func playRound(c *rig.Case, n *rig.Node, round int) error {
	var accepting atomic.Bool
	accepting.Store(true)
	stop := make(chan struct{})
	var usual sync.WaitGroup
	usual.Add(1)
	go func() { defer usual.Done(); usualClients(c, n.Listen, &accepting, stop) }()
	time.Sleep(500 * time.Millisecond)

	var calls []*rig.Call
	var long sync.WaitGroup
	for i := range ends {
		call := rig.NewCall("round-read", fmt.Sprintf("pack-%d", round*len(ends)+i), false, longDeadline)
		calls = append(calls, call)
		conn, err := rig.Dial(n.Listen)
		if err != nil {
			return err
		}
		long.Add(1)
		go func() {
			defer long.Done()
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(8 * time.Second))
			if _, err := conn.Write(call.Bytes()); err != nil {
				call.Err = err
				return
			}
			call.Sent = time.Now()
			c.Line("client sends read %s id %s, %d bytes", call.Key, call.ID, sizeFor(ends[i]))
			conn.ReadAnswer(call)
			c.Line("client got for %s: %q, whole: %v, %v", call.ID, call.Answer, call.Err == nil, call.Err)
		}()
	}
	time.Sleep(beforeTerm)
	var term, killed time.Time
	if c.Trouble {
		term = time.Now()
		c.Line("SIGTERM")
		n.Signal(syscall.SIGTERM)
		time.AfterFunc(noNewAfter, func() { accepting.Store(false) })
		select {
		case <-n.Ended():
			c.Line("the node has ended %.3f s after SIGTERM", time.Since(term).Seconds())
		case <-time.After(killAfter):
			killed = time.Now()
			c.Line("SIGKILL")
			n.Kill()
		}
	}
	long.Wait()
	close(stop)
	usual.Wait()
	for i, call := range calls {
		whole := call.Outcome() == "served" && len(call.Value) == sizeFor(ends[i]) &&
			strings.HasPrefix(string(call.Value), "value of "+call.Key+" for "+call.ID+" ")
		switch {
		case whole, call.Outcome() == "refused", call.Outcome() == "failed":
		case call.Sent.IsZero(): // not written whole, so not taken
			c.Line("%s was not taken: %v", call.ID, call.Err)
		case !killed.IsZero(): // what SIGKILL finds unanswered, and came before SIGTERM, is not lost
			c.Line("%s was found by SIGKILL", call.ID)
		default:
			c.Breach("round %d: the read of %s, taken %.1f s before SIGTERM and whole %.2f s after it at the cache's pace, "+
				"was cut off: %q, %v", round, call.Key, beforeTerm.Seconds(), ends[i].Seconds(), call.Answer, call.Err)
		}
	}
	return nil
}

// usualClients send short reads on kept connections, and on new ones as long as the front deals them out.
func usualClients(c *rig.Case, addr string, accepting *atomic.Bool, stop chan struct{}) {
	pool := rig.Pool{Addr: addr}
	defer pool.CloseIdle()
	for {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		if !accepting.Load() {
			continue
		}
		call := rig.NewCall("board-read", fmt.Sprintf("board-%d", rand.Intn(100)), false, 300*time.Millisecond)
		pool.Do(call)
		c.Line("usual client got for %s: %q %v", call.ID, call.Answer, call.Err)
	}
}
