package proxy

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

var front = listeners.Listener{Listen: "127.0.0.1:0", Protocol: listeners.HTTP, ReadyPath: "/up", SortQuery: true, ClassHeader: "X-Grade", IDHeader: "X-Id", DeadlineHeader: "X-Wait", TenantHeader: "X-Tenant",
	Routes: []listeners.Route{{Path: "/p/", Methods: []string{"GET", "HEAD"}, Class: "read", DeadlineMs: 9000},
		{Path: "/p/", Methods: []string{"PUT"}, Class: "put"}, {Path: "/pay/", Methods: []string{"POST"}, Class: "pay"}}}

func withFront(b *Config) { b.Listeners.Listeners = []listeners.Listener{front, front} }

// req is a request's head.
func req(line string, headers ...string) string {
	return line + " HTTP/1.1\r\nHost: n\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// web connects by HTTP. What it returns sends a text, and reads an answer to each of the methods, with its body.
func (g *rig) web(listener int) (ask func(text string, methods ...string) (said []string)) {
	c, err := net.Dial("tcp", g.Addr(listener))
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	r := bufio.NewReader(c)
	return func(text string, methods ...string) (said []string) {
		io.WriteString(c, text)
		for _, m := range methods {
			a, err := http.ReadResponse(r, &http.Request{Method: m})
			if err != nil {
				said = append(said, "ended")
				continue
			}
			body, _ := io.ReadAll(a.Body)
			if a.Header.Get("Date") == "" && a.StatusCode != 100 {
				g.t.Errorf("no date with %d", a.StatusCode)
			}
			end := map[bool]string{true: " close"}[a.Close]
			said = append(said, fmt.Sprintf("%d %s %d%s", a.StatusCode, strings.TrimSpace(string(body)), a.ContentLength, end))
		}
		return said
	}
}

func (g *rig) same(got []string, want ...string) {
	g.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		g.t.Errorf("got %q, want %q", got, want)
	}
}

// Answers that change places, a body after HEAD, ids that two listeners make alike, or a header's text that reaches a cache as flags
// would all be taken for something that was never said.
func TestHTTPRequestsAreAnsweredInOrder(t *testing.T) {
	slow := make(chan bool)
	g := newRig(t, 200, func(line string) string {
		if strings.HasPrefix(line, "mg slow ") {
			<-slow
		}
		return value(line)
	}, withFront)
	ask, other := g.web(1), g.web(2)
	other(req("GET /p/slow"))
	wait(t, g.lines)
	go func() {
		g.until("the second is answered", func(n metrics.Counters) bool { return n.Satisfied > 0 })
		close(slow)
	}()
	g.same(ask(req("GET /p/slow")+req("GET http://h/p/%6b?b=2&a=1&a=0")+req("HEAD /p/k")+req("HEAD /q/k")+req("GET /q/k")+req("DELETE /p/k")+req("GET /up"),
		"GET", "GET", "HEAD", "HEAD", "GET", "DELETE", "GET"), "200 hello 5", "200 hello 5", "200  5", "404  16", "404 nothing is here 16",
		"405 this can't be done here 24", "200 serving 8")
	g.same(other("", "GET"), "200 hello 5")
	if all := wait(t, g.lines) + wait(t, g.lines) + wait(t, g.lines); !strings.Contains(all, "mg slow v Oh") || !strings.Contains(all, "mg k?a=1&a=0&b=2 v Oh") ||
		!strings.Contains(all, " Pc=read,d=") {
		t.Errorf("the cache was sent %q", all)
	}
	for _, bad := range []string{req("GET /p/k", "X-Grade: nobody"), req("GET /p/k", "X-Grade: read,d=9 Ox"), req("GET /p/k", "X-Tenant: x Oy"),
		req("GET /p/k", "X-Wait: 9e3"), req("GET /p/k", "X-Wait: 0"), req("GET /p/"), req("GET /p/%6"), req("PUT /p/k"),
		req("PUT /p/k", `Idempotency-Key: "a b"`), req("GET /p/k", "X-Id: a,d=9"), req("PUT /p/w", "Idempotency-Key: l2", "If-Match: *")} {
		if said := ask(bad, "GET"); !strings.HasPrefix(said[0], map[bool]string{true: "501 ", false: "400 "}[strings.Contains(bad, "If-Match")]) {
			t.Errorf("%q: %q", bad, said)
		}
	}
	g.same(ask(req("PUT /p/w", `Idempotency-Key: "l1"`, "X-Id: r1", "Content-Length: 3")+"abc", "PUT"), "200 from-origin 11")
	if got := wait(t, g.calls); !strings.HasPrefix(got, "PUT /w r1 c=put,d=") || !strings.HasSuffix(got, ",k=l1 abc") {
		t.Error(got)
	}
	g.same(ask(req("GET /p/k", "Connection: close")+req("GET /p/k"), "GET", "GET"), "200 hello 5 close", "ended")
	g.same(other(req("GET /up", "Connection: close"), "GET", "GET"), "200 serving 8 close", "ended")
}

// A body that was not asked for, or asked for and then refused, would be read as the next request; and a POST whose leg broke behind
// its last byte may have run: it goes nowhere else.
func TestBodiesAreTakenOnceAndAPOSTThatMayHaveRunIsNeverSentAgain(t *testing.T) {
	g := newRig(t, 200, value, withFront)
	ask := g.web(1)
	post := func(path string, long int) string {
		return req("POST "+path, "Expect: 100-continue", fmt.Sprint("Content-Length: ", long))
	}
	g.same(ask(post("/pay/k", 6), "POST"), "100  0")
	g.same(append(ask("GET "), ask("/p", "POST")...), "200 from-origin 11")
	g.same(ask(req("POST /pay/cut", "Transfer-Encoding: chunked")+"3\r\nabc\r\n0\r\n\r\n", "POST"), "502 failed 7")
	g.same(append(ask(post("/pay/cut", 1), "POST"), ask("x", "POST")...), "100  0", "502 failed 7")
	for _, want := range []string{"/k ", "/cut ", "/cut "} {
		if got := wait(t, g.calls); !strings.HasPrefix(got, "PUT "+want) {
			t.Error(got)
		}
	}
	if n := g.Counters(); len(g.calls) > 0 || n.Attempts != 3 {
		t.Errorf("%d legs, %d calls more", n.Attempts, len(g.calls))
	}
	for _, shape := range []string{post("/q/k", 6), post("/pay/k", 3<<30), "GET /p/k HTTP/1.1\nHost: n\n\n", req("PUT /p/k", "Content-Length: 1", "Transfer-Encoding: chunked")} {
		if said := g.web(1)(shape, "GET", "GET"); !strings.HasPrefix(said[0], "4") || !strings.HasSuffix(said[0], " close") || said[1] != "ended" {
			t.Errorf("%.40q: %q", shape, said)
		}
	}
}

// The same seeded traffic with faults by meta commands and by HTTP: request by request the same answer, and no write that
// may not be repeated reaches the origin twice.
func TestTheSameTrafficIsAnsweredAlikeByBothProtocols(t *testing.T) {
	answer := func(line string) string {
		if key := strings.Fields(line)[1]; strings.HasPrefix(key, "f") { // by its key: misses, fails, is busy, breaks off, or is spoilt
			return []string{"EN " + id(line) + "\r\n", "SERVER_ERROR failed\r\n", "SERVER_ERROR busy\r\n", breaksOff, "VA 5 " + id(line) + "\r\nhel" + breaksOff}[key[1]-'0']
		}
		return value(line)
	}
	g, h := newRig(t, 200, answer), newRig(t, 200, answer, withFront)
	c, r := g.client()
	ask := h.web(1)
	for n := range 300 {
		draw := crc32.ChecksumIEEE([]byte(fmt.Sprint("traffic ", n)))
		key, kind, odd := fmt.Sprint("k", draw%50), draw>>8%8, draw>>16%16 == 0
		if odd {
			key = fmt.Sprintf("f%d-%d", draw>>20%5, n)
		}
		var meta, web string
		switch {
		case kind > 1:
			fmt.Fprintf(c, "mg %s v Oa%d Pc=read,d=9000\r\n", key, n)
			web = ask(req("GET /p/"+key), "GET")[0]
		case kind == 1 && odd:
			fmt.Fprintf(c, "ms cut 1 Oa%d Pc=pay,d=9000\r\nx\r\n", n)
			web = ask(req("POST /pay/cut", "X-Wait: 9000", "Content-Length: 1")+"x", "POST")[0]
		default:
			fmt.Fprintf(c, "ms %s 1 Oa%d Pc=put,d=9000\r\nx\r\n", key, n)
			web = ask(req("PUT /p/"+key, fmt.Sprint("Idempotency-Key: a", n), "X-Wait: 9000", "Content-Length: 1")+"x", "PUT")[0]
		}
		line, _ := r.ReadString('\n')
		if meta = strings.TrimSpace(line); strings.HasPrefix(meta, "VA") {
			line, _ = r.ReadString('\n')
			meta = "200 " + strings.TrimSpace(line)
		} else if i := strings.Index(meta, " c"); strings.HasPrefix(meta, "HD") && i > 0 {
			meta = "200 " + meta[i+2:]
		}
		meta = strings.NewReplacer("SERVER_ERROR failed", "502 failed", "SERVER_ERROR busy", "503 busy").Replace(meta)
		if web = web[:strings.LastIndexByte(web, ' ')]; web != meta {
			t.Fatalf("request %d, %s, kind %d: %q by meta commands, %q by HTTP", n, key, kind, meta, web)
		}
		for _, calls := range []chan string{g.calls, h.calls} {
			if seen := len(calls); kind < 2 && seen != 1 {
				t.Errorf("request %d reached the origin %d times", n, seen)
			}
			for len(calls) > 0 {
				<-calls
			}
		}
	}
}

// keeper is an HTTP cache: it answers as its row says. At "" a request's head has ended.
type keeper struct {
	sync.Mutex
	row  string
	head []string
	seen string // the last one
}

func (k *keeper) answer(line string) string {
	k.Lock()
	defer k.Unlock()
	if k.head = append(k.head, line); line != "" {
		return ""
	}
	k.seen, k.head = strings.Join(k.head, "\n"), nil
	date := func(ago time.Duration) string { return time.Now().Add(-ago).UTC().Format(http.TimeFormat) }
	return strings.NewReplacer("NOW", date(0), "AGO", date(31*time.Second), "AHEAD", date(-30*time.Second), "|", "\r\n").Replace("HTTP/1.1 " + k.row)
}

// Served from what a cache keeps, an answer past its allowed age would be served for good: with a clock off by 30 s, with Age missing,
// wrong or past all bounds. So would one that nobody asked for, or half of one.
func TestWhatAnHTTPCacheKeepsIsServedOnlyWhileItMayBe(t *testing.T) {
	const five = "|Content-Length: 5||hello"
	rows := map[string][3]string{ // what the cache says, what the client says beside, what it gets
		"fresh":     {"200 OK|Date: NOW|Age: 5|Cache-Control: max-age=60|X: y|Connection: z|Z: hop|Y: a\nSplit: b" + five, "", "200 hello kept"},
		"old":       {"200 OK|Date: NOW|Age: 61|Cache-Control: max-age=60" + five, "", "200 from-origin"},
		"ageless":   {"200 OK|Date: AGO|Cache-Control: max-age=60" + five, "", "200 from-origin"},
		"ahead":     {"200 OK|Date: AHEAD|Cache-Control: max-age=20" + five, "", "200 hello kept"},
		"odd":       {"200 OK|Date: NOW|Age: x|Cache-Control: max-age=29" + five, "", "200 from-origin"},
		"huge":      {"200 OK|Date: NOW|Age: 99999999999999999999|Cache-Control: max-age=2147483647" + five, "", "200 from-origin"},
		"unstated":  {"200 OK|Date: NOW|Age: 0" + five, "", "200 from-origin"},
		"private":   {"200 OK|Date: NOW|Age: 0|Cache-Control: private, max-age=60" + five, "", "200 from-origin"},
		"secret":    {"200 OK|Date: NOW|Age: 0|Cache-Control: max-age=60" + five, "Authorization: a", "200 from-origin"},
		"newest":    {"200 OK|Date: NOW|Age: 1|Cache-Control: max-age=60" + five, "Cache-Control: max-age=0", "200 from-origin"},
		"pragma":    {"200 OK|Date: NOW|Age: 1|Cache-Control: max-age=60" + five, "Pragma: no-cache", "200 from-origin"},
		"busy":      {"503 Service Unavailable|Content-Length: 0||", "", "200 from-origin"},
		"stale":     {"200 OK|Date: NOW|Age: 70|Cache-Control: max-age=60" + five, "Cache-Control: max-stale=20", "200 hello kept"},
		"validated": {"304 Not Modified|Date: NOW|Age: 1|Cache-Control: max-age=60|ETag: \"e\"||", "If-None-Match: \"e\"", "304  kept"},
		"unasked":   {"304 Not Modified|Date: NOW|Age: 1|Cache-Control: max-age=60||", "", "503 busy\n"},
		"part":      {"206 Partial Content|Date: NOW|Age: 1|Cache-Control: max-age=60" + five, "", "503 busy\n"},
		"nothing":   {"504 Gateway Timeout|Content-Length: 0||", "", "200 from-origin"},
		"only":      {"504 Gateway Timeout|Date: NOW|Content-Length: 0||", "Cache-Control: only-if-cached", "504 "},
		"none":      {"404 Not Found|Date: NOW|Age: 1|Cache-Control: max-age=60|Content-Length: 4||none", "", "404 none kept"},
		"half":      {"200 OK|Date: NOW|Age: 1|Cache-Control: max-age=60|Content-Length: 9||hel" + breaksOff, "", "200 from-origin"},
	}
	for key, row := range rows {
		t.Run(key, func(t *testing.T) {
			t.Parallel()
			k := &keeper{row: row[0]}
			g := newRig(t, 200, k.answer, withFront, func(b *Config) {
				b.Listeners.Servers = listeners.Servers{HTTPKinds: []string{"box"}, ClockOffS: 30, HealthCheckPath: "/"}
			})
			q, _ := http.NewRequest("GET", "http://"+g.Addr(1)+"/p/"+key+"%2Fx?b=1", nil)
			if name, said, ok := strings.Cut(row[1], ": "); ok {
				q.Header.Set(name, said)
			}
			q.Header.Set("Accept-Language", "bn")
			q.Header.Set("Connection", "X-Hop")
			q.Header.Set("X-Hop", "1")
			a, err := http.DefaultTransport.RoundTrip(q)
			if err != nil {
				t.Errorf("%s: %v", key, err)
				return
			}
			body, _ := io.ReadAll(a.Body)
			a.Body.Close()
			got := fmt.Sprintf("%d %s", a.StatusCode, body)
			if a.Header.Get("Cache-Status") == "dahliapin; hit" {
				got += " kept"
			}
			if got != row[2] || (strings.HasSuffix(got, "kept") || key == "only") != (a.Header.Get("Via") != "") {
				t.Errorf("%s: got %q, want %q; %v", key, got, row[2], a.Header)
			}
			if key == "fresh" && (a.Header.Get("Age") != "5" || a.Header.Get("X") != "y" || a.Header.Get("Z")+a.Header.Get("Split") != "") {
				t.Errorf("went on: %v", a.Header)
			}
			k.Lock()
			if s := k.seen; !strings.HasPrefix(s, "GET /"+key+"%2Fx?b=1 HTTP/1.1\n") || !strings.Contains(s, "only-if-cached") || !strings.Contains(s, "Accept-Language: bn") || !strings.Contains(s, "Via: 1.1 dahliapin") ||
				strings.Contains(s, "X-Hop") || strings.Contains(s, "Connection") {
				t.Errorf("%s: the cache was sent %q", key, s)
			}
			k.Unlock()
			if key == "fresh" {
				c, r := g.client()
				fmt.Fprint(c, "mg fresh%2Fx?b=1 v Oa Pc=read,d=900\r\n")
				g.expect(r, "VA 5 Oa", "hello")
			}
		})
	}
}

// A leg that took long would be served as younger than it is: its way here counts, too. Where caches fetch by themselves an answer
// without Age is the origin's own, unless its Date says that it is too old. Told as a miss, what may not run twice would.
func TestWhatAnAnswerOfACacheMeans(t *testing.T) {
	now, web := time.Now(), &httpRequestDetails{}
	for _, c := range []struct {
		aside bool
		said  string
		call  clientRequest
		want  policy.Result
		means string
	}{
		{true, "200 OK\r\nAge: 59\r\nCache-Control: max-age=60", clientRequest{idempotent: true, attemptSentAt: now, http: web}, policy.Answered, ""},
		{true, "200 OK\r\nAge: 59\r\nCache-Control: max-age=60", clientRequest{idempotent: true, attemptSentAt: now.Add(-2 * time.Second), http: web}, policy.CacheMiss, ""},
		{true, "200 OK\r\nAge: 61\r\nCache-Control: max-age=60", clientRequest{attemptSentAt: now, http: web}, policy.Errored, ""},
		{false, "200 OK\r\nCache-Control: private", clientRequest{idempotent: true, attemptSentAt: now, http: web}, policy.Answered, ""},
		{false, "200 OK\r\nX: y", clientRequest{idempotent: true, attemptSentAt: now, http: web}, policy.Answered, ""},
		{false, "200 OK\r\nCache-Control: max-age=60\r\nDate: Tue, 01 Dec 2020 10:00:00 GMT", clientRequest{idempotent: true, attemptSentAt: now, http: web}, policy.CacheMiss, ""},
		{false, "200 OK\r\nAge: 1", clientRequest{idempotent: true, attemptSentAt: now, http: web}, policy.CacheMiss, ""},
		{false, "204 No Content", clientRequest{write: true, attemptSentAt: now}, policy.Answered, "204"},
		{false, "503 Service Unavailable", clientRequest{write: true, attemptSentAt: now}, policy.Errored, ""},
	} {
		h := httpUpstream{&listeners.Servers{ClockOffS: 1}, c.aside}
		if r, _, _ := h.readResponse([]byte("HTTP/1.1 "+c.said+"\r\nContent-Length: 0\r\n\r\n"), &c.call, false, new(http1.Progress)); r.result != c.want || string(r.body) != c.means {
			t.Errorf("%q for %+v: %v %q", c.said, c.call, r.result, r.body)
		}
	}
}
