//go:build review

package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is a request that has arrived whole at a server.
type Attempt struct {
	Server  string
	At      time.Time
	FirstAt time.Time // when its first byte came
	ID      string
	Key     string
	Verb    string // mg, ms, GET or PUT
	Items   string
	Label   string // the idempotency key
	Ran     bool   // it has been carried out
}

// Fleet is the cache servers and the origin, and all that they were sent.
type Fleet struct {
	Record *Record
	List   *Discovery
	Log    bool // write a line for each attempt

	mu       sync.Mutex
	caches   []*Cache
	Attempts []*Attempt
	byID     map[string][]*Attempt
	missed   map[string][]*Cache  // by request id
	applied  map[string]time.Time // by label: when a keyed write was last carried out
	Applied  map[string]int       // by label or id: how often a write took effect
	Window   time.Duration

	// ValueSize returns the size of a key's value.
	ValueSize func(key string) int
}

// NewFleet returns a fleet without servers.
func NewFleet(record *Record, list *Discovery) *Fleet {
	return &Fleet{Record: record, List: list, byID: map[string][]*Attempt{}, missed: map[string][]*Cache{},
		applied: map[string]time.Time{}, Applied: map[string]int{}, Window: 800 * time.Millisecond}
}

func (f *Fleet) arrived(a *Attempt) {
	f.mu.Lock()
	f.Attempts = append(f.Attempts, a)
	f.byID[a.ID] = append(f.byID[a.ID], a)
	f.mu.Unlock()
	if f.Log {
		f.Record.Line("attempt at %s: %s %s id %s %s", a.Server, a.Verb, a.Key, a.ID, a.Items)
	}
}

// Of returns the attempts of a request.
func (f *Fleet) Of(id string) []*Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Attempt(nil), f.byID[id]...)
}

// Since returns the attempts that arrived after a time.
func (f *Fleet) Since(t time.Time) []*Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var late []*Attempt
	for _, a := range f.Attempts {
		if a.At.After(t) {
			late = append(late, a)
		}
	}
	return late
}

// carryOut carries out a write, unless it is a repeat that is dropped.
func (f *Fleet) carryOut(a *Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.Ran = true
	if a.Label == "" {
		f.Applied[a.ID]++
		return
	}
	if at, ok := f.applied[a.Label]; ok && time.Since(at) < f.Window {
		return
	}
	f.applied[a.Label] = time.Now()
	f.Applied[a.Label]++
}

// dropCopies drops what cache servers keep of a key.
func (f *Fleet) dropCopies(key string) {
	f.mu.Lock()
	caches := f.caches
	f.mu.Unlock()
	for _, c := range caches {
		c.mu.Lock()
		delete(c.stored, key)
		c.mu.Unlock()
	}
}

// Value is the value of a key as it is made for a request.
func (f *Fleet) Value(key, id string) []byte {
	size := 100
	if f.ValueSize != nil {
		size = f.ValueSize(key)
	}
	text := "value of " + key + " for " + id + " "
	if len(text) >= size {
		return []byte(text)
	}
	return []byte(text + strings.Repeat("x", size-len(text)))
}

func item(items, name string) string {
	for _, i := range strings.Split(items, ",") {
		if n, v, ok := strings.Cut(i, "="); ok && n == name {
			return v
		}
	}
	return ""
}

// Cache is a cache server.
type Cache struct {
	ID    string
	Addr  string
	fleet *Fleet

	mu       sync.Mutex
	stored   map[string]bool
	listener net.Listener
	HoldAll  bool                                 // it has every key
	Work     func(key string) time.Duration       // how long a command takes
	Write    func(c net.Conn, answer []byte) bool // how an answer is written; nil: at once
}

// AddCache starts a cache server and lists it.
func (f *Fleet) AddCache(id string, i Instance) (*Cache, error) {
	c := &Cache{ID: id, fleet: f, stored: map[string]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.listener = l
	c.Addr = l.Addr().String()
	i.ID, i.HostPort = id, c.Addr
	f.List.Put(i)
	f.mu.Lock()
	f.caches = append(f.caches, c)
	f.mu.Unlock()
	go c.accept(l)
	return c, nil
}

// Store puts a key into the cache.
func (c *Cache) Store(key string) {
	c.mu.Lock()
	c.stored[key] = true
	c.mu.Unlock()
}

func (c *Cache) has(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.HoldAll || c.stored[key]
}

func (c *Cache) accept(l net.Listener) {
	for {
		k, err := l.Accept()
		if err != nil {
			return
		}
		go c.serve(k)
	}
}

func (c *Cache) serve(k net.Conn) {
	defer k.Close()
	in := bufio.NewReaderSize(k, 1<<16)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			return
		}
		if words[0] == "mn" {
			io.WriteString(k, "MN\r\n")
			continue
		}
		if words[0] != "mg" && words[0] != "ms" || len(words) < 3 {
			io.WriteString(k, "CLIENT_ERROR bad\r\n")
			return
		}
		a := &Attempt{Server: c.ID, FirstAt: first, Key: words[1], Verb: words[0]}
		for _, w := range words[2:] {
			switch w[0] {
			case 'O':
				a.ID = w[1:]
			case 'P':
				a.Items = w[1:]
			}
		}
		a.Label = item(a.Items, "k")
		if words[0] == "ms" {
			n, _ := strconv.Atoi(words[2])
			if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
				return
			}
		}
		a.At = time.Now()
		c.fleet.arrived(a)
		if c.Work != nil {
			time.Sleep(c.Work(a.Key))
		}
		var answer []byte
		switch {
		case a.Verb == "ms" || !c.has(a.Key):
			c.fleet.mu.Lock()
			c.fleet.missed[a.ID] = append(c.fleet.missed[a.ID], c)
			c.fleet.mu.Unlock()
			answer = []byte("EN O" + a.ID + "\r\n")
		default:
			v := c.fleet.Value(a.Key, a.ID)
			answer = append([]byte(fmt.Sprintf("VA %d O%s\r\n", len(v), a.ID)), v...)
			answer = append(answer, "\r\n"...)
		}
		if c.Write != nil {
			if !c.Write(k, answer) {
				return
			}
			continue
		}
		if _, err := k.Write(answer); err != nil {
			return
		}
	}
}

// Origin is the origin. It speaks HTTP/1.1.
type Origin struct {
	ID    string
	Addr  string
	fleet *Fleet
	// Work returns how long a request takes; nil: 20 ms.
	Work func(a *Attempt) time.Duration
}

// AddOrigin starts the origin and lists it.
func (f *Fleet) AddOrigin(id, kind, zone string) (*Origin, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &Origin{ID: id, Addr: l.Addr().String(), fleet: f}
	go http.Serve(l, o)
	f.List.Put(Instance{ID: id, HostPort: o.Addr, Zone: zone, Kind: kind, Lifecycle: "in_service", Weight: 1})
	return o, nil
}

func (o *Origin) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if strings.HasPrefix(in.URL.Path, "/health") || in.URL.Path == "/stats" {
		out.WriteHeader(200)
		return
	}
	a := &Attempt{Server: o.ID, FirstAt: time.Now(), Key: strings.TrimPrefix(in.URL.Path, "/"), Verb: in.Method,
		ID: in.Header.Get("X-Call-Id"), Items: in.Header.Get("X-Call-Info")}
	a.Label = item(a.Items, "k")
	io.Copy(io.Discard, in.Body)
	a.At = time.Now()
	o.fleet.arrived(a)
	work := 20 * time.Millisecond
	if o.Work != nil {
		work = o.Work(a)
	}
	time.Sleep(work)
	var body []byte
	if in.Method == "PUT" || in.Method == "POST" {
		o.fleet.carryOut(a)
		o.fleet.dropCopies(a.Key)
		body = []byte(fmt.Sprintf("r%08x", rand.Uint32()))
	} else {
		body = o.fleet.Value(a.Key, a.ID)
		o.fleet.mu.Lock()
		missed := o.fleet.missed[a.ID]
		o.fleet.mu.Unlock()
		for i, c := range missed {
			if i < 2 {
				c.Store(a.Key)
			}
		}
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	out.Write(body)
}
