package relay

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/freshness"
	"dahliapin/internal/fronts"
	"dahliapin/internal/houserules"
	"dahliapin/internal/net/buffer"
	"dahliapin/internal/net/counters"
	"dahliapin/internal/net/http1"
	"dahliapin/internal/net/meta"
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
	front    *fronts.Front
	names    *houserules.Vocabulary
	labelled map[string]bool          // grades whose repeats are told by their id
	stops    map[string]time.Duration // the grades' hard stops
	own      string                   // begins the ids of those who state none: of this start of this node alone
	n        uint64
	date     string
	dated    int64
}

func newHTTPFace(f *fronts.Front, r *Relay) *httpFace {
	h := &httpFace{front: f, names: &r.Terms.Names, labelled: map[string]bool{}, stops: map[string]time.Duration{},
		own: fmt.Sprintf("h%x-%x-", r.began.UnixNano(), uint64(r.Seed))}
	for name, g := range r.Terms.Names.Grades() {
		h.labelled[name] = r.Terms.Rules.Grades[g].Effect == policy.Labelled
		h.stops[name] = r.Terms.Stops[g]
	}
	return h
}

func (h *httpFace) read(b []byte, a *asked) (size int) {
	*a = asked{}
	q, size, fault := http1.ReadRequest(b, mostBody)
	switch {
	case fault != nil:
		h.refuse(a, fault.Status, fault.Reason, true)
		return 0
	case size == 0 && !q.Continue:
		return 0
	}
	a.closes = q.Last
	if h.route(&q, a); a.wish == unserved && string(q.Method) == "HEAD" {
		a.answer = a.answer[:bytes.Index(a.answer, []byte("\r\n\r\n"))+4]
	}
	if size == 0 && a.wish == unserved {
		a.closes = true // whether the body comes all the same can't be known
		a.answer = h.closing(a.answer)
	} else if size == 0 {
		*a = asked{wish: invited, answer: []byte("HTTP/1.1 100 Continue\r\n\r\n")}
	}
	return size
}

// closing writes an answer anew as the last of its connection.
func (h *httpFace) closing(answer []byte) []byte {
	text := string(answer)
	if strings.Contains(text, "\r\nConnection: close\r\n") {
		return answer
	}
	return []byte(strings.Replace(text, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
}

// refuse answers what can't be served.
func (h *httpFace) refuse(a *asked, status int, reason string, closes bool, headers ...string) {
	a.wish, a.closes = unserved, closes
	a.answer = h.plain(status, reason, closes, headers...)
}

// route finds out what a request is.
func (h *httpFace) route(q *http1.Request, a *asked) {
	whole, ok := freshness.Key(nil, q.Target)
	if !ok {
		h.refuse(a, 400, "a target that can't be read", a.closes)
		return
	}
	path := whole[strings.IndexByte(whole, '/'):]
	method := string(q.Method)
	if method == "GET" && path == h.front.Ready {
		a.wish = readiness
		return
	}
	if method == "GET" && path == h.front.Counters {
		a.wish = counts
		return
	}
	route, known := h.front.Route(method, path)
	switch {
	case route != nil:
	case known:
		h.refuse(a, 405, "this can't be done here", a.closes, "Allow: "+strings.Join(h.front.Allowed(path), ", "))
		return
	default:
		h.refuse(a, 404, "nothing is here", a.closes)
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
		h.refuse(a, 400, "a key that is none", a.closes)
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
	grade, league := stated(h.front.GradeHeader, route.Grade), stated(h.front.TenantHeader, route.Tenant)
	if h.names.Grade([]byte(grade)) < 0 || league != "" && h.names.League([]byte(league)) < 0 { // what goes along is for caches to read
		h.refuse(a, 400, "a grade or tenant that is none here", a.closes)
		return
	}
	a.call = call{key: []byte(key), value: q.Body, grade: []byte(grade), league: []byte(league), write: fronts.Writes(method),
		bare: method == "HEAD", last: a.closes}
	a.headers = forwarded([]byte{}, q.Each, q.Header("Connection"))
	a.posts = method == "POST"
	q.Each(func(name, value []byte) {
		switch strings.ToLower(string(name)) {
		case "cache-control":
			a.judged.Control.Read(value)
		case "authorization":
			a.judged.Authorized = true
		case "if-none-match", "if-modified-since", "if-match", "if-unmodified-since":
			a.conditional = true
		}
	})
	if a.write && (a.conditional || q.Header("Content-Range") != nil) { // the write would be made whatever its condition says
		h.refuse(a, 501, "a write with a condition or of a part", a.closes)
		return
	}
	if q.Header("Cache-Control") == nil && freshness.Pragma(q.Header("Pragma")) {
		a.judged.Control.NoCache = true // RFC 9111, 5.4
	}
	a.onlyKept = a.judged.Control.OnlyIfCached
	a.wait = h.stops[grade]
	if route.DeadlineMs > 0 {
		a.wait = time.Duration(route.DeadlineMs * float64(time.Millisecond))
	}
	if said := stated(h.front.DeadlineHeader, ""); said != "" {
		ms, isNumber := meta.Decimal([]byte(said))
		if !isNumber || ms <= 0 {
			h.refuse(a, 400, "a deadline that is none", a.closes)
			return
		}
		a.wait = max(1, time.Duration(min(ms*float64(time.Millisecond), float64(mostWait))))
	}
	label, id := strings.Trim(string(q.Header(labelHeader)), `"`), stated(h.front.IDHeader, "")
	for _, word := range []string{label, id} {
		if word != "" && (len(word) > mostWord || !meta.Plain([]byte(word)) || strings.Contains(word, ",")) {
			h.refuse(a, 400, "an id that can't be one", a.closes)
			return
		}
	}
	if label == "" && a.write && h.labelled[grade] { // a leg sent again could not be told from another write
		h.refuse(a, 400, "this needs an "+labelHeader, a.closes)
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

// head writes the beginning of an answer, up to its length.
func (h *httpFace) head(status int, long int, last bool, headers ...string) []byte {
	if now := time.Now(); now.Unix() != h.dated {
		h.dated, h.date = now.Unix(), now.UTC().Format(http1.Date)
	}
	return http1.AppendHead(nil, status, h.date, long, last, headers...)
}

// plain writes an answer with a line of text.
func (h *httpFace) plain(status int, text string, last bool, headers ...string) []byte {
	return append(append(h.head(status, len(text)+1, last, append(headers, "Content-Type: text/plain; charset=utf-8")...), text...), '\n')
}

// served writes the head that serves what a server said, with what it said of it if that was in HTTP.
func (h *httpFace) served(c *call, r *reply) []byte {
	told := "Cache-Status: dahliapin; fwd=miss"
	if r.kept {
		told = "Cache-Status: dahliapin; hit"
	}
	if r.status == 0 {
		return h.head(200, len(r.said), c.last, told)
	}
	long := len(r.said)
	if r.status == 304 || r.status == 204 {
		long = http1.NoBody
	}
	return http1.AppendHead(nil, r.status, "", long, c.last, string(r.headers)+told)
}

func (h *httpFace) value(c *call, r *reply) (out, long []byte) {
	out, value := h.served(c, r), r.said
	switch {
	case c.bare:
		return out, nil
	case len(value) <= buffer.Keep:
		return append(out, value...), nil
	}
	return out, value
}

func (h *httpFace) end() string { return "" }

func (h *httpFace) receipt(c *call, r *reply) []byte { return append(h.served(c, r), r.said...) }

// bodied writes an answer of a call, without its body where none is to come.
func (h *httpFace) bodied(c *call, status int, text string, headers ...string) []byte {
	out := h.plain(status, text, c.last, headers...)
	if c.bare {
		return out[:len(out)-len(text)-1]
	}
	return out
}

func (h *httpFace) dismissed(c *call, comeBack time.Duration) []byte {
	if comeBack <= 0 {
		return h.bodied(c, 503, "busy")
	}
	return h.bodied(c, 503, "busy", "Retry-After: "+strconv.Itoa(int((comeBack+time.Second-1)/time.Second)))
}

func (h *httpFace) scrapped(c *call, late bool) []byte {
	if late {
		return h.bodied(c, 504, "no answer in time")
	}
	return h.bodied(c, 502, "failed")
}

func (h *httpFace) refused(why refusal, bare bool) []byte {
	switch why {
	case tooLate:
		return h.plain(408, "not whole in time", true)
	case sameID:
		return h.bodied(&call{bare: bare}, 409, "the same is in hand")
	case badCall:
		return h.bodied(&call{bare: bare}, 400, "nothing that can be taken in hand")
	}
	return h.plain(503, "too much at once", true)
}

func (h *httpFace) ready(p Phase) []byte {
	if p == Serving {
		return h.plain(200, p.String(), false)
	}
	return h.plain(503, p.String(), false)
}

func (h *httpFace) counts(c *counters.Counters) []byte {
	var out strings.Builder
	c.Each(func(name string, n uint64) { fmt.Fprintf(&out, "%s %d\n", name, n) })
	return h.plain(200, strings.TrimSuffix(out.String(), "\n"), false)
}

func (h *httpFace) parts(c *call) bool { c.last = true; return true }
