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

// MaxConnections is the maximum number of open connections. It leaves room for callers that stay connected for seconds
// without sending anything.
const MaxConnections = 24

const (
	readTimeout     = 3 * time.Second // time for the client to send its request
	responseTimeout = 2 * time.Second // time for the client to read the response
	maxHeaderBytes  = 4 << 10         // maximum size of a request's header
	maxBodyBytes    = 1 << 10         // maximum size of a request's body; no request needs one
)

// Server answers the requests of operators.
type Server struct {
	listener net.Listener
	http     http.Server

	mu          sync.Mutex
	connections []net.Conn // open connections, oldest first
}

// Listen returns a Server that listens on addr. Serve must be called to answer requests.
func Listen(addr string) (*Server, error) {
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for admin requests on %s: %w", addr, err)
	}
	return &Server{listener: listener}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve starts to answer requests about node and, unless fleet is nil, about the fleet. It returns immediately. The
// goroutine that it starts runs until Close.
func (s *Server) Serve(node Node, fleet Fleet, log *logrus.Logger) {
	s.http = http.Server{
		Handler:        newHandler(node, fleet, log),
		ReadTimeout:    readTimeout,
		WriteTimeout:   readTimeout + responseTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      s.trackConnection,
		ErrorLog:       stdlog.New(io.Discard, "", 0),
	}
	s.http.SetKeepAlivesEnabled(false)
	go func() { _ = s.http.Serve(retryingListener{s.listener}) }()
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.http.Close()
}

// trackConnection limits the number of connections by closing the oldest one when a new one exceeds MaxConnections.
// Otherwise clients that connect and send nothing could use up the node's descriptors. Regular requests are still
// served, since they end before their connection becomes the oldest.
func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
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
