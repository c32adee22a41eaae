// Package ops answers operators' calls: HTTP/1.1, one call to a connection, on goroutines of their own. No call waits for the
// node's loop for longer than an answer may take, and figures come from the copy that the loop last handed out.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/proxy/metrics"
)

const (
	MaxConnections = 24                     // connections at a time: some callers stay for seconds and say nothing
	headBy         = 3 * time.Second        // for a call to come whole
	answerBy       = 2 * time.Second        // for its answer to be read
	loopBy         = 700 * time.Millisecond // for the loop to carry a call out: answers are due within 1 s
	staleAfter     = 2 * time.Second        // figures are handed out ten times a second: past that the loop takes nothing
	longestHead    = 4 << 10                // bytes of a call's head
	longestBody    = 1 << 10                // bytes of a body: none is needed
)

// ErrEnding says that a node which ends does neither stand by nor come back.
var ErrEnding = errors.New("the node is ending")

// Node is what is asked and told.
type Node interface {
	Metrics() *metrics.Snapshot
	Standby(context.Context) error
	Active(context.Context) error
}

// Fleet is what is asked of a node that knows others.
type Fleet interface {
	FleetStatus() (status any, whole bool) // whether it takes part, not cut off
	FleetMembers() any
}

// Server takes the calls.
type Server struct {
	l    net.Listener
	http http.Server
	mu   sync.Mutex
	here []net.Conn // in the order in which they came
}

// Open listens; Serve is to follow.
func Open(addr string) (*Server, error) {
	plain := net.ListenConfig{KeepAlive: -1}
	plain.SetMultipathTCP(false)
	l, err := plain.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for operators on %s: %w", addr, err)
	}
	return &Server{l: l}, nil
}

// Addr is where it listens.
func (d *Server) Addr() string { return d.l.Addr().String() }

// Serve starts to answer for a node, and for what it knows of others; nil for nothing.
func (d *Server) Serve(n Node, f Fleet, log *logrus.Logger) {
	d.http = http.Server{Handler: handler(n, f, log), ReadTimeout: headBy, WriteTimeout: headBy + answerBy, MaxHeaderBytes: longestHead,
		ConnState: d.state, ErrorLog: stdlog.New(io.Discard, "", 0)}
	d.http.SetKeepAlivesEnabled(false)
	go func() { _ = d.http.Serve(d.l) }()
}

// Close ends all calls.
func (d *Server) Close() {
	_ = d.l.Close()
	_ = d.http.Close()
}

// state bounds the callers. Guards against those who say nothing and stay: the one that came first goes, so that an honest
// call, which takes no time, still finds room.
func (d *Server) state(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew:
		if len(d.here) >= MaxConnections {
			_ = d.here[0].Close()
			d.here = d.here[1:]
		}
		d.here = append(d.here, c)
	case http.StateClosed, http.StateHijacked:
		for i, o := range d.here {
			if o == c {
				d.here = append(d.here[:i:i], d.here[i+1:]...)
				break
			}
		}
	}
}

func handler(n Node, f Fleet, log *logrus.Logger) http.Handler {
	calls := http.NewServeMux() // a path that it does not know gets 404, a method 405
	calls.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		s := n.Metrics()
		switch {
		case time.Since(s.At) > staleAfter:
			http.Error(w, "stuck: the loop takes nothing", http.StatusServiceUnavailable)
		case !s.Serving:
			http.Error(w, s.Phase, http.StatusServiceUnavailable)
		default:
			fmt.Fprintln(w, s.Phase)
		}
	})
	calls.HandleFunc("GET /status/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(n.Metrics().Text())
	})
	told := func(what string, do func(context.Context) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			ctx, done := context.WithTimeout(context.Background(), loopBy)
			defer done()
			err := do(ctx)
			log.WithFields(logrus.Fields{"call": what, "from": r.RemoteAddr}).WithError(err).Info("operators' call")
			switch {
			case errors.Is(err, ErrEnding):
				http.Error(w, err.Error(), http.StatusConflict)
			case err != nil:
				http.Error(w, "stuck: the loop takes nothing", http.StatusServiceUnavailable)
			default:
				fmt.Fprintln(w, what)
			}
		}
	}
	calls.HandleFunc("PUT /standby", told("standby", n.Standby))
	calls.HandleFunc("PUT /active", told("active", n.Active))
	if f != nil {
		calls.HandleFunc("GET /fleet/status", func(w http.ResponseWriter, _ *http.Request) {
			status, whole := f.FleetStatus()
			say(w, status, whole)
		})
		calls.HandleFunc("GET /fleet/members", func(w http.ResponseWriter, _ *http.Request) { say(w, f.FleetMembers(), true) })
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > longestBody {
			http.Error(w, "a body is too long", http.StatusRequestEntityTooLarge)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// say answers with JSON.
func say(w http.ResponseWriter, what any, yes bool) {
	text, err := json.Marshal(what)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !yes {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(append(text, '\n'))
}
