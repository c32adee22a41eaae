package proxy

import (
	"fmt"
	"hash/crc32"
	"strings"
	"testing"

	"dahliapin/internal/proxy/metrics"
)

// Answers that change places, a body after HEAD, ids that two listeners make alike, or a header's text that reaches a cache as flags
// would all be taken for something that was never said.
func TestHTTPRequestsAreAnsweredInOrder(t *testing.T) {
	slow := make(chan bool)
	g := newHarness(t, 200, func(line string) string {
		if strings.HasPrefix(line, "mg slow ") {
			<-slow
		}
		return helloValue(line)
	}, withHTTPListeners)
	ask, other := g.httpClient(1), g.httpClient(2)
	other(requestHead("GET /p/slow"))
	receive(t, g.cacheCommands)
	go func() {
		g.waitUntil("the second is answered", func(n metrics.Counters) bool { return n.Satisfied > 0 })
		close(slow)
	}()
	g.expectResponses(ask(requestHead("GET /p/slow")+requestHead("GET http://h/p/%6b?b=2&a=1&a=0")+requestHead("HEAD /p/k")+requestHead("HEAD /q/k")+requestHead("GET /q/k")+requestHead("DELETE /p/k")+requestHead("GET /up"),
		"GET", "GET", "HEAD", "HEAD", "GET", "DELETE", "GET"), "200 hello 5", "200 hello 5", "200  5", "404  16", "404 nothing is here 16",
		"405 this can't be done here 24", "200 serving 8")
	g.expectResponses(other("", "GET"), "200 hello 5")
	if all := receive(t, g.cacheCommands) + receive(t, g.cacheCommands) + receive(t, g.cacheCommands); !strings.Contains(all, "mg slow v Oh") || !strings.Contains(all, "mg k?a=1&a=0&b=2 v Oh") ||
		!strings.Contains(all, " Pc=read,d=") {
		t.Errorf("the cache was sent %q", all)
	}
	for _, bad := range []string{requestHead("GET /p/k", "X-Grade: nobody"), requestHead("GET /p/k", "X-Grade: read,d=9 Ox"), requestHead("GET /p/k", "X-Tenant: x Oy"),
		requestHead("GET /p/k", "X-Wait: 9e3"), requestHead("GET /p/k", "X-Wait: 0"), requestHead("GET /p/"), requestHead("GET /p/%6"), requestHead("PUT /p/k"),
		requestHead("PUT /p/k", `Idempotency-Key: "a b"`), requestHead("GET /p/k", "X-Id: a,d=9"), requestHead("PUT /p/w", "Idempotency-Key: l2", "If-Match: *")} {
		if said := ask(bad, "GET"); !strings.HasPrefix(said[0], map[bool]string{true: "501 ", false: "400 "}[strings.Contains(bad, "If-Match")]) {
			t.Errorf("%q: %q", bad, said)
		}
	}
	g.expectResponses(ask(requestHead("PUT /p/w", `Idempotency-Key: "l1"`, "X-Id: r1", "Content-Length: 3")+"abc", "PUT"), "200 from-origin 11")
	if got := receive(t, g.originRequests); !strings.HasPrefix(got, "PUT /w r1 c=put,d=") || !strings.HasSuffix(got, ",k=l1 abc") {
		t.Error(got)
	}
	g.expectResponses(ask(requestHead("GET /p/k", "Connection: close")+requestHead("GET /p/k"), "GET", "GET"), "200 hello 5 close", "ended")
	g.expectResponses(other(requestHead("GET /up", "Connection: close"), "GET", "GET"), "200 serving 8 close", "ended")
}

// A body that was not asked for, or asked for and then refused, would be read as the next request; and a POST whose leg broke behind
// its last byte may have run: it goes nowhere else.
func TestBodyIsReadOnceAndPOSTIsNeverRetried(t *testing.T) {
	g := newHarness(t, 200, helloValue, withHTTPListeners)
	ask := g.httpClient(1)
	post := func(path string, long int) string {
		return requestHead("POST "+path, "Expect: 100-continue", fmt.Sprint("Content-Length: ", long))
	}
	g.expectResponses(ask(post("/pay/k", 6), "POST"), "100  0")
	g.expectResponses(append(ask("GET "), ask("/p", "POST")...), "200 from-origin 11")
	g.expectResponses(ask(requestHead("POST /pay/cut", "Transfer-Encoding: chunked")+"3\r\nabc\r\n0\r\n\r\n", "POST"), "502 failed 7")
	g.expectResponses(append(ask(post("/pay/cut", 1), "POST"), ask("x", "POST")...), "100  0", "502 failed 7")
	for _, want := range []string{"/k ", "/cut ", "/cut "} {
		if got := receive(t, g.originRequests); !strings.HasPrefix(got, "PUT "+want) {
			t.Error(got)
		}
	}
	if n := g.Counters(); len(g.originRequests) > 0 || n.Attempts != 3 {
		t.Errorf("%d legs, %d calls more", n.Attempts, len(g.originRequests))
	}
	for _, shape := range []string{post("/q/k", 6), post("/pay/k", 3<<30), "GET /p/k HTTP/1.1\nHost: n\n\n", requestHead("PUT /p/k", "Content-Length: 1", "Transfer-Encoding: chunked")} {
		if said := g.httpClient(1)(shape, "GET", "GET"); !strings.HasPrefix(said[0], "4") || !strings.HasSuffix(said[0], " close") || said[1] != "ended" {
			t.Errorf("%.40q: %q", shape, said)
		}
	}
}

// The same seeded traffic with faults by meta commands and by HTTP: request by request the same answer, and no write that
// may not be repeated reaches the origin twice.
func TestMetaAndHTTPClientsGetTheSameAnswers(t *testing.T) {
	answer := func(line string) string {
		if key := strings.Fields(line)[1]; strings.HasPrefix(key, "f") { // by its key: misses, fails, is busy, breaks off, or is spoilt
			return []string{"EN " + idFlag(line) + "\r\n", "SERVER_ERROR failed\r\n", "SERVER_ERROR busy\r\n", thenClose, "VA 5 " + idFlag(line) + "\r\nhel" + thenClose}[key[1]-'0']
		}
		return helloValue(line)
	}
	g, h := newHarness(t, 200, answer), newHarness(t, 200, answer, withHTTPListeners)
	c, r := g.client()
	ask := h.httpClient(1)
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
			web = ask(requestHead("GET /p/"+key), "GET")[0]
		case kind == 1 && odd:
			fmt.Fprintf(c, "ms cut 1 Oa%d Pc=pay,d=9000\r\nx\r\n", n)
			web = ask(requestHead("POST /pay/cut", "X-Wait: 9000", "Content-Length: 1")+"x", "POST")[0]
		default:
			fmt.Fprintf(c, "ms %s 1 Oa%d Pc=put,d=9000\r\nx\r\n", key, n)
			web = ask(requestHead("PUT /p/"+key, fmt.Sprint("Idempotency-Key: a", n), "X-Wait: 9000", "Content-Length: 1")+"x", "PUT")[0]
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
		for _, calls := range []chan string{g.originRequests, h.originRequests} {
			if seen := len(calls); kind < 2 && seen != 1 {
				t.Errorf("request %d reached the origin %d times", n, seen)
			}
			for len(calls) > 0 {
				<-calls
			}
		}
	}
}
