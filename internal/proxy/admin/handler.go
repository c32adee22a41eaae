package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/proxy/metrics"
)

const (
	// commandTimeout bounds the wait for the event loop to execute a command: operators expect a response within one
	// second.
	commandTimeout = 700 * time.Millisecond

	// staleAfter is the age of the latest snapshot above which the event loop is considered stuck. The loop publishes
	// ten snapshots per second.
	staleAfter = 2 * time.Second
)

// loopStuckText is the response text while the event loop does not respond.
const loopStuckText = "stuck: the loop takes nothing"

// ErrShuttingDown is returned by Node.Standby and Node.Activate once the node is shutting down.
var ErrShuttingDown = errors.New("the node is ending")

// Node is the node that the server reports on and controls. Its methods may be called from any goroutine.
type Node interface {
	// Metrics returns the latest snapshot.
	Metrics() *metrics.Snapshot
	// Standby begins to take the node out of service, and Activate returns it to service. Both return once the command
	// has been executed; after Standby, clients may be served for some time longer. Both return ErrShuttingDown if the
	// node is shutting down.
	Standby(context.Context) error
	Activate(context.Context) error
}

// Fleet is a node's view of the fleet. Its methods may be called from any goroutine.
type Fleet interface {
	// FleetStatus returns the status to encode as JSON, and whether the node is connected to the fleet.
	FleetStatus() (status any, connected bool)
	// FleetMembers returns the members to encode as JSON.
	FleetMembers() any
}

// newHandler returns the handler of all requests. It answers an unknown path with 404, and a wrong method with 405.
func newHandler(node Node, fleet Fleet, log *logrus.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, node.Metrics()) })
	mux.HandleFunc("GET /status/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(node.Metrics().Text())
	})
	mux.HandleFunc("PUT /standby", commandHandler("standby", node.Standby, log))
	mux.HandleFunc("PUT /active", commandHandler("active", node.Activate, log))
	if fleet != nil {
		mux.HandleFunc("GET /fleet/status", func(w http.ResponseWriter, _ *http.Request) {
			status, connected := fleet.FleetStatus()
			writeJSON(w, status, connected)
		})
		mux.HandleFunc("GET /fleet/members", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, fleet.FleetMembers(), true)
		})
	}
	return limitBody(mux)
}

// limitBody rejects requests whose body is malformed or too long before next handles them. The body is read for this,
// because the header of a chunked request does not state its length.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var err error
		isTooLong := r.ContentLength > maxBodyBytes
		if !isTooLong {
			_, err = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
			var limitExceeded *http.MaxBytesError
			isTooLong = errors.As(err, &limitExceeded)
		}
		switch {
		case isTooLong:
			http.Error(w, "a body is too long", http.StatusRequestEntityTooLarge)
		case err != nil:
			http.Error(w, "a body is malformed or incomplete", http.StatusBadRequest)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// writeStatus answers with status 200 while the node serves requests, and 503 otherwise.
func writeStatus(w http.ResponseWriter, s *metrics.Snapshot) {
	switch {
	case time.Since(s.At) > staleAfter:
		http.Error(w, loopStuckText, http.StatusServiceUnavailable)
	case !s.Serving:
		http.Error(w, s.Phase, http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, s.Phase)
	}
}

// commandHandler returns a handler that runs a command of the node, logs it, and answers with its result.
func commandHandler(name string, run func(context.Context) error, log *logrus.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The request's context is not used, so that a command continues if the caller disconnects.
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		err := run(ctx)
		log.WithFields(logrus.Fields{"call": name, "from": r.RemoteAddr}).WithError(err).
			Info("admin command finished; answering the caller")
		switch {
		case errors.Is(err, ErrShuttingDown):
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil:
			http.Error(w, loopStuckText, http.StatusServiceUnavailable)
		default:
			fmt.Fprintln(w, name)
		}
	}
}

// writeJSON answers with value encoded as JSON, with status 200 if ok and 503 otherwise.
func writeJSON(w http.ResponseWriter, value any, ok bool) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(append(text, '\n'))
}
