package realtime

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"dahliapin/internal/emulator/client"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/wire/http1"
)

// Emulated HTTP/1.1 caches follow RFC 9111: they serve a stored value with its age, and answer an only-if-cached
// request that misses with 504. A cache with the fault "stale" serves responses whose age exceeds their max-age.
const (
	maxAgeSeconds = 60 // of stored responses
	staleBody     = "what may not be served any more"
)

// The variants of reads by HTTP. The others are plain.
const (
	variantRevalidation = iota // revalidates a value that the client has
	variantContent             // has content
	httpVariants        = 8
)

const readContentArrived = "content of a client's read reached a server"

// handleHTTPRequest handles the first request in the received bytes and returns its size, or 0 if it is incomplete or
// invalid.
func (c *serverConn) handleHTTPRequest(unparsed []byte) (size int) {
	r, server := c.server.rig, c.server
	q, size, fault := http1.ReadRequest(unparsed, maxCommandSize)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	w := r.world.Servers[server.number]
	id := string(q.Header(client.IDHeader))
	switch {
	case fault != nil:
		r.checker.WrongAnswer(now, "", "a server received an invalid request: "+fault.Error())
		c.disconnect(true)
		return 0
	case size == 0:
		return 0
	case w.Liveness == world.Silent || server.fault == "silent":
		if w.Liveness == world.Up && id != "" {
			r.attemptArrived(now, id, w.ID)
		}
		return size
	case id == "": // a health check
		if r.log.Second(now).Probes++; !w.Frozen(now) {
			c.queueAnswer(httpAnswer(http.StatusOK, "", "ok"))
		}
		return size
	}
	target, err := url.PathUnescape(strings.TrimPrefix(string(q.Target), "/"))
	onlyIfCached := strings.Contains(string(q.Header("Cache-Control")), "only-if-cached")
	if err != nil || r.scenario.Allowed.Mode == "aside" && !onlyIfCached {
		r.checker.WrongAnswer(now, id,
			"a cache-aside cache received a request without only-if-cached, or with an invalid key: "+string(q.Target))
	}
	items := fmt.Sprintf("c=%s,d=%s,k=%s",
		q.Header(client.ClassHeader), q.Header(client.TimeoutHeader), q.Header(client.IdempotencyKeyHeader))
	isWrite := string(q.Method) != http.MethodGet
	if !isWrite && len(q.Body) > 0 {
		r.checker.WrongAnswer(now, id, readContentArrived)
	}
	received := &attempt{conn: c, etag: string(q.Header("If-None-Match"))}
	if !r.offerAttempt(server, id, target, []byte(items), isWrite, received) {
		c.queueAnswer(httpAnswer(http.StatusServiceUnavailable, "", "busy"))
	}
	return size
}

func httpAnswer(status int, headers, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headers, len(body), body)
}

// httpCacheAnswer encodes the HTTP response of a cache. tag is the If-None-Match header of the request.
func httpCacheAnswer(d world.Done, stale bool, tag string) []byte {
	cacheHeaders := fmt.Sprintf("Cache-Control: max-age=%d\r\nAge: ", maxAgeSeconds)
	switch {
	case d.Reply == world.Value && stale:
		return httpAnswer(http.StatusOK, cacheHeaders+fmt.Sprint(maxAgeSeconds+1, "\r\n"), staleBody)
	case d.Reply == world.Value && tag == client.ETag(d.Text):
		return fmt.Appendf(nil, "HTTP/1.1 304 Not Modified\r\n%s1\r\nETag: %s\r\n\r\n", cacheHeaders, tag)
	case d.Reply == world.Value:
		return httpAnswer(http.StatusOK, cacheHeaders+"1\r\n", d.Text)
	case d.Reply == world.Receipt:
		return httpAnswer(http.StatusOK, "", d.Text)
	case d.Reply == world.Miss:
		return httpAnswer(http.StatusGatewayTimeout, "", "")
	case d.Reply == world.Busy:
		return httpAnswer(http.StatusServiceUnavailable, "", "busy")
	}
	return httpAnswer(http.StatusInternalServerError, "", "failed")
}
