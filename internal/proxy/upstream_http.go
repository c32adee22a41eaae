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

// httpUpstream speaks HTTP/1.1 to caches that follow RFC 9111. The node caches nothing itself: it judges each response,
// and one that may not be served counts as a miss, so that another replica or the origin is asked.
type httpUpstream struct {
	servers    *listeners.Servers
	cacheAside bool // a cache answers from what it has, or says that it has nothing; it never asks the origin itself
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

// host is the name that endpoints are addressed by: the configured one, or else an endpoint's address.
func (h httpUpstream) host(addr string) string {
	if h.servers.Host != "" {
		return h.servers.Host
	}
	return addr
}

// identifiesRequest is true as for all clients of HTTP: a response is its request's by the order alone. Only the
// origin's are not relied on like that.
func (httpUpstream) identifiesRequest() bool { return true }

func (h httpUpstream) readResponse(
	b []byte, request *clientRequest, ended bool, progress *http1.Progress,
) (response upstreamResponse, size, wants int) {
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
	} else if request.write && !meta.Plain(answer.Body) { // a receipt is one word: the status, where none came
		response.body = strconv.AppendInt(nil, int64(answer.Status), 10)
	}
	return response, size, 0
}

// resultOf tells what a response means. Only a 504 to a request for what is cached proves that nothing was carried out.
// Any other refusal may have come from a server behind the cache, and counts as a proof only where carrying the request
// out twice does no harm.
func (h httpUpstream) resultOf(answer *http1.Response, request *clientRequest) policy.Result {
	details := request.httpDetails()
	status := answer.Status
	isOK := status == 200 || status == 203
	isWritten := isOK || status == 201 || status == 204
	isOverloaded := status == http1.Unavailable || status == http1.TooMany
	onlyIfCached := details.freshness.Control.OnlyIfCached
	switch {
	case status == 206, status == 304 && !details.conditional: // no part was asked for, nor whether a copy is valid
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

// isUsable reports whether a response may be served (RFC 9111, section 4). With cacheAside, all that a cache has is
// cached. Else a response without Age is the origin's own (section 5.1), and what forbids caching does not forbid to
// pass it on; if it says how long it is fresh, it must be so by its Date all the same, for a cache may leave Age out.
func (h httpUpstream) isUsable(answer *http1.Response, request *clientRequest) bool {
	hasAge := answer.Header("Age") != nil
	response := freshnessOf(answer)
	now := time.Now()
	rules := freshness.Rules{
		ClockOff:      h.servers.ClockOff(),
		Heuristic:     h.servers.Heuristic,
		MostHeuristic: h.servers.MaxHeuristic(),
	}
	accepted := &request.httpDetails().freshness
	verdict := freshness.Judge(accepted, &response, request.attemptSentAt, now, now, rules, false)
	if verdict.Use <= freshness.Stale {
		return true
	}
	lifetime, stated := response.Lifetime(now, rules)
	return !h.cacheAside && !hasAge && (!stated || lifetime == 0 || verdict.Age < lifetime)
}

// freshnessOf reads what a response says of its age and lifetime.
func freshnessOf(answer *http1.Response) freshness.Response {
	response := freshness.Response{Status: answer.Status}
	answer.Each(func(name, value []byte) {
		if bytes.EqualFold(name, []byte("Cache-Control")) {
			response.Control.Read(value)
		}
	})
	if age := answer.Header("Age"); age != nil {
		response.SetAge(age)
	}
	response.SetDate(string(answer.Header("Date")))
	response.SetModified(string(answer.Header("Last-Modified")))
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
