package proxy

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/settings"
	"dahliapin/internal/freshness"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const (
	maxBodyBytes         = 64 << 10 // bytes of a value that a client writes, as with meta commands
	maxIDBytes           = 128      // bytes of an id or an Idempotency-Key: a UUID fits several times
	idempotencyKeyHeader = "Idempotency-Key"
)

// httpDownstream speaks HTTP/1.1. What a URL has behind its route's path is the key; a read is answered with its value, a write with
// its receipt.
type httpDownstream struct {
	listener        *listeners.Listener
	names           *settings.NameTable
	needsKey        map[string]bool          // grades whose repeats are told by their id
	deadlines       map[string]time.Duration // the grades' deadlines
	forwardsHeaders bool                     // some caches speak HTTP, and are told what a client says beside
	idPrefix        string                   // begins the ids of those who state none: of this listener, in this start of this node
	idsIssued       uint64
	date            string
	dateUnix        int64
}

func newHTTPDownstream(f *listeners.Listener, number int, r *Proxy) *httpDownstream {
	h := &httpDownstream{listener: f, names: &r.Settings.Names, needsKey: map[string]bool{}, deadlines: map[string]time.Duration{},
		forwardsHeaders: len(r.Listeners.Servers.HTTPKinds) > 0, idPrefix: fmt.Sprintf("h%x-%x-%d-", r.startedAt.UnixNano(), uint64(r.Seed), number)}
	for name, g := range r.Settings.Names.Classes() {
		h.needsKey[name] = r.Settings.Policy.Classes[g].Idempotency == policy.IdempotentByKey
		h.deadlines[name] = r.Settings.Deadlines[g]
	}
	return h
}

func (h *httpDownstream) readRequest(b []byte, parsed *parsedRequest, progress *http1.Progress) (size int) {
	*parsed = parsedRequest{}
	request, size, fault := progress.ReadRequest(b, maxBodyBytes)
	if size == 0 && fault == nil && !request.Continue {
		return 0
	}
	parsed.headOnly = string(request.Method) == http.MethodHead
	parsed.closesConn = fault != nil || request.Close || size == 0 // whether a body comes that is not asked for can't be known
	if fault != nil {
		h.reject(parsed, fault.Status, fault.Reason)
		return 0
	}
	parsed.stopReading = parsed.closesConn
	if h.route(&request, parsed); size == 0 && parsed.intent != intentUnserved {
		*parsed = parsedRequest{intent: intentContinue, response: []byte("HTTP/1.1 100 Continue\r\n\r\n")}
	}
	return size
}

// reject answers what can't be served.
func (h *httpDownstream) reject(parsed *parsedRequest, status int, reason string, headers ...string) {
	parsed.intent, parsed.stopReading = intentUnserved, parsed.closesConn
	parsed.response = h.textResponse(&parsed.clientRequest, status, reason, headers...)
}

// route finds out what a request is.
func (h *httpDownstream) route(q *http1.Request, a *parsedRequest) {
	whole, ok := freshness.Key(nil, q.Target)
	if !ok {
		h.reject(a, 400, "a target that can't be read")
		return
	}
	path := whole[strings.IndexByte(whole, '/'):]
	method := string(q.Method)
	if method == http.MethodGet && path == h.listener.ReadyPath {
		a.intent = intentReadiness
		return
	}
	if method == http.MethodGet && path == h.listener.CountersPath {
		a.intent = intentCounters
		return
	}
	route, known := h.listener.Route(method, path)
	switch {
	case route != nil:
	case known:
		h.reject(a, 405, "this can't be done here", "Allow: "+strings.Join(h.listener.Allowed(path), ", "))
		return
	default:
		h.reject(a, 404, "nothing is here")
		return
	}
	key := path[len(route.Path):]
	if at := strings.IndexByte(key, '?'); at >= 0 && h.listener.SortQuery {
		parts := strings.Split(key[at+1:], "&")
		slices.SortStableFunc(parts, func(a, b string) int { // of one name the order may matter
			a, _, _ = strings.Cut(a, "=")
			b, _, _ = strings.Cut(b, "=")
			return strings.Compare(a, b)
		})
		key = key[:at+1] + strings.Join(parts, "&")
	}
	if !meta.IsKey([]byte(key)) {
		h.reject(a, 400, "a key that is none")
		return
	}
	stated := func(header, usual string) string {
		if header != "" {
			if v := q.Header(header); v != nil {
				return string(v)
			}
		}
		return usual
	}
	grade, league := stated(h.listener.ClassHeader, route.Class), stated(h.listener.TenantHeader, route.Tenant)
	if h.names.Class([]byte(grade)) < 0 || league != "" && h.names.Tenant([]byte(league)) < 0 { // what goes along is for caches to read
		h.reject(a, 400, "a grade or tenant that is none here")
		return
	}
	a.key, a.value, a.class, a.tenant, a.write = []byte(key), q.Body, []byte(grade), []byte(league), listeners.IsWrite(method)
	conditional := false
	for _, name := range []string{"If-None-Match", "If-Modified-Since", "If-Match", "If-Unmodified-Since"} {
		conditional = conditional || q.Header(name) != nil
	}
	if a.write && (conditional || q.Header("Content-Range") != nil) { // the write would be made whatever its condition says
		h.reject(a, 501, "a write with a condition or of a part")
		return
	}
	if h.forwardsHeaders {
		a.http = &httpRequestDetails{headers: appendForwarded(nil, q.Each, q.Header("Connection")), conditional: conditional, isPost: method == http.MethodPost}
		a.http.readCacheControl(q)
	}
	a.timeout = h.deadlines[grade]
	if route.DeadlineMs > 0 {
		a.timeout = time.Duration(route.DeadlineMs * float64(time.Millisecond))
	}
	if said := stated(h.listener.DeadlineHeader, ""); said != "" {
		ms, isNumber := meta.Decimal([]byte(said))
		if !isNumber || ms <= 0 {
			h.reject(a, 400, "a deadline that is none")
			return
		}
		a.timeout = max(1, time.Duration(min(ms*float64(time.Millisecond), float64(maxClientTimeout))))
	}
	label, id := strings.Trim(string(q.Header(idempotencyKeyHeader)), `"`), stated(h.listener.IDHeader, "")
	for _, word := range []string{label, id} {
		if word != "" && (len(word) > maxIDBytes || !meta.Plain([]byte(word)) || strings.Contains(word, ",")) {
			h.reject(a, 400, "an id that can't be one")
			return
		}
	}
	if label == "" && a.write && h.needsKey[grade] { // a leg sent again could not be told from another write
		h.reject(a, 400, "this needs an "+idempotencyKeyHeader)
		return
	}
	if a.id = []byte(id); id == "" {
		h.idsIssued++
		a.id = strconv.AppendUint([]byte(h.idPrefix), h.idsIssued, 10)
	}
	a.flags = append(append([]byte("v O"), a.id...), " Pc="...)
	if a.write {
		a.flags = a.flags[len("v "):]
	}
	a.flags = append(append(a.flags, grade...), ",d=0"...) // the carrier says how long
	if league != "" {
		a.flags = append(append(a.flags, ",t="...), league...)
	}
	if label != "" && a.write {
		a.flags = append(append(a.flags, ",k="...), label...)
	}
	a.intent = intentRequest
}

// readCacheControl notes what a request says of the answers that it takes.
func (details *httpRequestDetails) readCacheControl(request *http1.Request) {
	details.freshness.Authorized = request.Header("Authorization") != nil
	controlled := false
	request.Each(func(name, value []byte) {
		if bytes.EqualFold(name, []byte("Cache-Control")) {
			details.freshness.Control.Read(value)
			controlled = true
		}
	})
	if !controlled && freshness.Pragma(request.Header("Pragma")) {
		details.freshness.Control.NoCache = true // RFC 9111, 5.4
	}
}

// beginResponse writes the beginning of an answer, up to its length.
func (h *httpDownstream) beginResponse(status int, long int, last bool, headers ...string) []byte {
	if now := time.Now(); now.Unix() != h.dateUnix {
		h.dateUnix, h.date = now.Unix(), now.UTC().Format(http.TimeFormat)
	}
	return http1.AppendResponseHead(nil, status, h.date, long, last, headers...)
}

// head writes the head that serves what a server said, with what it said of it if that was in HTTP.
func (h *httpDownstream) valueHead(request *clientRequest, response *upstreamResponse, long int) []byte {
	told := "Cache-Status: dahliapin; fwd=miss"
	if response.fromCache {
		told = "Cache-Status: dahliapin; hit"
	}
	if response.status == 0 {
		return h.beginResponse(200, long, request.closesConn, told)
	}
	if response.status == 304 || response.status == 204 {
		long = http1.NoBody
	}
	return http1.AppendResponseHead(nil, response.status, "", long, request.closesConn, string(response.headers)+told)
}

func (h *httpDownstream) value(request *clientRequest, response *upstreamResponse) (head, value []byte) {
	head = h.valueHead(request, response, len(response.body))
	switch {
	case request.headOnly:
		return head, nil
	case len(response.body) <= buffer.Keep:
		return append(head, response.body...), nil
	}
	return head, response.body
}

func (h *httpDownstream) valueTrailer() string { return "" }

func (h *httpDownstream) writeReceipt(request *clientRequest, response *upstreamResponse) []byte {
	return append(h.valueHead(request, response, len(response.body)), response.body...)
}

// textResponse writes an answer with a line of text, but the text only where a body is to come.
func (h *httpDownstream) textResponse(request *clientRequest, status int, text string, headers ...string) []byte {
	out := h.beginResponse(status, len(text)+1, request.closesConn, append(headers, "Content-Type: text/plain; charset=utf-8")...)
	if request.headOnly {
		return out
	}
	return append(append(out, text...), '\n')
}

func (h *httpDownstream) rejected(request *clientRequest, retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return h.textResponse(request, 503, "busy")
	}
	return h.textResponse(request, 503, "busy", "Retry-After: "+strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
}

func (h *httpDownstream) failed(request *clientRequest, timedOut bool) []byte {
	if timedOut {
		return h.textResponse(request, 504, "no answer in time")
	}
	return h.textResponse(request, 502, "failed")
}

func (h *httpDownstream) refusal(reason refusalReason, headOnly bool) []byte {
	switch reason {
	case refusedTooLate:
		return h.textResponse(&clientRequest{closesConn: true}, 408, "not whole in time")
	case refusedDuplicateID:
		return h.textResponse(&clientRequest{headOnly: headOnly}, 409, "the same is in hand")
	case refusedMalformed:
		return h.textResponse(&clientRequest{headOnly: headOnly}, 400, "nothing that can be taken in hand")
	}
	return h.textResponse(&clientRequest{closesConn: true}, 503, "too much at once")
}

func (h *httpDownstream) readiness(request *clientRequest, p Phase) []byte {
	if p == Serving {
		return h.textResponse(request, 200, p.String())
	}
	return h.textResponse(request, 503, p.String())
}

func (h *httpDownstream) counters(request *clientRequest, n *metrics.Counters) []byte {
	var out strings.Builder
	n.Each(func(name string, n uint64) { fmt.Fprintf(&out, "%s %d\n", name, n) })
	return h.textResponse(request, 200, strings.TrimSuffix(out.String(), "\n"))
}

func (h *httpDownstream) announceClose(out []byte) ([]byte, bool) {
	return bytes.Replace(out, []byte("\r\n\r\n"), []byte("\r\nConnection: close\r\n\r\n"), 1), true
}
