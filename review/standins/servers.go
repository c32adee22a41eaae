//go:build review

package standins

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Call is a command as a cache server or the origin has got it.
type Call struct {
	At    time.Time // of its last byte
	Verb  string    // mg, ms, GET or PUT
	Key   string
	ID    string
	Items map[string]string
	Value []byte
}

func parseItems(text string) map[string]string {
	items := map[string]string{}
	for _, one := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(one, "=")
		items[name] = value
	}
	return items
}

// Fabric connects the origin to the cache servers: what the origin has answered is stored where the request missed, and
// a write drops the copies.
type Fabric struct {
	mu     sync.Mutex
	missed map[string][]*Cache
	caches []*Cache
}

// NewFabric returns a fabric without servers.
func NewFabric() *Fabric { return &Fabric{missed: map[string][]*Cache{}} }

func (f *Fabric) miss(id string, c *Cache) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missed[id] = append(f.missed[id], c)
}

func (f *Fabric) answered(id, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.missed[id] {
		c.Store(key)
	}
	delete(f.missed, id)
}

func (f *Fabric) void(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.caches {
		c.mu.Lock()
		delete(c.stored, key)
		c.mu.Unlock()
	}
}

// Cache is a cache server in aside mode. Each core serves one command at a time.
type Cache struct {
	ID, Addr string
	Size     int                  // bytes that values are padded to
	Work     func() time.Duration // time of a command
	OnCall   func(Call)           // may be nil
	OnAnswer func(Call, string)   // may be nil; with the first word of the answer
	MaxQueue int                  // commands that wait; more are turned away

	fabric   *Fabric
	listener net.Listener
	mu       sync.Mutex
	stored   map[string]bool
	waiting  int
	cores    chan struct{}
}

// NewCache starts a cache server.
func (f *Fabric) NewCache(id string, cores int, work func() time.Duration) *Cache {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	c := &Cache{
		ID: id, Addr: listener.Addr().String(), Work: work, fabric: f, listener: listener, MaxQueue: 1 << 30,
		stored: map[string]bool{}, cores: make(chan struct{}, cores),
	}
	f.mu.Lock()
	f.caches = append(f.caches, c)
	f.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

// Instance returns the cache's entry in the list.
func (c *Cache) Instance(startedMs int64) Instance {
	return Instance{ID: c.ID, Addr: c.Addr, Zone: "salt-lake", Kind: "standard", State: "in_service", Weight: 1,
		StartedMs: startedMs}
}

// Store stores a key.
func (c *Cache) Store(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored[key] = true
}

func (c *Cache) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 128<<10)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			return
		}
		if words[0] == "mn" {
			_, _ = conn.Write([]byte("MN\r\n"))
			continue
		}
		call := Call{Verb: words[0]}
		if len(words) < 2 || words[0] != "mg" && words[0] != "ms" {
			_, _ = conn.Write([]byte("ERROR\r\n"))
			return
		}
		call.Key = words[1]
		rest := words[2:]
		if words[0] == "ms" {
			n, _ := strconv.Atoi(words[2])
			call.Value = make([]byte, n+2)
			if _, err := io.ReadFull(in, call.Value); err != nil {
				return
			}
			call.Value = call.Value[:n]
			rest = words[3:]
		}
		for _, word := range rest {
			switch word[0] {
			case 'O':
				call.ID = word[1:]
			case 'P':
				call.Items = parseItems(word[1:])
			}
		}
		call.At = time.Now()
		if c.OnCall != nil {
			c.OnCall(call)
		}
		text := c.run(call)
		if c.OnAnswer != nil {
			c.OnAnswer(call, string(text[:2]))
		}
		if _, err := conn.Write(text); err != nil {
			return
		}
	}
}

func (c *Cache) run(call Call) []byte {
	c.mu.Lock()
	if c.waiting >= c.MaxQueue {
		c.mu.Unlock()
		return []byte("SERVER_ERROR busy\r\n")
	}
	c.waiting++
	c.mu.Unlock()
	c.cores <- struct{}{}
	time.Sleep(c.Work())
	<-c.cores
	c.mu.Lock()
	c.waiting--
	has := c.stored[call.Key]
	c.mu.Unlock()
	if call.Verb == "ms" {
		return []byte(fmt.Sprintf("HD O%s cr-%s\r\n", call.ID, call.ID))
	}
	if !has {
		c.fabric.miss(call.ID, c)
		return []byte("EN O" + call.ID + "\r\n")
	}
	value := ValueOf(call.Key, call.ID)
	if len(value) < c.Size {
		value += strings.Repeat("x", c.Size-len(value))
	}
	return []byte(fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(value), call.ID, value))
}

// ValueOf is the value that is made for a request. It may be followed by padding.
func ValueOf(key, id string) string { return "value:" + key + ":" + id + ":" }

// Origin is the origin: HTTP/1.1, a number of calls at a time.
type Origin struct {
	Addr string
	// Work returns how long a call takes.
	Work func() time.Duration
	// OnCall may be nil. It is called as a call arrives.
	OnCall func(Call)
	// Answer, if not nil, writes the answer to a call; returning false ends the connection.
	Answer func(conn net.Conn, call Call) bool

	fabric *Fabric
	cores  chan struct{}
}

// NewOrigin starts an origin.
func (f *Fabric) NewOrigin(cores int, work func() time.Duration) *Origin {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	o := &Origin{Addr: listener.Addr().String(), Work: work, fabric: f, cores: make(chan struct{}, cores)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go o.serve(conn)
		}
	}()
	return o
}

// Instance returns the origin's entry in the list.
func (o *Origin) Instance() Instance {
	return Instance{ID: "s-origin", Addr: o.Addr, Zone: "salt-lake", Kind: "origin", State: "in_service", Weight: 1}
}

func (o *Origin) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 128<<10)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		call := Call{Verb: words[0], Key: strings.TrimPrefix(words[1], "/")}
		length := 0
		for {
			header, err := in.ReadString('\n')
			if err != nil {
				return
			}
			name, value, _ := strings.Cut(strings.TrimSpace(header), ":")
			if name == "" {
				break
			}
			value = strings.TrimSpace(value)
			switch strings.ToLower(name) {
			case "content-length":
				length, _ = strconv.Atoi(value)
			case "x-call-id":
				call.ID = value
			case "x-call-info":
				call.Items = parseItems(value)
			}
		}
		call.Value = make([]byte, length)
		if _, err := io.ReadFull(in, call.Value); err != nil {
			return
		}
		call.At = time.Now()
		if words[1] == "/health/live" || words[1] == "/stats" {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			continue
		}
		if o.OnCall != nil {
			o.OnCall(call)
		}
		o.cores <- struct{}{}
		time.Sleep(o.Work())
		<-o.cores
		if o.Answer != nil {
			if !o.Answer(conn, call) {
				return
			}
			continue
		}
		if _, err := conn.Write(o.Done(call)); err != nil {
			return
		}
	}
}

// Done carries a call out and returns its answer.
func (o *Origin) Done(call Call) []byte {
	body := ValueOf(call.Key, call.ID)
	if call.Verb == "PUT" {
		o.fabric.void(call.Key)
		body = "r-" + call.ID
	} else {
		o.fabric.answered(call.ID, call.Key)
	}
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}
