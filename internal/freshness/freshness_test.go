package freshness

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") } // the same draws each time, unless a seed is asked for

var came = time.Date(2026, 3, 7, 12, 0, 0, 0, time.UTC)

// response reads an answer's fields, in the form "Name: value|Name: value". Dates are in seconds from now: "Date: -10".
func response(text string) *Response {
	r := &Response{Status: 200}
	for _, line := range strings.Split(text, "|") {
		name, value, _ := strings.Cut(line, ": ")
		var off int
		if n, _ := fmt.Sscanf(value, "%d", &off); n == 1 && name != "Age" && name != "Cache-Control" {
			value = came.Add(time.Duration(off) * time.Second).Format(http.TimeFormat)
		}
		switch name {
		case "Cache-Control":
			r.Control.Read([]byte(value))
		case "Age":
			r.SetAge([]byte(value))
		case "Date":
			r.SetDate(value)
		case "Expires":
			r.SetExpires(value)
		case "Last-Modified":
			r.SetModified(value)
		}
	}
	return r
}

// Each row is what a section of RFC 9111 (or 5861) asks of a shared cache; the node serves what is judged fresh or stale.
func TestJudgementsAreThoseOfTheStandard(t *testing.T) {
	for _, c := range []struct {
		section, answer, request string
		want                     Use
	}{
		{"4.2.1 max-age", "Date: -10|Cache-Control: max-age=20", "", Fresh},
		{"4.2.1 max-age over", "Date: -30|Cache-Control: max-age=20", "", Validate},
		{"4.2 fresh while age is under", "Date: -20|Cache-Control: max-age=20", "", Validate},
		{"4.2.1 s-maxage first", "Date: -10|Cache-Control: max-age=20, s-maxage=5", "", Validate},
		{"4.2.1 s-maxage first, the longer", "Date: -10|Cache-Control: max-age=5, s-maxage=20", "", Fresh},
		{"4.2.1 max-age before Expires", "Date: -10|Expires: -5|Cache-Control: max-age=20", "", Fresh},
		{"4.2.1 Expires", "Date: -10|Expires: 5", "", Fresh},
		{"5.3 Expires that is none", "Date: -10|Expires: soon", "", Validate},
		{"5.3 Expires 0", "Date: -10|Expires: never 0", "", Validate},
		{"4.2.1 nothing stated", "Date: -10", "", Validate},
		{"4.2.2 no guess by default", "Date: -10|Last-Modified: -100000", "", Validate},
		{"4.2.1 two max-ages that differ", "Date: -10|Cache-Control: max-age=20|Cache-Control: max-age=30", "", Validate},
		{"4.2.1 two max-ages alike", "Date: -10|Cache-Control: max-age=20, max-age=20", "", Fresh},
		{"4.2.1 max-age that is none", "Date: -10|Cache-Control: max-age=2x", "", Validate},
		{"5.2 quoted", `Date: -10|Cache-Control: max-age="20"`, "", Fresh},
		{"5.2 names without case", "Date: -10|Cache-Control: MAX-AGE=20", "", Fresh},
		{"5.2.3 unknown ones", `Date: -10|Cache-Control: x="a, no-store", max-age=20, y`, "", Fresh},
		{"1.2.2 too great", "Date: -10|Cache-Control: max-age=99999999999999999999", "", Fresh},
		{"5.2.2.5 no-store", "Date: -1|Cache-Control: max-age=20, no-store", "", Never},
		{"5.2.2.7 private", "Date: -1|Cache-Control: max-age=20, private", "", Never},
		{"5.2.2.7 private, qualified", `Date: -1|Cache-Control: max-age=20, private="x"`, "", Never},
		{"5.2.2.4 no-cache", "Date: -1|Cache-Control: max-age=20, no-cache", "", Validate},
		{"5.2.2.4 no-cache, qualified", `Date: -1|Cache-Control: max-age=20, no-cache="a, b"`, "", Validate},
		{"3.5 authorization", "Date: -1|Cache-Control: max-age=20", "Authorization", Never},
		{"3.5 authorization, public", "Date: -1|Cache-Control: max-age=20, public", "Authorization", Fresh},
		{"3.5 authorization, s-maxage", "Date: -1|Cache-Control: s-maxage=20", "Authorization", Fresh},
		{"5.2.1.4 request no-cache", "Date: -1|Cache-Control: max-age=20", "no-cache", Validate},
		{"5.2.1.1 request max-age", "Date: -10|Cache-Control: max-age=20", "max-age=5", Validate},
		{"5.2.1.1 request max-age, young enough", "Date: -4|Cache-Control: max-age=20", "max-age=5", Fresh},
		{"5.2.1.3 min-fresh", "Date: -10|Cache-Control: max-age=20", "min-fresh=11", Validate},
		{"5.2.1.3 min-fresh, enough", "Date: -10|Cache-Control: max-age=20", "min-fresh=10", Fresh},
		{"5.2.1.2 max-stale", "Date: -30|Cache-Control: max-age=20", "max-stale=10", Stale},
		{"5.2.1.2 max-stale, too old", "Date: -31|Cache-Control: max-age=20", "max-stale=10", Validate},
		{"5.2.1.2 max-stale, any", "Date: -9999|Cache-Control: max-age=20", "max-stale", Stale},
		{"5.2.1.2 max-stale that is none", "Date: -30|Cache-Control: max-age=20", "max-stale=x", Validate},
		{"5.2.1.1 max-age and max-stale", "Date: -14|Cache-Control: max-age=20", "max-age=5, max-stale=10", Fresh},
		{"5.2.1.1 older than both", "Date: -16|Cache-Control: max-age=20", "max-age=5, max-stale=10", Validate},
		{"4.2.4 must-revalidate", "Date: -30|Cache-Control: max-age=20, must-revalidate", "max-stale", Validate},
		{"4.2.4 proxy-revalidate", "Date: -30|Cache-Control: max-age=20, proxy-revalidate", "max-stale", Validate},
		{"5.2.2.10 s-maxage means that too", "Date: -30|Cache-Control: s-maxage=20", "max-stale", Validate},
		{"5861 stale-while-revalidate", "Date: -30|Cache-Control: max-age=20, stale-while-revalidate=10", "", Stale},
		{"5861 the same, too old", "Date: -31|Cache-Control: max-age=20, stale-while-revalidate=10", "", Validate},
		{"5861 stale-if-error, no error", "Date: -30|Cache-Control: max-age=20, stale-if-error=10", "", Validate},
		{"5861 stale-if-error", "Date: -30|Cache-Control: max-age=20, stale-if-error=10", "failed", Stale},
		{"5861 the same, too old", "Date: -31|Cache-Control: max-age=20, stale-if-error=10", "failed", Validate},
		{"4.2.3 Age is older than Date", "Date: -1|Age: 30|Cache-Control: max-age=20", "", Validate},
		{"4.2.3 Date is older than Age", "Date: -30|Age: 1|Cache-Control: max-age=20", "", Validate},
		{"5.1 Age that is none", "Date: -1|Age: x|Cache-Control: max-age=20", "", Fresh},
		{"5.1 the first of two Ages", "Date: -1|Age: 30, 1|Cache-Control: max-age=20", "", Validate},
		{"1.2.2 an Age that overflows", "Date: -1|Age: 99999999999999999999|Cache-Control: max-age=4000000000", "", Validate},
	} {
		q := &Request{}
		q.Control.Read([]byte(c.request))
		q.Authorized = c.request == "Authorization"
		if v := Judge(q, response(c.answer), came, came, came, Rules{}, c.request == "failed"); v.Use != c.want {
			t.Errorf("%s: %q for %q: %v (%s, age %v of %v), want %v", c.section, c.answer, c.request, v.Use, v.Why, v.Age, v.Lifetime, c.want)
		}
	}
	guess := Rules{Heuristic: 0.1, MostHeuristic: time.Hour}
	if v := Judge(&Request{}, response("Date: -10|Last-Modified: -1000"), came, came, came, guess, false); v.Use != Fresh || v.Lifetime != 99*time.Second {
		t.Errorf("a guess: %+v", v)
	}
	if v := Judge(&Request{}, response("Date: -10|Last-Modified: -99999999"), came, came, came, guess, false); v.Lifetime != time.Hour {
		t.Errorf("a guess without bound: %+v", v)
	}
}

// However a server's clock is off, within what the rules state, and whether it tells an Age or not: what is served is never
// past its allowed age by the true clock, which no code here can read. An Age is told in whole seconds, and so is a Date.
func TestNothingIsServedPastItsAllowedAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const off = 30
		sec := func(least, most int, name string) time.Duration {
			return time.Duration(rapid.IntRange(least*1000, most*1000).Draw(t, name)) * time.Millisecond
		}
		made := came.Add(-sec(0, 300, "true age when it came"))
		skew := sec(-off, off, "clock off")
		r := &Response{Status: 200, Date: made.Add(skew).Truncate(time.Second)}
		delay := sec(0, 5, "delay")
		told := rapid.Bool().Draw(t, "tells Age")
		if told { // as the server knew it when it was asked, or later
			r.Age = Span{Given: true, For: max(0, came.Add(-delay).Sub(made)).Truncate(time.Second)}
		}
		lives := rapid.IntRange(0, 400).Draw(t, "max-age")
		r.Control.Read(fmt.Appendf(nil, "max-age=%d", lives))
		stale := rapid.IntRange(0, 60).Draw(t, "stale-while-revalidate")
		r.Control.Read(fmt.Appendf(nil, "stale-while-revalidate=%d", stale))
		later := sec(0, 100, "kept here")
		v := Judge(&Request{}, r, came.Add(-delay), came, came.Add(later), Rules{ClockOff: off * time.Second}, false)
		trueAge := came.Add(later).Sub(made)
		allowed := time.Duration(lives)*time.Second + time.Second
		if v.Use == Stale {
			allowed += time.Duration(stale) * time.Second
		}
		if (v.Use == Fresh || v.Use == Stale) && trueAge > allowed {
			t.Fatalf("served as %v at a true age of %v, allowed %v", v.Use, trueAge, allowed)
		}
		if !told && skew == 0 && v.Use == Validate && trueAge+off*time.Second+time.Second < time.Duration(lives)*time.Second {
			t.Fatalf("asked again at a true age of %v of %d s", trueAge, lives)
		}
	})
}

// Any line is read to its end without a crash, and never makes a stored answer more usable than without it, but for the
// directives that say so.
func FuzzDirectives(f *testing.F) {
	f.Add([]byte(`max-age=3, x="a\",b", no-cache="c`))
	f.Add([]byte(`,,=,"`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var d, twice Directives
		d.Read(line)
		twice.Read(line)
		if d != twice {
			t.Fatal("read differently")
		}
		if d.MaxAge.Given && !d.MaxAge.Bad && (d.MaxAge.For < 0 || d.MaxAge.For > Most) {
			t.Fatal(d.MaxAge)
		}
	})
}
