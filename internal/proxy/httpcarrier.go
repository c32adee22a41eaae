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

// httpCarrier speaks HTTP/1.1 to caches that keep answers as RFC 9111 has it. The node keeps none: it judges what comes, and
// what may not be served counts as a miss, so that another holder or the origin is asked.
type httpCarrier struct {
	servers *listeners.Servers
	aside   bool // a cache answers from what it keeps, or tells that it keeps nothing
}

func (h httpCarrier) ask(c *call, host string, _ int64) []byte {
	headers := append(bytes.Clone(c.beside().headers), "Via: 1.1 dahliapin\r\n"...)
	if h.aside && !c.write {
		headers = append(headers, "Cache-Control: only-if-cached\r\n"...)
	}
	items, _ := meta.Flag(c.flags, 'P')
	if label, ok := meta.Item(items, "k"); ok && c.web == nil {
		headers = append(append(append(headers, labelHeader+": "...), label...), "\r\n"...)
	}
	if h.servers.Host != "" {
		host = h.servers.Host
	}
	method := "GET"
	if c.write {
		method = "PUT"
		if c.beside().posts {
			method = "POST"
		}
	}
	return http1.AppendRequest(nil, method, http1.AppendTarget(nil, c.key), host, headers, c.value)
}

// reply reads an answer. Only a 504 to a request for what is kept proves that nothing ran: whatever else says no may have come
// from further on, so that it is told as a proof only where a second run does no harm.
// names is as HTTP's clients have it: by their order alone answers are their requests'. The origin's are not relied on so.
func (httpCarrier) names() bool { return true }

func (h httpCarrier) reply(b []byte, c *call, ended bool, read *http1.Progress) (r reply, size, wants int) {
	a, size, err := read.ReadResponse(b, meta.MaxValue, ended)
	if err == nil && size == 0 {
		return r, 0, a.TotalSize
	}
	r = reply{how: policy.Errored, said: a.Body, status: a.Status, last: a.Close}
	ok, only := a.Status == 200 || a.Status == 203, c.beside().judged.Control.OnlyIfCached
	switch {
	case err != nil, a.Status == 206, a.Status == 304 && !c.beside().conditional: // nobody asked for a part, or whether something still holds
		r.how = spoilt
	case a.Status == 504 && h.aside && !c.write && !only:
		r.how = policy.CacheMiss
	case (a.Status == http1.Unavailable || a.Status == http1.TooMany) && c.idempotent:
		r.how = policy.Rejected
	case c.write && (ok || a.Status == 201 || a.Status == 204):
		if r.how = policy.Answered; c.web == nil && !meta.Plain(a.Body) { // a receipt is one word: the status, where none came
			r.said = strconv.AppendInt(nil, int64(a.Status), 10)
		}
	case a.Status >= 500 && !(a.Status == 504 && only), c.web == nil && !ok:
	case c.write || a.Status == 504:
		r.how = policy.Answered
	default:
		if h.usable(&a, c) {
			r.how = policy.Answered
		} else if c.idempotent {
			r.how = policy.CacheMiss
		}
	}
	if r.how == policy.Answered && c.web != nil {
		r.headers = forwarded(nil, a.Each, a.Header("Connection"))
		r.headers = append(r.headers, "Via: 1.1 dahliapin\r\n"...)
	}
	r.kept = a.Status != 504 && (h.aside || a.Header("Age") != nil)
	return r, size, 0
}

// usable tells whether an answer may be served (RFC 9111, 4). Beside an origin all that a cache has is kept. Else an
// answer without Age is the origin's own (5.1), and what forbids keeping does not forbid passing it on; if it says how long it is
// fresh, it must look so by its Date all the same, for a server may leave Age out.
func (h httpCarrier) usable(a *http1.Response, c *call) bool {
	said := freshness.Response{Status: a.Status}
	a.Each(func(name, value []byte) {
		if bytes.EqualFold(name, []byte("Cache-Control")) {
			said.Control.Read(value)
		}
	})
	if age := a.Header("Age"); age != nil {
		said.SetAge(age)
	}
	said.SetDate(string(a.Header("Date")))
	said.SetModified(string(a.Header("Last-Modified")))
	if expires := a.Header("Expires"); expires != nil {
		said.SetExpires(string(expires))
	}
	now := time.Now()
	rules := freshness.Rules{ClockOff: h.servers.ClockOff(), Heuristic: h.servers.Heuristic, MostHeuristic: h.servers.MaxHeuristic()}
	v := freshness.Judge(&c.beside().judged, &said, c.sent, now, now, rules, false)
	if v.Use <= freshness.Stale {
		return true
	}
	life, stated := said.Lifetime(now, rules)
	return !h.aside && a.Header("Age") == nil && (!stated || life == 0 || v.Age < life)
}

func (h httpCarrier) probe(host string) []byte {
	if h.servers.Host != "" {
		host = h.servers.Host
	}
	return http1.AppendRequest(nil, "GET", []byte(h.servers.HealthCheckPath), host, nil, nil)
}

func (httpCarrier) up(b []byte, ended bool) (is bool, size int, err error) {
	return originCarrier{}.up(b, ended)
}

// perHop are the fields that end at the next reader (RFC 9110, 7.6.1), those that each writer states for itself, and those of
// what no node passes on: a range, and who is to wait for leave.
var perHop = func() map[string]bool {
	m := map[string]bool{}
	for _, name := range []string{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "host", "content-length", "expect", "range", "if-range"} {
		m[name] = true
	}
	return m
}()

// forwarded adds the lines of a head that go further, without those that its Connection names, and without any in which another
// reader may see the end of a line: answers could be split by it.
func forwarded(to []byte, each func(func(name, value []byte)), connection []byte) []byte {
	each(func(name, value []byte) {
		if perHop[string(bytes.ToLower(name))] || http1.HasToken(connection, string(name)) || !http1.IsField(name, value) {
			return
		}
		to = append(append(append(append(to, name...), ": "...), value...), "\r\n"...)
	})
	return to
}
