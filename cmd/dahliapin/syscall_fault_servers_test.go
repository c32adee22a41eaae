//go:build linux && (amd64 || arm64)

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	discoveryPeriod = 30 * time.Millisecond // between two answers of discovery without an update
	answersPerConn  = 3                     // that a server sends on a connection, on average
)

// faultServers counts the answers of the servers that a traced process talks to.
type faultServers struct {
	polls   atomic.Int64 // answers of discovery
	answers atomic.Int64 // of all servers
}

// shouldClose reports whether the server closes the connection after this answer, so that the traced process has to
// reconnect.
func (s *faultServers) shouldClose() bool { return s.answers.Add(1)%answersPerConn == 0 }

func (s *faultServers) closeSome(w http.ResponseWriter) {
	if s.shouldClose() {
		w.Header().Set("Connection", "close")
	}
}

// discoveryHandler serves the list, and answers each further poll without an update after discoveryPeriod.
func (s *faultServers) discoveryHandler(cache, origin string) http.Handler {
	const row = `{"instanceId":%q,"hostPort":%q,"machineType":%q,"lifecycle":"in_service","zone":"z","weight":1}`
	list := fmt.Sprintf(`{"generation":7,"reset":true,"instances":[`+row+","+row+","+row+`]}`,
		"c", cache, "box", "d", cache, "box", "o", origin, "origin")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.polls.Add(1)
		s.closeSome(w)
		if r.URL.Query().Get("since") == "" {
			_, _ = io.WriteString(w, list)
			return
		}
		time.Sleep(discoveryPeriod)
		_, _ = io.WriteString(w, `{"generation":7,"reset":false,"instances":[]}`)
	})
}

// relay forwards streams to an address until they are cut.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startRelay starts a relay to an address, which ends with the test.
func startRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = listener.Close()
		r.cut()
	})
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(from)
		}
	}()
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// forward forwards a stream in both directions until one end closes it.
func (r *relay) forward(from net.Conn) {
	defer from.Close()
	to, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	r.mu.Lock()
	r.conns[from] = true
	r.mu.Unlock()
	go func() {
		_, _ = io.Copy(from, to)
		_ = from.Close()
	}()
	_, _ = io.Copy(to, from)
	r.mu.Lock()
	delete(r.conns, from)
	r.mu.Unlock()
}

// cut closes all streams.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for from := range r.conns {
		_ = from.Close()
	}
}
