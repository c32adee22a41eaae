package realtime

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// ServeHTTP handles a request to the origin. It responds when the model has finished the job.
func (s *server) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	r := s.rig
	if in.URL.Path == "/health/live" || in.URL.Path == "/stats" {
		fmt.Fprintln(out, "ok")
		return
	}
	key, err := url.PathUnescape(strings.TrimPrefix(in.URL.EscapedPath(), "/"))
	bodySize, readErr := io.Copy(io.Discard, io.LimitReader(in.Body, maxCommandSize))
	if err != nil || readErr != nil {
		http.Error(out, "what came can't be read", http.StatusBadRequest)
		return
	}
	done, id := make(chan world.Done, 1), in.Header.Get("X-Call-Id")
	r.mu.Lock()
	items := []byte(in.Header.Get("X-Call-Info"))
	if in.Method == http.MethodGet && bodySize > 0 {
		r.checker.WrongAnswer(r.now(), id, readContentArrived)
	}
	accepted := r.offerAttempt(s, id, key, items, in.Method == http.MethodPut, &attempt{done: done})
	tag := r.lastTag
	r.mu.Unlock()
	if !accepted {
		rejectAtOrigin(out)
		return
	}
	select {
	case d := <-done:
		out.Header().Set("X-Call-Id", id)
		switch d.Reply {
		case world.Failed:
			http.Error(out, "failed", http.StatusInternalServerError)
			return
		case world.Busy:
			rejectAtOrigin(out)
			return
		}
		text := d.Text
		if d.Reply == world.Value {
			text = r.scenario.Value(text)
		}
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(out, text)
	case <-in.Context().Done(): // the node cancelled the request, or the origin was stopped
		r.mu.Lock()
		r.endAttempt(tag, policy.Cancelled)
		r.world.Withdraw(r.now(), s.number, tag)
		r.mu.Unlock()
	}
}

// rejectAtOrigin answers that the origin has not executed a request and will not.
func rejectAtOrigin(out http.ResponseWriter) {
	out.Header().Set("X-Rejected", "1")
	http.Error(out, "busy", http.StatusServiceUnavailable)
}
