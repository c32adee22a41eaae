package admin

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// MaxConnections is the number of connections at a time: some callers stay for seconds and send nothing.
const MaxConnections = 24

const (
	readTimeout     = 3 * time.Second // for a request to be received
	responseTimeout = 2 * time.Second // for its response to be read
	maxHeadBytes    = 4 << 10         // of a request
	maxBodyBytes    = 1 << 10         // of a request: none needs a body
)

// Server serves the operators' calls.
type Server struct {
	listener net.Listener
	http     http.Server

	mu          sync.Mutex
	connections []net.Conn // that are open, the oldest first
}

// Listen listens on an address. Serve is to follow.
func Listen(addr string) (*Server, error) {
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for operators on %s: %w", addr, err)
	}
	return &Server{listener: listener}, nil
}

// Addr returns the address and port that it listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve starts to answer for a node and, unless fleet is nil, for what it knows of the fleet. It returns at once; the
// goroutine that it starts ends with Close.
func (s *Server) Serve(node Node, fleet Fleet, log *logrus.Logger) {
	s.http = http.Server{
		Handler:        newHandler(node, fleet, log),
		ReadTimeout:    readTimeout,
		WriteTimeout:   readTimeout + responseTimeout,
		MaxHeaderBytes: maxHeadBytes,
		ConnState:      s.connectionChanged,
		ErrorLog:       stdlog.New(io.Discard, "", 0),
	}
	s.http.SetKeepAlivesEnabled(false)
	go func() { _ = s.http.Serve(retryingListener{s.listener}) }()
}

// Close stops listening and ends all calls.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.http.Close()
}

// connectionChanged bounds the number of connections. It guards against callers that send nothing and stay, which
// would use up the node's descriptors: the oldest connection is closed for a new one, so that an honest call, which
// takes no time, is still served.
func (s *Server) connectionChanged(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.connections) >= MaxConnections {
			_ = s.connections[0].Close()
			s.connections = s.connections[1:]
		}
		s.connections = append(s.connections, c)
	case http.StateClosed, http.StateHijacked:
		if i := slices.Index(s.connections, c); i >= 0 {
			s.connections = slices.Delete(s.connections, i, i+1)
		}
	}
}
