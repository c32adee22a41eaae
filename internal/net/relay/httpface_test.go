package relay

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

	"dahliapin/internal/fronts"
	"dahliapin/internal/net/counters"
	"dahliapin/internal/net/http1"
	"dahliapin/policy"
)

var front = fronts.Front{Listen: "127.0.0.1:0", Protocol: fronts.HTTP, Ready: "/up", SortQuery: true, GradeHeader: "X-Grade", IDHeader: "X-Id", DeadlineHeader: "X-Wait", TenantHeader: "X-Tenant",
	Routes: []fronts.Route{{Path: "/p/", Methods: []string{"GET", "HEAD"}, Grade: "read", DeadlineMs: 9000},
		{Path: "/p/", Methods: []string{"PUT"}, Grade: "put"}, {Path: "/pay/", Methods: []string{"POST"}, Grade: "pay"}}}

func withFront(b *Berth) { b.Operator.Listeners = []fronts.Front{front} }

// web connects by HTTP. What it returns sends a text, and reads an answer to each of the methods, with its body.
func (g *rig) web() (c net.Conn, ask func(text string, methods ...string) (said []string)) {
	c, err := net.Dial("tcp", g.Addr(1))
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	r := bufio.NewReader(c)
	return c, func(text string, methods ...string) (said []string) {
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

// Answers that change places, a body after HEAD, or a header's text that reaches a cache as flags would all be taken for
// something that was never said.
func TestHTTPRequestsAreRetrievalsAnsweredInOrder(t *testing.T) {
	slow := make(chan bool)
	g := newRig(t, 200, func(line string) string {
		if strings.HasPrefix(line, "mg slow ") {
			<-slow
		}
		return value(line)
	}, withFront)
	_, ask := g.web()
	req := func(line string, headers ...string) string {
		return line + " HTTP/1.1\r\nHost: n\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
	}
	go func() {
		g.until("the second is answered", func(n counters.Counters) bool { return n.Satisfied > 0 })
		close(slow)
	}()
	g.same(ask(req("GET /p/slow")+req("GET http://h/p/%6b?b=2&a=1&a=0")+req("HEAD /p/k")+req("HEAD /q/k")+req("GET /q/k")+req("DELETE /p/k")+req("GET /up"),
		"GET", "GET", "HEAD", "HEAD", "GET", "DELETE", "GET"), "200 hello 5", "200 hello 5", "200  5", "404  16", "404 nothing is here 16",
		"405 this can't be done here 24", "200 serving 8")
	if all := wait(t, g.lines) + wait(t, g.lines) + wait(t, g.lines); !strings.Contains(all, "mg slow v Oh") || !strings.Contains(all, "mg k?a=1&a=0&b=2 v Oh") ||
		!strings.Contains(all, " Pc=read,d=") {
		t.Errorf("the cache was sent %q", all)
	}
	g.same(ask(req("PUT /p/w", "Idempotency-Key: l2", "If-Match: *"), "PUT"), "501 a write with a condition or of a part 38")
	for _, bad := range []string{req("GET /p/k", "X-Grade: nobody"), req("GET /p/k", "X-Grade: read,d=9 Ox"), req("GET /p/k", "X-Tenant: x Oy"),
		req("GET /p/k", "X-Wait: 9e3"), req("GET /p/k", "X-Wait: 0"), req("GET /p/"), req("GET /p/%6"), req("PUT /p/k"), req("PUT /p/k", `Idempotency-Key: "a b"`), req("GET /p/k", "X-Id: a,d=9")} {
		if said := ask(bad, "GET"); !strings.HasPrefix(said[0], "400 ") {
			t.Errorf("%q: %q", bad, said)
		}
	}
	g.same(ask(req("PUT /p/w", `Idempotency-Key: "l1"`, "X-Id: r1", "Content-Length: 3")+"abc", "PUT"), "200 from-origin 11")
	if got := wait(t, g.calls); !strings.HasPrefix(got, "PUT /w r1 c=put,d=") || !strings.HasSuffix(got, ",k=l1 abc") {
		t.Error(got)
	}
	g.same(ask(req("GET /p/k", "Connection: close")+req("GET /p/k"), "GET", "GET"), "200 hello 5 close", "ended")
}

// A body that was not asked for, or asked for and then refused, would be read as the next request.
func TestWhoWaitsForLeaveToSendABodyGetsItOnceOrAnEnd(t *testing.T) {
	g := newRig(t, 200, value, withFront)
	_, ask := g.web()
	head := "POST %s HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n"
	g.same(ask(fmt.Sprintf(head, "/pay/k", 6), "POST"), "100  0")
	g.same(append(ask("GET "), ask("/p", "POST")...), "200 from-origin 11")
	g.same(ask(fmt.Sprintf(head, "/q/k", 6), "POST", "POST"), "404 nothing is here 16 close", "ended")
	for _, shape := range []string{fmt.Sprintf(head, "/pay/k", 3<<30), "GET /p/k HTTP/1.1\nHost: n\n\n", "PUT /p/k HTTP/1.1\r\nHost: n\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		_, ask := g.web()
		if said := ask(shape, "GET", "GET"); !strings.HasPrefix(said[0], "4") || !strings.HasSuffix(said[0], " close") || said[1] != "ended" {
			t.Errorf("%.40q: %q", shape, said)
		}
	}
}

// A POST whose leg broke behind its last byte may have run: it goes nowhere else, and the client is told that it failed.
func TestAPOSTThatMayHaveRunIsNeverSentAgain(t *testing.T) {
	g := newRig(t, 200, value, withFront)
	_, ask := g.web()
	g.same(ask("POST /pay/cut HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "POST"), "502 failed 7")
	if got := wait(t, g.calls); !strings.HasPrefix(got, "POST /cut ") && !strings.HasPrefix(got, "PUT /cut ") {
		t.Error(got)
	}
	g.same(ask("POST /pay/cut HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n", "POST"), "100  0")
	g.same(ask("x", "POST"), "502 failed 7")
	if wait(t, g.calls); len(g.calls) > 0 || g.Counts().Legs != 2 {
		t.Errorf("%d legs, %d calls more", g.Counts().Legs, len(g.calls))
	}
}

// A kept connection that a node just closes loses what is sent on it meanwhile.
func TestADrainingNodeTellsHTTPClientsThatTheirConnectionEnds(t *testing.T) {
	hold := make(chan bool)
	g := newRig(t, 200, func(line string) string {
		<-hold
		return value(line)
	}, withFront)
	_, ask := g.web()
	ask("GET /p/k HTTP/1.1\r\nHost: n\r\nX-Wait: 900\r\n\r\nGET /p/k HTTP/1.1\r\nHost: n\r\nX-Wait: 900\r\n\r\n")
	wait(t, g.lines)
	g.End()
	g.ask(func() { close(hold) })
	g.same(ask("", "GET", "GET", "GET"), "200 hello 5", "200 hello 5 close", "ended")
	g.serve.Wait()
}

// The same seeded traffic with faults by meta commands and by HTTP: retrieval by retrieval the same answer, and no write that
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
	_, ask := h.web()
	for n := range 300 {
		draw := crc32.ChecksumIEEE([]byte(fmt.Sprint("traffic ", n)))
		key, kind := fmt.Sprint("k", draw%50), draw>>8%8
		if draw>>16%16 == 0 {
			key = fmt.Sprintf("f%d-%d", draw>>20%5, n)
		}
		var meta, web string
		switch {
		case kind > 1:
			fmt.Fprintf(c, "mg %s v Oa%d Pc=read,d=9000\r\n", key, n)
			web = ask("GET /p/"+key+" HTTP/1.1\r\nHost: n\r\n\r\n", "GET")[0]
		case kind == 1 && draw>>16%16 == 0:
			fmt.Fprintf(c, "ms cut 1 Oa%d Pc=pay,d=9000\r\nx\r\n", n)
			web = ask("POST /pay/cut HTTP/1.1\r\nHost: n\r\nX-Wait: 9000\r\nContent-Length: 1\r\n\r\nx", "POST")[0]
		default:
			fmt.Fprintf(c, "ms %s 1 Oa%d Pc=put,d=9000\r\nx\r\n", key, n)
			web = ask(fmt.Sprintf("PUT /p/%s HTTP/1.1\r\nHost: n\r\nIdempotency-Key: a%d\r\nX-Wait: 9000\r\nContent-Length: 1\r\n\r\nx", key, n), "PUT")[0]
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
			t.Fatalf("retrieval %d, %s, kind %d: %q by meta commands, %q by HTTP", n, key, kind, meta, web)
		}
		for _, calls := range []chan string{g.calls, h.calls} {
			if seen := len(calls); kind < 2 && seen != 1 {
				t.Errorf("retrieval %d reached the origin %d times", n, seen)
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
	date := func(ago time.Duration) string { return time.Now().Add(-ago).UTC().Format(http1.Date) }
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
		"only":      {"504 Gateway Timeout|Date: NOW|Content-Length: 0||", "Cache-Control: only-if-cached", "504  kept"},
		"none":      {"404 Not Found|Date: NOW|Age: 1|Cache-Control: max-age=60|Content-Length: 4||none", "", "404 none kept"},
		"half":      {"200 OK|Date: NOW|Age: 1|Cache-Control: max-age=60|Content-Length: 9||hel" + breaksOff, "", "200 from-origin"},
	}
	for key, row := range rows {
		t.Run(key, func(t *testing.T) {
			t.Parallel()
			k := &keeper{row: row[0]}
			g := newRig(t, 200, k.answer, withFront, func(b *Berth) {
				b.Operator.Servers = fronts.Servers{HTTPKinds: []string{"box"}, ClockOffS: 30, Probe: "/"}
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
			if got != row[2] || strings.HasSuffix(got, "kept") != (a.Header.Get("Via") != "") {
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

// A leg that took long would be served as younger than it is: its way here counts, too.
func TestTheWayOfAnAnswerCountsToItsAge(t *testing.T) {
	h, said := httpCarrier{&fronts.Servers{}, true}, "HTTP/1.1 200 OK\r\nAge: 59\r\nCache-Control: max-age=60\r\nContent-Length: 0\r\n\r\n"
	for took, want := range map[time.Duration]policy.Result{0: policy.Answered, 2 * time.Second: policy.Missed} {
		if r, _, _ := h.reply([]byte(said), &call{redoable: true, took: took, headers: []byte{}}, false); r.how != want {
			t.Errorf("after %v: %v, want %v", took, r.how, want)
		}
	}
	// where caches fetch by themselves, an answer without Age is the origin's own unless its Date says that it is too old
	through := httpCarrier{&fronts.Servers{ClockOffS: 1}, false}
	for said, want := range map[string]policy.Result{"Cache-Control: private": policy.Answered, "X: y": policy.Answered,
		"Cache-Control: max-age=60\r\nDate: Tue, 01 Dec 2020 10:00:00 GMT": policy.Missed, "Age: 1": policy.Missed} {
		b := []byte("HTTP/1.1 200 OK\r\n" + said + "\r\nContent-Length: 0\r\n\r\n")
		if r, _, _ := through.reply(b, &call{redoable: true, headers: []byte{}}, false); r.how != want {
			t.Errorf("%s: %v, want %v", said, r.how, want)
		}
	}
	if r, _, _ := through.reply([]byte("HTTP/1.1 204 No Content\r\n\r\n"), &call{write: true}, false); r.how != policy.Answered || string(r.said) != "204" {
		t.Errorf("a receipt for meta commands: %v %q", r.how, r.said)
	}
	if r, _, _ := h.reply([]byte(strings.Replace(said, "59", "61", 1)), &call{headers: []byte{}}, false); r.how != policy.Errored {
		t.Errorf("a retrieval that may not run twice: %v", r.how) // told as a miss, it would be sent to the origin as well
	}
}
