package proxy

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/freshness"
	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
)

// badRequest returns the rejection of a request that can't be understood.
func badRequest(reason string) *httpRejection { return &httpRejection{status: 400, reason: reason} }

// route determines what an HTTP request is for, and converts it to a request of the node. It returns a rejection if the
// request can't be served, otherwise nil.
func (h *httpDownstream) route(request *http1.Request, parsed *parsedRequest) *httpRejection {
	target, ok := freshness.CacheKey(nil, request.Target)
	if !ok {
		return badRequest("invalid request target")
	}
	path := target[strings.IndexByte(target, '/'):]
	method := string(request.Method)
	if method == http.MethodGet && path == h.listener.ReadyPath {
		parsed.intent = intentReadiness
		return nil
	}
	if method == http.MethodGet && path == h.listener.CountersPath {
		parsed.intent = intentCounters
		return nil
	}
	route, pathKnown := h.listener.Route(method, path)
	if route == nil && pathKnown {
		allow := "Allow: " + strings.Join(h.listener.AllowedMethods(path), ", ")
		return &httpRejection{status: 405, reason: "method not allowed", headers: []string{allow}}
	}
	if route == nil {
		return &httpRejection{status: 404, reason: "not found"}
	}
	parsed.write = listeners.IsWrite(method)
	if rejection := h.fillRequest(request, route, path[len(route.Path):], &parsed.clientRequest); rejection != nil {
		return rejection
	}
	parsed.intent = intentRequest
	return nil
}

// fillRequest fills in a request of the node from its route and headers.
func (h *httpDownstream) fillRequest(
	request *http1.Request, route *listeners.Route, key string, filled *clientRequest,
) *httpRejection {
	if h.listener.SortQuery {
		key = sortQuery(key)
	}
	if !meta.IsKey([]byte(key)) {
		return badRequest("invalid key")
	}
	filled.key = []byte(key)
	if filled.write { // content of a read has no meaning (RFC 9110, 9.3.1), and endpoints get none of it
		filled.value = request.Body
	}
	if rejection := h.fillClass(request, route, filled); rejection != nil {
		return rejection
	}
	conditional := isConditional(request)
	if filled.write && (conditional || request.Header("Content-Range") != nil) {
		// Without this check, the write would be executed regardless of its condition.
		return &httpRejection{status: 501, reason: "conditional and partial writes are not supported"}
	}
	if h.forwardsHeaders {
		filled.http = &httpRequestDetails{
			headers:     appendForwarded(nil, request.Each, request.Header("Connection")),
			conditional: conditional,
			isPost:      string(request.Method) == http.MethodPost,
		}
		filled.http.readCacheControl(request)
	}
	if rejection := h.fillTimeout(request, route, filled); rejection != nil {
		return rejection
	}
	return h.fillIDs(request, filled)
}

// sortQuery sorts the parameters of a key's query by name, so that their order does not make a different key.
// Parameters of the same name keep their order, which may matter.
func sortQuery(key string) string {
	at := strings.IndexByte(key, '?')
	if at < 0 {
		return key
	}
	parameters := strings.Split(key[at+1:], "&")
	slices.SortStableFunc(parameters, func(a, b string) int {
		nameOfA, _, _ := strings.Cut(a, "=")
		nameOfB, _, _ := strings.Cut(b, "=")
		return strings.Compare(nameOfA, nameOfB)
	})
	return key[:at+1] + strings.Join(parameters, "&")
}

// isConditional reports whether a request asks to validate the client's own copy.
func isConditional(request *http1.Request) bool {
	for _, name := range []string{"If-None-Match", "If-Modified-Since", "If-Match", "If-Unmodified-Since"} {
		if request.Header(name) != nil {
			return true
		}
	}
	return false
}

// headerOr returns the value of a header, or the fallback if the listener names no such header or the request lacks it.
func headerOr(request *http1.Request, name, fallback string) string {
	if name == "" {
		return fallback
	}
	if value := request.Header(name); value != nil {
		return string(value)
	}
	return fallback
}

// fillClass fills in the service class and tenant. Both must be known: they are passed on in the flags of meta
// commands, where arbitrary text could be parsed as further flags.
func (h *httpDownstream) fillClass(
	request *http1.Request, route *listeners.Route, filled *clientRequest,
) *httpRejection {
	class := headerOr(request, h.listener.ClassHeader, route.Class)
	tenant := headerOr(request, h.listener.TenantHeader, route.Tenant)
	if h.names.Class([]byte(class)) < 0 || tenant != "" && h.names.Tenant([]byte(tenant)) < 0 {
		return badRequest("unknown service class or tenant")
	}
	filled.class = []byte(class)
	filled.tenant = []byte(tenant)
	return nil
}

// fillTimeout fills in the timeout, taken from the request's header, or else from its route, or else from its service
// class.
func (h *httpDownstream) fillTimeout(
	request *http1.Request, route *listeners.Route, filled *clientRequest,
) *httpRejection {
	filled.timeout = h.deadlines[string(filled.class)]
	if route.DeadlineMs > 0 {
		filled.timeout = time.Duration(route.DeadlineMs * float64(time.Millisecond))
	}
	stated := headerOr(request, h.listener.DeadlineHeader, "")
	if stated == "" {
		return nil
	}
	ms, isNumber := meta.ParseDecimal([]byte(stated))
	if !isNumber || ms <= 0 {
		return badRequest("invalid deadline")
	}
	filled.timeout = timeoutOfMs(ms)
	return nil
}

// fillIDs fills in the request's id, a generated one if the client sent none, and the flags that are passed on,
// including its idempotency key.
func (h *httpDownstream) fillIDs(request *http1.Request, filled *clientRequest) *httpRejection {
	key := strings.Trim(string(request.Header(idempotencyKeyHeader)), `"`)
	id := headerOr(request, h.listener.IDHeader, "")
	if !isValidID(key) || !isValidID(id) {
		return badRequest("invalid request id or idempotency key")
	}
	if key == "" && filled.write && h.needsKey[string(filled.class)] {
		// Without a key, endpoints could not tell a retry from a new write.
		return badRequest("missing header " + idempotencyKeyHeader)
	}
	filled.id = []byte(id)
	if id == "" {
		h.idsIssued++
		filled.id = strconv.AppendUint([]byte(h.idPrefix), h.idsIssued, 10)
	}
	filled.flags = flagsOf(filled, key)
	return nil
}

// isValidID reports whether an id or idempotency key is empty or can be passed on in the flags of meta commands.
func isValidID(id string) bool {
	return id == "" || len(id) <= maxIDBytes && meta.IsWord([]byte(id)) && !strings.Contains(id, ",")
}

// flagsOf encodes the flags that are passed on with a request, in meta command syntax. The upstream codec replaces the
// deadline of 0 by the time left.
func flagsOf(request *clientRequest, idempotencyKey string) []byte {
	size := len("v O Pc=,d=0,t=,k=") + len(request.id) + len(request.class) + len(request.tenant) + len(idempotencyKey)
	flags := make([]byte, 0, size)
	if !request.write {
		flags = append(flags, "v "...)
	}
	flags = append(flags, 'O')
	flags = append(flags, request.id...)
	flags = append(flags, " Pc="...)
	flags = append(flags, request.class...)
	flags = append(flags, ",d=0"...)
	if len(request.tenant) > 0 {
		flags = append(flags, ",t="...)
		flags = append(flags, request.tenant...)
	}
	if idempotencyKey != "" && request.write {
		flags = append(flags, ",k="...)
		flags = append(flags, idempotencyKey...)
	}
	return flags
}

// readCacheControl determines which responses a request accepts. Pragma counts only without Cache-Control (RFC 9111,
// section 5.4).
func (d *httpRequestDetails) readCacheControl(request *http1.Request) {
	d.freshness.HasAuthorization = request.Header("Authorization") != nil
	hasCacheControl := false
	request.Each(func(name, value []byte) {
		if bytes.EqualFold(name, []byte("Cache-Control")) {
			d.freshness.Control.Parse(value)
			hasCacheControl = true
		}
	})
	if !hasCacheControl && freshness.PragmaHasNoCache(request.Header("Pragma")) {
		d.freshness.Control.NoCache = true
	}
}
