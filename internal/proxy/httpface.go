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
	mostBody    = 64 << 10 // bytes of a value that a client writes, as with meta commands
	mostWord    = 128      // bytes of an id or an Idempotency-Key: a UUID fits several times
	labelHeader = "Idempotency-Key"
)

// httpFace speaks HTTP/1.1. What a URL has behind its route's path is the key; a read is answered with its value, a write with
// its receipt.
type httpFace struct {
	front    *listeners.Listener
	names    *settings.NameTable
	labelled map[string]bool          // grades whose repeats are told by their id
	stops    map[string]time.Duration // the grades' deadlines
	passes   bool                     // some caches speak HTTP, and are told what a client says beside
	own      string                   // begins the ids of those who state none: of this listener, in this start of this node
	n        uint64
	date     string
	dated    int64
}

func newHTTPFace(f *listeners.Listener, number int, r *Proxy) *httpFace {
	h := &httpFace{front: f, names: &r.Settings.Names, labelled: map[string]bool{}, stops: map[string]time.Duration{},
		passes: len(r.Listeners.Servers.HTTPKinds) > 0, own: fmt.Sprintf("h%x-%x-%d-", r.began.UnixNano(), uint64(r.Seed), number)}
	for name, g := range r.Settings.Names.Classes() {
		h.labelled[name] = r.Settings.Policy.Classes[g].Idempotency == policy.IdempotentByKey
		h.stops[name] = r.Settings.Deadlines[g]
	}
	return h
}

func (h *httpFace) read(b []byte, a *asked, p *http1.Progress) (size int) {
	*a = asked{}
	q, size, fault := p.ReadRequest(b, mostBody)
	if size == 0 && fault == nil && !q.Continue {
		return 0
	}
	a.bare = string(q.Method) == http.MethodHead
	a.last = fault != nil || q.Close || size == 0 // whether a body comes that is not asked for can't be known
	if fault != nil {
		h.refuse(a, fault.Status, fault.Reason)
		return 0
	}
	a.closes = a.last
	if h.route(&q, a); size == 0 && a.wish != unserved {
		*a = asked{wish: invited, answer: []byte("HTTP/1.1 100 Continue\r\n\r\n")}
	}
	return size
}

// refuse answers what can't be served.
func (h *httpFace) refuse(a *asked, status int, reason string, headers ...string) {
	a.wish, a.closes = unserved, a.last
	a.answer = h.bodied(&a.call, status, reason, headers...)
}

// route finds out what a request is.
func (h *httpFace) route(q *http1.Request, a *asked) {
	whole, ok := freshness.Key(nil, q.Target)
	if !ok {
		h.refuse(a, 400, "a target that can't be read")
		return
	}
	path := whole[strings.IndexByte(whole, '/'):]
	method := string(q.Method)
	if method == http.MethodGet && path == h.front.ReadyPath {
		a.wish = readiness
		return
	}
	if method == http.MethodGet && path == h.front.CountersPath {
		a.wish = counts
		return
	}
	route, known := h.front.Route(method, path)
	switch {
	case route != nil:
	case known:
		h.refuse(a, 405, "this can't be done here", "Allow: "+strings.Join(h.front.Allowed(path), ", "))
		return
	default:
		h.refuse(a, 404, "nothing is here")
		return
	}
	key := path[len(route.Path):]
	if at := strings.IndexByte(key, '?'); at >= 0 && h.front.SortQuery {
		parts := strings.Split(key[at+1:], "&")
		slices.SortStableFunc(parts, func(a, b string) int { // of one name the order may matter
			a, _, _ = strings.Cut(a, "=")
			b, _, _ = strings.Cut(b, "=")
			return strings.Compare(a, b)
		})
		key = key[:at+1] + strings.Join(parts, "&")
	}
	if !meta.IsKey([]byte(key)) {
		h.refuse(a, 400, "a key that is none")
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
	grade, league := stated(h.front.ClassHeader, route.Class), stated(h.front.TenantHeader, route.Tenant)
	if h.names.Class([]byte(grade)) < 0 || league != "" && h.names.Tenant([]byte(league)) < 0 { // what goes along is for caches to read
		h.refuse(a, 400, "a grade or tenant that is none here")
		return
	}
	a.key, a.value, a.grade, a.league, a.write = []byte(key), q.Body, []byte(grade), []byte(league), listeners.IsWrite(method)
	conditional := false
	for _, name := range []string{"If-None-Match", "If-Modified-Since", "If-Match", "If-Unmodified-Since"} {
		conditional = conditional || q.Header(name) != nil
	}
	if a.write && (conditional || q.Header("Content-Range") != nil) { // the write would be made whatever its condition says
		h.refuse(a, 501, "a write with a condition or of a part")
		return
	}
	if h.passes {
		a.web = &webCall{headers: forwarded(nil, q.Each, q.Header("Connection")), conditional: conditional, posts: method == http.MethodPost}
		a.web.read(q)
	}
	a.wait = h.stops[grade]
	if route.DeadlineMs > 0 {
		a.wait = time.Duration(route.DeadlineMs * float64(time.Millisecond))
	}
	if said := stated(h.front.DeadlineHeader, ""); said != "" {
		ms, isNumber := meta.Decimal([]byte(said))
		if !isNumber || ms <= 0 {
			h.refuse(a, 400, "a deadline that is none")
			return
		}
		a.wait = max(1, time.Duration(min(ms*float64(time.Millisecond), float64(mostWait))))
	}
	label, id := strings.Trim(string(q.Header(labelHeader)), `"`), stated(h.front.IDHeader, "")
	for _, word := range []string{label, id} {
		if word != "" && (len(word) > mostWord || !meta.Plain([]byte(word)) || strings.Contains(word, ",")) {
			h.refuse(a, 400, "an id that can't be one")
			return
		}
	}
	if label == "" && a.write && h.labelled[grade] { // a leg sent again could not be told from another write
		h.refuse(a, 400, "this needs an "+labelHeader)
		return
	}
	if a.id = []byte(id); id == "" {
		h.n++
		a.id = strconv.AppendUint([]byte(h.own), h.n, 10)
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
	a.wish = retrieve
}

// read notes what a request says of the answers that it takes.
func (w *webCall) read(q *http1.Request) {
	w.judged.Authorized = q.Header("Authorization") != nil
	controlled := false
	q.Each(func(name, value []byte) {
		if bytes.EqualFold(name, []byte("Cache-Control")) {
			w.judged.Control.Read(value)
			controlled = true
		}
	})
	if !controlled && freshness.Pragma(q.Header("Pragma")) {
		w.judged.Control.NoCache = true // RFC 9111, 5.4
	}
}

// begin writes the beginning of an answer, up to its length.
func (h *httpFace) begin(status int, long int, last bool, headers ...string) []byte {
	if now := time.Now(); now.Unix() != h.dated {
		h.dated, h.date = now.Unix(), now.UTC().Format(http.TimeFormat)
	}
	return http1.AppendResponseHead(nil, status, h.date, long, last, headers...)
}

// head writes the head that serves what a server said, with what it said of it if that was in HTTP.
func (h *httpFace) head(c *call, r *reply, long int) []byte {
	told := "Cache-Status: dahliapin; fwd=miss"
	if r.kept {
		told = "Cache-Status: dahliapin; hit"
	}
	if r.status == 0 {
		return h.begin(200, long, c.last, told)
	}
	if r.status == 304 || r.status == 204 {
		long = http1.NoBody
	}
	return http1.AppendResponseHead(nil, r.status, "", long, c.last, string(r.headers)+told)
}

func (h *httpFace) value(c *call, r *reply) (out, long []byte) {
	out, value := h.head(c, r, len(r.said)), r.said
	switch {
	case c.bare:
		return out, nil
	case len(value) <= buffer.Keep:
		return append(out, value...), nil
	}
	return out, value
}

func (h *httpFace) end() string { return "" }

func (h *httpFace) receipt(c *call, r *reply) []byte {
	return append(h.head(c, r, len(r.said)), r.said...)
}

// bodied writes an answer with a line of text, but the text only where a body is to come.
func (h *httpFace) bodied(c *call, status int, text string, headers ...string) []byte {
	out := h.begin(status, len(text)+1, c.last, append(headers, "Content-Type: text/plain; charset=utf-8")...)
	if c.bare {
		return out
	}
	return append(append(out, text...), '\n')
}

func (h *httpFace) rejected(c *call, comeBack time.Duration) []byte {
	if comeBack <= 0 {
		return h.bodied(c, 503, "busy")
	}
	return h.bodied(c, 503, "busy", "Retry-After: "+strconv.Itoa(int((comeBack+time.Second-1)/time.Second)))
}

func (h *httpFace) failed(c *call, late bool) []byte {
	if late {
		return h.bodied(c, 504, "no answer in time")
	}
	return h.bodied(c, 502, "failed")
}

func (h *httpFace) refused(why refusal, bare bool) []byte {
	switch why {
	case tooLate:
		return h.bodied(&call{last: true}, 408, "not whole in time")
	case sameID:
		return h.bodied(&call{bare: bare}, 409, "the same is in hand")
	case badCall:
		return h.bodied(&call{bare: bare}, 400, "nothing that can be taken in hand")
	}
	return h.bodied(&call{last: true}, 503, "too much at once")
}

func (h *httpFace) ready(c *call, p Phase) []byte {
	if p == Serving {
		return h.bodied(c, 200, p.String())
	}
	return h.bodied(c, 503, p.String())
}

func (h *httpFace) counts(c *call, n *metrics.Counters) []byte {
	var out strings.Builder
	n.Each(func(name string, n uint64) { fmt.Fprintf(&out, "%s %d\n", name, n) })
	return h.bodied(c, 200, strings.TrimSuffix(out.String(), "\n"))
}

func (h *httpFace) parts(out []byte) ([]byte, bool) {
	return bytes.Replace(out, []byte("\r\n\r\n"), []byte("\r\nConnection: close\r\n\r\n"), 1), true
}
