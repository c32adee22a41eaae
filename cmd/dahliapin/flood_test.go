package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"dahliapin/internal/scale"
)

// floodTime is how long a client sends requests at full speed.
const floodTime = 3 * time.Second

// maxAnswerTimeBesideFlood is the time within which other clients must be answered meanwhile: their latency objective.
const maxAnswerTimeBesideFlood = 2 * time.Second

// floodForms are the requests that one client sends at full speed, each with a number of its own.
var floodForms = []struct {
	name    string
	http    bool
	request func(n int) string
}{
	{"readiness checks", false, func(int) string { return "mn\r\n" }},
	{"unknown commands", false, func(n int) string { return fmt.Sprintf("mg k%d v Ox%d\r\n", n, n) }},
	{"new classes and tenants", false, func(n int) string {
		return fmt.Sprintf("mg k v Of%d Pc=class%d,d=900,t=tenant%d\r\n", n, n, n)
	}},
	{"new keys", false, func(n int) string { return fmt.Sprintf("mg new%d v Of%d Pc=read,d=900\r\n", n, n) }},
	{"new keys without time", false, func(n int) string { return fmt.Sprintf("mg new%d v Of%d Pc=read,d=1\r\n", n, n) }},
	{"writes under new ids", false, func(n int) string {
		return fmt.Sprintf("ms new%d 2 Of%d Pc=put,d=900\r\nhi\r\n", n, n)
	}},
	{"paths without a route", true, func(n int) string {
		return fmt.Sprintf("GET /none/%d HTTP/1.1\r\nHost: n\r\n\r\n", n)
	}},
	{"new keys", true, func(n int) string { return fmt.Sprintf("GET /r/new%d HTTP/1.1\r\nHost: n\r\n\r\n", n) }},
	{"writes under new ids", true, func(n int) string {
		return fmt.Sprintf("PUT /w/new%d HTTP/1.1\r\nHost: n\r\nContent-Length: 2\r\n\r\nhi", n)
	}},
}

// A client that sends small or unsound requests at full speed, also under ever new names, must neither keep others from
// their answers nor make the memory grow beyond the limit.
func TestFloodOfOneClientHarmsNoOther(t *testing.T) {
	for _, form := range floodForms {
		name := form.name + ", meta"
		if form.http {
			name = form.name + ", HTTP"
		}
		t.Run(name, func(t *testing.T) {
			n := startMemoryNode(t, peakMemoryLimit)
			until := time.Now().Add(floodTime)
			addr := n.meta
			if form.http {
				addr = n.http
			}
			sent := make(chan int, 1)
			go func() { sent <- flood(addr, form.request, until) }()
			slowest := n.askUntil(until)
			requests := <-sent
			peak, err := scale.PeakResident(n.process.Process.Pid)
			if err != nil {
				t.Fatalf("%v\n%s", err, n.log.String())
			}
			t.Logf("%d requests, peak %.1f MB, slowest answer %v", requests, float64(peak)/(1<<20), slowest)
			if peak > peakMemoryLimit<<20 || slowest > maxAnswerTimeBesideFlood || requests < 100 {
				t.Errorf("%d requests, peak %.1f MB, slowest answer %v", requests, float64(peak)/(1<<20), slowest)
			}
		})
	}
}

// flood sends requests as fast as the node reads them, and reads the answers. It connects again if the node closes the
// connection. It returns how many requests it has sent.
func flood(addr string, request func(n int) string, until time.Time) (sent int) {
	for time.Now().Before(until) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return sent
		}
		c.SetDeadline(until)
		go io.Copy(io.Discard, c)
		w := bufio.NewWriter(c)
		for err == nil {
			_, err = w.WriteString(request(sent))
			sent++
		}
		c.Close()
	}
	return sent
}
