//go:build review

// Case 1: content of a client's GET goes on to the origin behind the request, where it is read as a request.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dahliapin/review/rig"
)

const (
	length      = 20 * time.Second
	rate        = 120 // requests of meta clients in a second
	contentEach = 500 * time.Millisecond
)

// listenersFile has the form of deploy/listeners.toml, with the grades of the site.
const listenersFile = `[[listener]]
listen = "%s"
protocol = "http"
grade_header = "X-Service-Grade"
deadline_header = "X-Deadline-Ms"
id_header = "X-Request-Id"

[[listener.route]]
path = "/packs/"
methods = ["GET", "HEAD"]
grade = "pack-read"
deadline_ms = 800
`

func main() { rig.Main(run) }

// sent is what clients have sent, by id.
type sent struct {
	mu    sync.Mutex
	byID  map[string]string // verb and key
	calls []*rig.Call
}

func (s *sent) add(id, verb, key string) {
	s.mu.Lock()
	s.byID[id] = verb + " " + key
	s.mu.Unlock()
}

func run(c *rig.Case) error {
	list := rig.NewDiscovery()
	fleet := rig.NewFleet(c.Record, list)
	fleet.Log = true
	for i := range 10 {
		s, err := fleet.AddCache(fmt.Sprintf("s-%02d", i), rig.Instance{Zone: "salt-lake", Kind: "standard",
			Lifecycle: "in_service", Weight: 1})
		if err != nil {
			return err
		}
		s.Work = func(string) time.Duration { return time.Duration(5+rand.Intn(15)) * time.Millisecond }
	}
	origin, err := fleet.AddOrigin("o-1", "origin", "salt-lake")
	if err != nil {
		return err
	}
	origin.Work = func(*rig.Attempt) time.Duration { return time.Duration(20+rand.Intn(40)) * time.Millisecond }
	agent, err := list.Serve()
	if err != nil {
		return err
	}
	web := rig.FreeAddr()
	file := filepath.Join(c.Dir, "listeners.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, listenersFile, web), 0o644); err != nil {
		return err
	}
	rig.ExtraArgs = " --operator " + file
	n, err := rig.StartNode("n1", filepath.Join(c.Dir, "n1"), agent.Addr,
		rig.Settings(rig.Kolkata, rig.KolkataGrades()), 192, 1024, list.Complete())
	if err != nil {
		return err
	}
	if err := n.AwaitReady(10 * time.Second); err != nil {
		return err
	}

	out := &sent{byID: map[string]string{}}
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	wg.Add(2)
	go func() { defer wg.Done(); webClient(c, out, web, end) }()
	go func() { defer wg.Done(); contentClient(c, out, web, end) }()
	metaClients(c, out, n.Listen, end)
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	judge(c, out, fleet)
	if n.HasEnded() {
		c.Breach("the node has ended: %v", n.Err)
	}
	return nil
}

// metaClients send what the clients of the site send: reads, and writes that carry a mark.
func metaClients(c *rig.Case, out *sent, addr string, end time.Time) {
	pool := rig.Pool{Addr: addr}
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		grade, wait, write := "pack-read", 700*time.Millisecond, false
		if rand.Float64() < 0.08 {
			grade, wait, write = "answer-submit", 500*time.Millisecond, true
		}
		call := rig.NewCall(grade, fmt.Sprintf("pub%d-round%d", rand.Intn(40), rand.Intn(50)), write, wait)
		verb := "read"
		if write {
			verb = "write"
		}
		out.add(call.ID, verb, call.Key)
		out.mu.Lock()
		out.calls = append(out.calls, call)
		out.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.Line("client sends %s %s id %s", verb, call.Key, call.ID)
			pool.Do(call)
			c.Line("client got for %s: %q, %d bytes, %v", call.ID, call.Answer, len(call.Value), call.Err)
		}()
	}
	wg.Wait()
}

// webClient reads packs over HTTP, as older scoreboard screens do.
func webClient(c *rig.Case, out *sent, addr string, end time.Time) {
	client := &http.Client{Timeout: 3 * time.Second}
	for time.Now().Before(end) {
		time.Sleep(200 * time.Millisecond)
		id, key := rig.NewID(), fmt.Sprintf("pub%d-round%d", rand.Intn(40), rand.Intn(50))
		out.add(id, "read", key)
		request, _ := http.NewRequest("GET", "http://"+addr+"/packs/"+key, nil)
		request.Header.Set("X-Request-Id", id)
		c.Line("web client sends GET %s id %s", key, id)
		answer, err := client.Do(request)
		if err != nil { // a kept connection that has ended, or none: no breach is seen in it
			c.Line("web client: %s: %v", id, err)
			continue
		}
		body, _ := io.ReadAll(answer.Body)
		answer.Body.Close()
		c.Line("web client got for %s: %s", id, answer.Status)
		if answer.StatusCode == 200 && !isValueFor(body, key, id) {
			c.Breach("the web client's %s %s is served with %.60q", id, key, body)
		}
	}
}

// contentClient reads packs over HTTP as well. It sends content with its requests, whose text is that of a request. With
// the disruption left out it sends the same requests without content.
func contentClient(c *rig.Case, out *sent, addr string, end time.Time) {
	for count := 0; time.Now().Before(end); count++ {
		time.Sleep(contentEach)
		id, key := rig.NewID(), fmt.Sprintf("pub%d-round%d", rand.Intn(40), rand.Intn(50))
		out.add(id, "read", key)
		content := fmt.Sprintf("GET /in-content-%d HTTP/1.1\r\nHost: o\r\nX-Call-Id: c%d\r\n\r\n", count, count)
		if count%2 == 1 {
			content = fmt.Sprintf("PUT /in-content-%d HTTP/1.1\r\nHost: o\r\nX-Call-Id: c%d\r\n"+
				"X-Call-Info: c=answer-submit,d=500,k=k%d\r\nContent-Length: 5\r\n\r\nhello", count, count, count)
		}
		head := fmt.Sprintf("GET /packs/%s HTTP/1.1\r\nHost: n\r\nX-Request-Id: %s\r\n", key, id)
		if c.Trouble {
			head += fmt.Sprintf("Content-Length: %d\r\n", len(content))
		} else {
			content = ""
		}
		conn, err := rig.Dial(addr)
		if err != nil {
			c.Line("content client: %v", err)
			continue
		}
		c.Line("content client sends GET %s id %s with content %q", key, id, content)
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		io.WriteString(conn, head+"\r\n"+content)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		c.Line("content client got for %s: %q", id, strings.TrimSpace(line))
		conn.Close()
	}
}

func isValueFor(value []byte, key, id string) bool {
	return strings.HasPrefix(string(value), "value of "+key+" for "+id+" ")
}

// judge looks for requests at servers that no client sent, and for clients that were served with another's value.
func judge(c *rig.Case, out *sent, fleet *rig.Fleet) {
	for _, a := range fleet.Since(time.Time{}) {
		verb := "read"
		if a.Verb == "ms" || a.Verb == "PUT" || a.Verb == "POST" {
			verb = "write"
		}
		if out.byID[a.ID] != verb+" "+a.Key {
			c.Breach("%s got %s %s id %s, which no client sent", a.Server, a.Verb, a.Key, a.ID)
		}
	}
	counts := map[string]int{}
	for _, call := range out.calls {
		o := call.Outcome()
		if o == "served" && !call.Write && !isValueFor(call.Value, call.Key, call.ID) {
			o = "served with another's value"
			c.Breach("a client's %s %s is served with %.60q", call.ID, call.Key, call.Value)
		}
		counts[call.Grade+" "+o]++
	}
	c.Say("requests of meta clients: %v", counts)
}
