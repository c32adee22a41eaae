package proxy

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"strings"
	"testing"

	"dahliapin/internal/proxy/metrics"
)

// Checks that pipelined answers keep their order, that HEAD gets no body, that the ids which two listeners generate do
// not collide, and that no header text reaches an endpoint as flags. In each of these cases, one message would be taken
// for another.
func TestHTTPRequestsAreAnsweredInOrder(t *testing.T) {
	slow := make(chan bool)
	g := newHarness(t, 200, func(line string) string {
		if strings.HasPrefix(line, "mg slow ") {
			<-slow
		}
		return helloValue(line)
	}, withHTTPListeners)
	ask := g.httpClient(1)
	other := g.httpClient(2)
	other(requestHead("GET /p/slow"))
	receive(t, g.cacheCommands)
	go func() {
		g.waitUntil("the second request is answered", func(n metrics.Counters) bool { return n.Satisfied > 0 })
		close(slow)
	}()
	pipelined := requestHead("GET /p/slow") + requestHead("GET http://h/p/%6b?b=2&a=1&a=0") +
		requestHead("HEAD /p/k") + requestHead("HEAD /q/k") + requestHead("GET /q/k") +
		requestHead("DELETE /p/k") + requestHead("GET /up")
	g.expectResponses(ask(pipelined, "GET", "GET", "HEAD", "HEAD", "GET", "DELETE", "GET"),
		"200 hello 5", "200 hello 5", "200  5", "404  10", "404 not found 10",
		"405 method not allowed 19", "200 serving 8")
	g.expectResponses(other("", "GET"), "200 hello 5")
	commands := receive(t, g.cacheCommands) + receive(t, g.cacheCommands) + receive(t, g.cacheCommands)
	for _, want := range []string{"mg slow v Oh", "mg k?a=1&a=0&b=2 v Oh", " Pc=read,d="} {
		if !strings.Contains(commands, want) {
			t.Errorf("the cache received %q, want it to contain %q", commands, want)
		}
	}
	for _, c := range []struct{ request, wantStatus string }{
		{requestHead("GET /p/k", "X-Grade: nobody"), "400 "},
		{requestHead("GET /p/k", "X-Grade: read,d=9 Ox"), "400 "},
		{requestHead("GET /p/k", "X-Tenant: x Oy"), "400 "},
		{requestHead("GET /p/k", "X-Wait: 9e3"), "400 "},
		{requestHead("GET /p/k", "X-Wait: 0"), "400 "},
		{requestHead("GET /p/"), "400 "},
		{requestHead("GET /p/%6"), "400 "},
		{requestHead("PUT /p/k"), "400 "},
		{requestHead("PUT /p/k", `Idempotency-Key: "a b"`), "400 "},
		{requestHead("GET /p/k", "X-Id: a,d=9"), "400 "},
		{requestHead("PUT /p/w", "Idempotency-Key: l2", "If-Match: *"), "501 "},
	} {
		if responses := ask(c.request, "GET"); !strings.HasPrefix(responses[0], c.wantStatus) {
			t.Errorf("%q: %q", c.request, responses)
		}
	}
	write := requestHead("PUT /p/w", `Idempotency-Key: "l1"`, "X-Id: r1", "Content-Length: 3") + "abc"
	g.expectResponses(ask(write, "PUT"), "200 from-origin 11")
	got := receive(t, g.originRequests)
	if !strings.HasPrefix(got, "PUT /w r1 c=put,d=") || !strings.HasSuffix(got, ",k=l1 abc") {
		t.Error(got)
	}
	last := requestHead("GET /p/k", "Connection: close") + requestHead("GET /p/k")
	g.expectResponses(ask(last, "GET", "GET"), "200 hello 5 close", "ended")
	last = requestHead("GET /up", "Connection: close")
	g.expectResponses(other(last, "GET", "GET"), "200 serving 8 close", "ended")
}

// Guards against a body that is read as the next request, because the client sent it without waiting or its request was
// rejected. A POST whose connection broke after its last byte may have been executed and must not be retried.
func TestBodyIsReadOnceAndPOSTIsNeverRetried(t *testing.T) {
	g := newHarness(t, 200, helloValue, withHTTPListeners)
	ask := g.httpClient(1)
	post := func(path string, size int) string {
		return requestHead("POST "+path, "Expect: 100-continue", fmt.Sprint("Content-Length: ", size))
	}
	g.expectResponses(ask(post("/pay/k", 6), "POST"), "100  0")
	g.expectResponses(append(ask("GET "), ask("/p", "POST")...), "200 from-origin 11")
	chunked := requestHead("POST /pay/cut", "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n"
	g.expectResponses(ask(chunked, "POST"), "502 failed 7")
	g.expectResponses(append(ask(post("/pay/cut", 1), "POST"), ask("x", "POST")...), "100  0", "502 failed 7")
	for _, want := range []string{"/k ", "/cut ", "/cut "} {
		if got := receive(t, g.originRequests); !strings.HasPrefix(got, "PUT "+want) {
			t.Error(got)
		}
	}
	if n := g.Counters(); len(g.originRequests) > 0 || n.Attempts != 3 {
		t.Errorf("%d attempts, %d unexpected requests to the origin", n.Attempts, len(g.originRequests))
	}
	for _, refused := range []string{
		post("/q/k", 6),
		post("/pay/k", 3<<30),
		"GET /p/k HTTP/1.1\nHost: n\n\n",
		requestHead("PUT /p/k", "Content-Length: 1", "Transfer-Encoding: chunked"),
	} {
		responses := g.httpClient(1)(refused, "GET", "GET")
		first := responses[0]
		if !strings.HasPrefix(first, "4") || !strings.HasSuffix(first, " close") || responses[1] != "ended" {
			t.Errorf("%.40q: %q", refused, responses)
		}
	}
}

// answerByKey answers as a cache whose failure is selected by the second character of a key that begins with f.
func answerByKey(line string) string {
	key := strings.Fields(line)[1]
	if !strings.HasPrefix(key, "f") {
		return helloValue(line)
	}
	faults := []string{
		"EN " + idFlag(line) + "\r\n",
		"SERVER_ERROR failed\r\n",
		"SERVER_ERROR busy\r\n",
		thenClose,
		"VA 5 " + idFlag(line) + "\r\nhel" + thenClose,
	}
	return faults[key[1]-'0']
}

// readMetaAsHTTP reads the answer to a meta command, and returns the equivalent HTTP status and body.
func readMetaAsHTTP(r *bufio.Reader) string {
	line, _ := r.ReadString('\n')
	answer := strings.TrimSpace(line)
	receiptAt := strings.Index(answer, " c")
	switch {
	case strings.HasPrefix(answer, "VA"):
		line, _ = r.ReadString('\n')
		answer = "200 " + strings.TrimSpace(line)
	case strings.HasPrefix(answer, "HD") && receiptAt > 0:
		answer = "200 " + answer[receiptAt+len(" c"):]
	}
	toHTTP := strings.NewReplacer("SERVER_ERROR failed", "502 failed", "SERVER_ERROR busy", "503 busy")
	return toHTTP.Replace(answer)
}

// The same seeded traffic with faults is sent by meta commands and by HTTP. Each request must get the same answer by
// both, and no write that is not idempotent may reach the origin twice.
func TestMetaAndHTTPClientsGetTheSameAnswers(t *testing.T) {
	g := newHarness(t, 200, answerByKey)
	h := newHarness(t, 200, answerByKey, withHTTPListeners)
	c, r := g.client()
	ask := h.httpClient(1)
	for n := range 300 {
		draw := crc32.ChecksumIEEE([]byte(fmt.Sprint("traffic ", n)))
		key := fmt.Sprint("k", draw%50)
		kind := draw >> 8 % 8
		isFaulty := draw>>16%16 == 0
		if isFaulty {
			key = fmt.Sprintf("f%d-%d", draw>>20%5, n)
		}
		var httpAnswer string
		switch {
		case kind > 1:
			fmt.Fprintf(c, "mg %s v Oa%d Pc=read,d=9000\r\n", key, n)
			httpAnswer = ask(requestHead("GET /p/"+key), "GET")[0]
		case kind == 1 && isFaulty:
			fmt.Fprintf(c, "ms cut 1 Oa%d Pc=pay,d=9000\r\nx\r\n", n)
			httpAnswer = ask(requestHead("POST /pay/cut", "X-Wait: 9000", "Content-Length: 1")+"x", "POST")[0]
		default:
			fmt.Fprintf(c, "ms %s 1 Oa%d Pc=put,d=9000\r\nx\r\n", key, n)
			idempotencyKey := fmt.Sprint("Idempotency-Key: a", n)
			head := requestHead("PUT /p/"+key, idempotencyKey, "X-Wait: 9000", "Content-Length: 1")
			httpAnswer = ask(head+"x", "PUT")[0]
		}
		metaAnswer := readMetaAsHTTP(r)
		httpAnswer = httpAnswer[:strings.LastIndexByte(httpAnswer, ' ')] // without the length
		if httpAnswer != metaAnswer {
			t.Fatalf("request %d, %s, kind %d: %q by meta commands, %q by HTTP", n, key, kind, metaAnswer, httpAnswer)
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
