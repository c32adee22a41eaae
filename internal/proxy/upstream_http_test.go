package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

// keeper is an HTTP cache: it answers as its row says. At "" a request's head has ended.
type cacheStub struct {
	sync.Mutex
	response    string
	headLines   []string
	lastRequest string // the last one
}

func (k *cacheStub) answer(line string) string {
	k.Lock()
	defer k.Unlock()
	if k.headLines = append(k.headLines, line); line != "" {
		return ""
	}
	k.lastRequest, k.headLines = strings.Join(k.headLines, "\n"), nil
	date := func(ago time.Duration) string { return time.Now().Add(-ago).UTC().Format(http.TimeFormat) }
	return strings.NewReplacer("NOW", date(0), "AGO", date(31*time.Second), "AHEAD", date(-30*time.Second), "|", "\r\n").Replace("HTTP/1.1 " + k.response)
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
		"half":      {"200 OK|Date: NOW|Age: 1|Cache-Control: max-age=60|Content-Length: 9||hel" + thenClose, "", "200 from-origin"},
	}
	for key, row := range rows {
		t.Run(key, func(t *testing.T) {
			t.Parallel()
			k := &cacheStub{response: row[0]}
			g := newHarness(t, 200, k.answer, withHTTPListeners, func(b *Config) {
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
			if s := k.lastRequest; !strings.HasPrefix(s, "GET /"+key+"%2Fx?b=1 HTTP/1.1\n") || !strings.Contains(s, "only-if-cached") || !strings.Contains(s, "Accept-Language: bn") || !strings.Contains(s, "Via: 1.1 dahliapin") ||
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
func TestHTTPCacheResponseResults(t *testing.T) {
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
