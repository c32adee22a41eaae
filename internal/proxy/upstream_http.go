package proxy

import (
	"bytes"
	"strconv"
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/freshness"
	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

// httpUpstream speaks HTTP/1.1 to caches that follow RFC 9111. The node itself caches nothing. It evaluates each
// response, and one that must not be served counts as a cache miss if the request is idempotent, so that another
// replica or the origin is asked, and otherwise as an error.
type httpUpstream struct {
	servers    *listeners.HTTPCaches
	cacheAside bool // caches answer only from what they have stored and never ask the origin themselves
}

func (h httpUpstream) encodeRequest(request *clientRequest, host string, _ int64) []byte {
	headers := append(bytes.Clone(request.httpDetails().headers), "Via: 1.1 dahliapin\r\n"...)
	if h.cacheAside && !request.write {
		headers = append(headers, "Cache-Control: only-if-cached\r\n"...)
	}
	items, _ := meta.Flag(request.flags, 'P')
	if key, ok := meta.Item(items, "k"); ok && request.http == nil {
		headers = append(headers, idempotencyKeyHeader+": "...)
		headers = append(headers, key...)
		headers = append(headers, "\r\n"...)
	}
	method := "GET"
	if request.write {
		method = "PUT"
		if request.httpDetails().isPost {
			method = "POST"
		}
	}
	target := http1.AppendTarget(nil, request.key)
	return http1.AppendRequest(nil, method, target, h.host(host), headers, request.value)
}

// host returns the host name to send to an endpoint: the configured one, or else the endpoint's address.
func (h httpUpstream) host(addr string) string {
	if h.servers.Host != "" {
		return h.servers.Host
	}
	return addr
}

// canAttributeResponses returns true: the order of responses on a connection is trusted, as by all HTTP clients. For
// the origin it is not (originUpstream).
func (httpUpstream) canAttributeResponses() bool { return true }

func (h httpUpstream) readResponse(
	b []byte, request *clientRequest, ended bool, progress *http1.Progress,
) (response upstreamResponse, size, totalSize int) {
	answer, size, err := progress.ReadResponse(b, meta.MaxValue, ended)
	if err == nil && size == 0 {
		return response, 0, answer.TotalSize
	}
	response = upstreamResponse{
		result:     unreadableResponse,
		body:       answer.Body,
		status:     answer.Status,
		closesConn: answer.Close,
		fromCache:  answer.Status != 504 && (h.cacheAside || answer.Header("Age") != nil),
	}
	if err == nil {
		response.result = h.resultOf(&answer, request)
	}
	if response.result != policy.Answered {
		return response, size, 0
	}
	if request.http != nil {
		response.headers = appendForwarded(nil, answer.Each, answer.Header("Connection"))
		response.headers = append(response.headers, "Via: 1.1 dahliapin\r\n"...)
	} else if request.write && !meta.IsWord(answer.Body) { // a receipt must be one word, so the status replaces it
		response.body = strconv.AppendInt(nil, int64(answer.Status), 10)
	}
	return response, size, 0
}

// resultOf returns the result that a response stands for. Only a 504 to a request for cached responses proves that
// nothing was executed. Any other rejection may come from a server behind the cache, and counts as proof only if
// executing the request twice does no harm.
func (h httpUpstream) resultOf(answer *http1.Response, request *clientRequest) policy.Result {
	details := request.httpDetails()
	status := answer.Status
	isOK := status == 200 || status == 203
	isWritten := isOK || status == 201 || status == 204
	isOverloaded := status == http1.ServiceUnavailable || status == http1.TooManyRequests
	onlyIfCached := details.freshness.Control.OnlyIfCached
	switch {
	case status == 206, status == 304 && !details.conditional: // neither a range nor a validation was requested
		return unreadableResponse
	case status == 504 && h.cacheAside && !request.write && !onlyIfCached:
		return policy.CacheMiss
	case isOverloaded && request.idempotent:
		return policy.Rejected
	case request.write && isWritten:
		return policy.Answered
	case status >= 500 && !(status == 504 && onlyIfCached):
		return policy.Errored
	case request.http == nil && !isOK:
		return policy.Errored
	case request.write, status == 504, h.isUsable(answer, request):
		return policy.Answered
	case request.idempotent:
		return policy.CacheMiss
	}
	return policy.Errored
}

// isUsable reports whether a response may be served (RFC 9111, section 4). With cacheAside, every response of a cache
// is a stored one. Otherwise a response without Age is the origin's own (section 5.1), and what forbids caching does
// not forbid forwarding it. If such a response states a lifetime other than 0, it must still be fresh by its Date,
// because a cache may omit Age.
func (h httpUpstream) isUsable(answer *http1.Response, request *clientRequest) bool {
	hasAge := answer.Header("Age") != nil
	response := freshnessOf(answer)
	now := time.Now()
	rules := freshness.Rules{
		MaxClockSkew:         h.servers.ClockOff(),
		HeuristicFraction:    h.servers.Heuristic,
		MaxHeuristicLifetime: h.servers.MaxHeuristic(),
	}
	accepted := &request.httpDetails().freshness
	verdict := freshness.Evaluate(accepted, &response, request.attemptSentAt, now, now, rules, false)
	if verdict.Use <= freshness.Stale {
		return true
	}
	lifetime, stated := response.Lifetime(now, rules)
	return !h.cacheAside && !hasAge && (!stated || lifetime == 0 || verdict.Age < lifetime)
}

// freshnessOf returns what a response states about its age and lifetime.
func freshnessOf(answer *http1.Response) freshness.Response {
	response := freshness.Response{Status: answer.Status}
	answer.Each(func(name, value []byte) {
		if bytes.EqualFold(name, []byte("Cache-Control")) {
			response.Control.Parse(value)
		}
	})
	if age := answer.Header("Age"); age != nil {
		response.SetAge(age)
	}
	response.SetDate(string(answer.Header("Date")))
	response.SetLastModified(string(answer.Header("Last-Modified")))
	if expires := answer.Header("Expires"); expires != nil {
		response.SetExpires(string(expires))
	}
	return response
}

func (h httpUpstream) healthCheck(host string) []byte {
	return http1.AppendRequest(nil, "GET", []byte(h.servers.HealthCheckPath), h.host(host), nil, nil)
}

func (httpUpstream) readHealthCheck(b []byte, ended bool) (healthy bool, size int, err error) {
	return originUpstream{}.readHealthCheck(b, ended)
}
