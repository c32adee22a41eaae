package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/proxy/metrics"
)

const (
	// commandTimeout is for the event loop to carry a command out: responses are due within a second.
	commandTimeout = 700 * time.Millisecond

	// staleAfter is the age of a snapshot after which the event loop is taken for stuck: it makes ten a second.
	staleAfter = 2 * time.Second
)

// stuck answers that the event loop does nothing.
const stuck = "stuck: the loop takes nothing"

// ErrShuttingDown says that a node which is shutting down neither goes to standby nor becomes active again.
var ErrShuttingDown = errors.New("the node is ending")

// Node is the node that operators call. Its methods may be called from any goroutine.
type Node interface {
	// Metrics returns the latest snapshot.
	Metrics() *metrics.Snapshot
	// Standby stops serving clients, Active serves them again. Both return once that is done, or ErrEnding.
	Standby(context.Context) error
	Active(context.Context) error
}

// Fleet is what a node knows of the other nodes. Its methods may be called from any goroutine.
type Fleet interface {
	// FleetStatus returns the status as it is shown in JSON, and whether the node takes part in the fleet.
	FleetStatus() (status any, connected bool)
	// FleetMembers returns the members as they are shown in JSON.
	FleetMembers() any
}

// newHandler returns the handler of all calls. An unknown path is answered with 404, another method with 405.
func newHandler(node Node, fleet Fleet, log *logrus.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, node.Metrics()) })
	mux.HandleFunc("GET /status/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(node.Metrics().Text())
	})
	mux.HandleFunc("PUT /standby", commandHandler("standby", node.Standby, log))
	mux.HandleFunc("PUT /active", commandHandler("active", node.Active, log))
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

// limitBody refuses requests with a long body before they are handled.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxBodyBytes {
			http.Error(w, "a body is too long", http.StatusRequestEntityTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeStatus answers 200 while the node serves requests.
func writeStatus(w http.ResponseWriter, s *metrics.Snapshot) {
	switch {
	case time.Since(s.At) > staleAfter:
		http.Error(w, stuck, http.StatusServiceUnavailable)
	case !s.Serving:
		http.Error(w, s.Phase, http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, s.Phase)
	}
}

// commandHandler answers once the node has carried a command out, and writes it to the log.
func commandHandler(name string, run func(context.Context) error, log *logrus.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The caller's context is left aside: a command goes on if the caller hangs up.
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		err := run(ctx)
		log.WithFields(logrus.Fields{"call": name, "from": r.RemoteAddr}).WithError(err).Info("operators' call")
		switch {
		case errors.Is(err, ErrShuttingDown):
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil:
			http.Error(w, stuck, http.StatusServiceUnavailable)
		default:
			fmt.Fprintln(w, name)
		}
	}
}

// writeJSON answers with a value as JSON, and with 503 unless ok.
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
