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

// httpUpstream speaks HTTP/1.1 to caches that keep answers as RFC 9111 has it. The node keeps none: it judges what comes, and
// what may not be served counts as a miss, so that another holder or the origin is asked.
type httpUpstream struct {
	servers    *listeners.Servers
	cacheAside bool // a cache answers from what it keeps, or tells that it keeps nothing
}

func (h httpUpstream) encodeRequest(request *clientRequest, host string, _ int64) []byte {
	headers := append(bytes.Clone(request.httpDetails().headers), "Via: 1.1 dahliapin\r\n"...)
	if h.cacheAside && !request.write {
		headers = append(headers, "Cache-Control: only-if-cached\r\n"...)
	}
	items, _ := meta.Flag(request.flags, 'P')
	if label, ok := meta.Item(items, "k"); ok && request.http == nil {
		headers = append(append(append(headers, idempotencyKeyHeader+": "...), label...), "\r\n"...)
	}
	if h.servers.Host != "" {
		host = h.servers.Host
	}
	method := "GET"
	if request.write {
		method = "PUT"
		if request.httpDetails().isPost {
			method = "POST"
		}
	}
	return http1.AppendRequest(nil, method, http1.AppendTarget(nil, request.key), host, headers, request.value)
}

// reply reads an answer. Only a 504 to a request for what is kept proves that nothing ran: whatever else says no may have come
// from further on, so that it is told as a proof only where a second run does no harm.
// names is as HTTP's clients have it: by their order alone answers are their requests'. The origin's are not relied on so.
func (httpUpstream) identifiesRequest() bool { return true }

func (h httpUpstream) readResponse(b []byte, request *clientRequest, ended bool, progress *http1.Progress) (response upstreamResponse, size, wants int) {
	answer, size, err := progress.ReadResponse(b, meta.MaxValue, ended)
	if err == nil && size == 0 {
		return response, 0, answer.TotalSize
	}
	response = upstreamResponse{result: policy.Errored, body: answer.Body, status: answer.Status, closesConn: answer.Close}
	ok, only := answer.Status == 200 || answer.Status == 203, request.httpDetails().freshness.Control.OnlyIfCached
	switch {
	case err != nil, answer.Status == 206, answer.Status == 304 && !request.httpDetails().conditional: // nobody asked for a part, or whether something still holds
		response.result = unreadableResponse
	case answer.Status == 504 && h.cacheAside && !request.write && !only:
		response.result = policy.CacheMiss
	case (answer.Status == http1.Unavailable || answer.Status == http1.TooMany) && request.idempotent:
		response.result = policy.Rejected
	case request.write && (ok || answer.Status == 201 || answer.Status == 204):
		if response.result = policy.Answered; request.http == nil && !meta.Plain(answer.Body) { // a receipt is one word: the status, where none came
			response.body = strconv.AppendInt(nil, int64(answer.Status), 10)
		}
	case answer.Status >= 500 && !(answer.Status == 504 && only), request.http == nil && !ok:
	case request.write || answer.Status == 504:
		response.result = policy.Answered
	default:
		if h.isUsable(&answer, request) {
			response.result = policy.Answered
		} else if request.idempotent {
			response.result = policy.CacheMiss
		}
	}
	if response.result == policy.Answered && request.http != nil {
		response.headers = appendForwarded(nil, answer.Each, answer.Header("Connection"))
		response.headers = append(response.headers, "Via: 1.1 dahliapin\r\n"...)
	}
	response.fromCache = answer.Status != 504 && (h.cacheAside || answer.Header("Age") != nil)
	return response, size, 0
}

// isUsable tells whether an answer may be served (RFC 9111, 4). Beside an origin all that a cache has is kept. Else an
// answer without Age is the origin's own (5.1), and what forbids keeping does not forbid passing it on; if it says how long it is
// fresh, it must look so by its Date all the same, for a server may leave Age out.
func (h httpUpstream) isUsable(answer *http1.Response, request *clientRequest) bool {
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
	now := time.Now()
	rules := freshness.Rules{ClockOff: h.servers.ClockOff(), Heuristic: h.servers.Heuristic, MostHeuristic: h.servers.MaxHeuristic()}
	verdict := freshness.Judge(&request.httpDetails().freshness, &response, request.attemptSentAt, now, now, rules, false)
	if verdict.Use <= freshness.Stale {
		return true
	}
	lifetime, stated := response.Lifetime(now, rules)
	return !h.cacheAside && answer.Header("Age") == nil && (!stated || lifetime == 0 || verdict.Age < lifetime)
}

func (h httpUpstream) healthCheck(host string) []byte {
	if h.servers.Host != "" {
		host = h.servers.Host
	}
	return http1.AppendRequest(nil, "GET", []byte(h.servers.HealthCheckPath), host, nil, nil)
}

func (httpUpstream) readHealthCheck(b []byte, ended bool) (is bool, size int, err error) {
	return originUpstream{}.readHealthCheck(b, ended)
}

// perHop are the fields that end at the next reader (RFC 9110, 7.6.1), those that each writer states for itself, and those of
// what no node passes on: a range, and who is to wait for leave.
var hopByHopHeaders = func() map[string]bool {
	m := map[string]bool{}
	for _, name := range []string{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "host", "content-length", "expect", "range", "if-range"} {
		m[name] = true
	}
	return m
}()

// appendForwarded adds the lines of a head that go further, without those that its Connection names, and without any in which another
// reader may see the end of a line: answers could be split by it.
func appendForwarded(to []byte, each func(func(name, value []byte)), connection []byte) []byte {
	each(func(name, value []byte) {
		if hopByHopHeaders[string(bytes.ToLower(name))] || http1.HasToken(connection, string(name)) || !http1.IsField(name, value) {
			return
		}
		to = append(append(append(append(to, name...), ": "...), value...), "\r\n"...)
	})
	return to
}
