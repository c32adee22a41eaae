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

// cacheStub is an HTTP cache that sends the same response to all requests. An empty line ends the head of a request.
type cacheStub struct {
	sync.Mutex
	response    string // "|" ends a line; NOW, AGO and AHEAD are dates
	headLines   []string
	lastRequest string
}

func (k *cacheStub) answer(line string) string {
	k.Lock()
	defer k.Unlock()
	k.headLines = append(k.headLines, line)
	if line != "" {
		return ""
	}
	k.lastRequest = strings.Join(k.headLines, "\n")
	k.headLines = nil
	date := func(ago time.Duration) string { return time.Now().Add(-ago).UTC().Format(http.TimeFormat) }
	fill := strings.NewReplacer(
		"NOW", date(0),
		"AGO", date(31*time.Second),
		"AHEAD", date(-30*time.Second),
		"|", "\r\n",
	)
	return fill.Replace("HTTP/1.1 " + k.response)
}

// helloBody ends a response with the value hello.
const helloBody = "|Content-Length: 5||hello"

// cachedResponses are responses of a cache by key, with a header that the client sends and the result that it gets: the
// status, the body, and " hit" if the response is the cache's.
var cachedResponses = map[string]struct{ response, header, want string }{
	"fresh": {
		response: "200 OK|Date: NOW|Age: 5|Cache-Control: max-age=60" +
			"|X: y|Connection: z|Z: hop|Y: a\nSplit: b" + helloBody,
		want: "200 hello hit",
	},
	"old": {
		response: "200 OK|Date: NOW|Age: 61|Cache-Control: max-age=60" + helloBody,
		want:     "200 from-origin",
	},
	"ageless": {
		response: "200 OK|Date: AGO|Cache-Control: max-age=60" + helloBody,
		want:     "200 from-origin",
	},
	"ahead": {
		response: "200 OK|Date: AHEAD|Cache-Control: max-age=20" + helloBody,
		want:     "200 hello hit",
	},
	"odd": {
		response: "200 OK|Date: NOW|Age: x|Cache-Control: max-age=29" + helloBody,
		want:     "200 from-origin",
	},
	"huge": {
		response: "200 OK|Date: NOW|Age: 99999999999999999999|Cache-Control: max-age=2147483647" + helloBody,
		want:     "200 from-origin",
	},
	"unstated": {
		response: "200 OK|Date: NOW|Age: 0" + helloBody,
		want:     "200 from-origin",
	},
	"private": {
		response: "200 OK|Date: NOW|Age: 0|Cache-Control: private, max-age=60" + helloBody,
		want:     "200 from-origin",
	},
	"secret": {
		response: "200 OK|Date: NOW|Age: 0|Cache-Control: max-age=60" + helloBody,
		header:   "Authorization: a",
		want:     "200 from-origin",
	},
	"newest": {
		response: "200 OK|Date: NOW|Age: 1|Cache-Control: max-age=60" + helloBody,
		header:   "Cache-Control: max-age=0",
		want:     "200 from-origin",
	},
	"pragma": {
		response: "200 OK|Date: NOW|Age: 1|Cache-Control: max-age=60" + helloBody,
		header:   "Pragma: no-cache",
		want:     "200 from-origin",
	},
	"busy": {
		response: "503 Service Unavailable|Content-Length: 0||",
		want:     "200 from-origin",
	},
	"stale": {
		response: "200 OK|Date: NOW|Age: 70|Cache-Control: max-age=60" + helloBody,
		header:   "Cache-Control: max-stale=20",
		want:     "200 hello hit",
	},
	"validated": {
		response: "304 Not Modified|Date: NOW|Age: 1|Cache-Control: max-age=60|ETag: \"e\"||",
		header:   "If-None-Match: \"e\"",
		want:     "304  hit",
	},
	"unasked": {
		response: "304 Not Modified|Date: NOW|Age: 1|Cache-Control: max-age=60||",
		want:     "503 busy\n",
	},
	"part": {
		response: "206 Partial Content|Date: NOW|Age: 1|Cache-Control: max-age=60" + helloBody,
		want:     "503 busy\n",
	},
	"nothing": {
		response: "504 Gateway Timeout|Content-Length: 0||",
		want:     "200 from-origin",
	},
	"only": {
		response: "504 Gateway Timeout|Date: NOW|Content-Length: 0||",
		header:   "Cache-Control: only-if-cached",
		want:     "504 ",
	},
	"none": {
		response: "404 Not Found|Date: NOW|Age: 1|Cache-Control: max-age=60|Content-Length: 4||none",
		want:     "404 none hit",
	},
	"half": {
		response: "200 OK|Date: NOW|Age: 1|Cache-Control: max-age=60|Content-Length: 9||hel" + thenClose,
		want:     "200 from-origin",
	},
}

// Guards against serving a cached response that is older than allowed, because a clock is off by 30 s or because Age is
// missing, invalid or out of range. Unrequested and truncated responses must not be served either. Each such response
// must count as a miss. All others must be served with the headers that may be forwarded.
func TestHTTPCacheResponseIsServedOnlyWhileUsable(t *testing.T) {
	for key, c := range cachedResponses {
		t.Run(key, func(t *testing.T) {
			t.Parallel()
			testCachedResponse(t, key, c.response, c.header, c.want)
		})
	}
}

func testCachedResponse(t *testing.T, key, cached, header, want string) {
	t.Helper()
	stub := &cacheStub{response: cached}
	g := newHarness(t, 200, stub.answer, withHTTPListeners, func(config *Config) {
		config.Listeners.HTTPCaches = listeners.HTTPCaches{
			HTTPKinds: []string{"box"}, ClockOffS: 30, HealthCheckPath: "/",
		}
	})
	request, _ := http.NewRequest("GET", "http://"+g.Addr(1)+"/p/"+key+"%2Fx?b=1", nil)
	if name, value, ok := strings.Cut(header, ": "); ok {
		request.Header.Set(name, value)
	}
	request.Header.Set("Accept-Language", "bn")
	request.Header.Set("Connection", "X-Hop")
	request.Header.Set("X-Hop", "1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Errorf("%s: %v", key, err)
		return
	}
	body, _ := io.ReadAll(response.Body)
	response.Body.Close()
	got := fmt.Sprintf("%d %s", response.StatusCode, body)
	if response.Header.Get("Cache-Status") == "dahliapin; hit" {
		got += " hit"
	}
	isForwarded := strings.HasSuffix(got, "hit") || key == "only"
	if got != want || isForwarded != (response.Header.Get("Via") != "") {
		t.Errorf("%s: got %q, want %q; %v", key, got, want, response.Header)
	}
	stub.checkRequest(t, key)
	if key == "fresh" {
		checkFreshResponse(t, g, response.Header)
	}
}

// checkRequest checks the request that the cache received.
func (k *cacheStub) checkRequest(t *testing.T, key string) {
	t.Helper()
	k.Lock()
	defer k.Unlock()
	if !strings.HasPrefix(k.lastRequest, "GET /"+key+"%2Fx?b=1 HTTP/1.1\n") {
		t.Errorf("%s: the cache received %q", key, k.lastRequest)
	}
	for _, want := range []string{"only-if-cached", "Accept-Language: bn", "Via: 1.1 dahliapin"} {
		if !strings.Contains(k.lastRequest, want) {
			t.Errorf("%s: the cache received %q, without %q", key, k.lastRequest, want)
		}
	}
	for _, hopByHop := range []string{"X-Hop", "Connection"} {
		if strings.Contains(k.lastRequest, hopByHop) {
			t.Errorf("%s: the cache received %q, with %q", key, k.lastRequest, hopByHop)
		}
	}
}

// checkFreshResponse checks which headers of the cache's response were forwarded, and that clients of meta commands are
// also served from it.
func checkFreshResponse(t *testing.T, g *harness, header http.Header) {
	t.Helper()
	hopByHop := header.Get("Z") + header.Get("Split")
	if header.Get("Age") != "5" || header.Get("X") != "y" || hopByHop != "" {
		t.Errorf("forwarded: %v", header)
	}
	c, r := g.client()
	fmt.Fprint(c, "mg fresh%2Fx?b=1 v Oa Pc=read,d=900\r\n")
	g.expect(r, "VA 5 Oa", "hello")
}

// The time that an attempt takes counts towards the age of its response. If caches ask the origin themselves, a
// response without Age is the origin's own, unless its Date shows that it is too old. For a request that must not be
// executed twice, a rejection must not count as a miss.
func TestHTTPCacheResponseResults(t *testing.T) {
	now := time.Now()
	details := &httpRequestDetails{}
	read := clientRequest{idempotent: true, attemptSentAt: now, http: details}
	slowRead := clientRequest{idempotent: true, attemptSentAt: now.Add(-2 * time.Second), http: details}
	readOnce := clientRequest{attemptSentAt: now, http: details}
	metaWrite := clientRequest{write: true, attemptSentAt: now}
	const old = "200 OK\r\nCache-Control: max-age=60\r\nDate: Tue, 01 Dec 2020 10:00:00 GMT"
	for _, c := range []struct {
		cacheAside bool
		response   string
		request    clientRequest
		want       policy.Result
		wantBody   string
	}{
		{true, "200 OK\r\nAge: 59\r\nCache-Control: max-age=60", read, policy.Answered, ""},
		{true, "200 OK\r\nAge: 59\r\nCache-Control: max-age=60", slowRead, policy.CacheMiss, ""},
		{true, "200 OK\r\nAge: 61\r\nCache-Control: max-age=60", readOnce, policy.Errored, ""},
		{false, "200 OK\r\nCache-Control: private", read, policy.Answered, ""},
		{false, "200 OK\r\nX: y", read, policy.Answered, ""},
		{false, old, read, policy.CacheMiss, ""},
		{false, "200 OK\r\nAge: 1", read, policy.CacheMiss, ""},
		{false, "204 No Content", metaWrite, policy.Answered, "204"},
		{false, "503 Service Unavailable", metaWrite, policy.Errored, ""},
	} {
		codec := httpUpstream{servers: &listeners.HTTPCaches{ClockOffS: 1}, cacheAside: c.cacheAside}
		message := []byte("HTTP/1.1 " + c.response + "\r\nContent-Length: 0\r\n\r\n")
		response, _, _ := codec.readResponse(message, &c.request, false, new(http1.Progress))
		if response.result != c.want || string(response.body) != c.wantBody {
			t.Errorf("%q for %+v: %v %q", c.response, c.request, response.result, response.body)
		}
	}
}
