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

func init() { flag.Set("rapid.seed", "1") } // reproducible draws unless a seed is given on the command line

// received is the arrival time of all responses in these tests.
var received = time.Date(2026, 3, 7, 12, 0, 0, 0, time.UTC)

// responseOf parses the fields of a response in the form "Name: value|Name: value". Dates are in seconds relative to
// received, as in "Date: -10".
func responseOf(text string) *Response {
	r := &Response{Status: 200}
	for _, line := range strings.Split(text, "|") {
		name, value, _ := strings.Cut(line, ": ")
		var off int
		if n, _ := fmt.Sscanf(value, "%d", &off); n == 1 && name != "Age" && name != "Cache-Control" {
			value = received.Add(time.Duration(off) * time.Second).Format(http.TimeFormat)
		}
		switch name {
		case "Cache-Control":
			r.Control.Parse([]byte(value))
		case "Age":
			r.SetAge([]byte(value))
		case "Date":
			r.SetDate(value)
		case "Expires":
			r.SetExpires(value)
		case "Last-Modified":
			r.SetLastModified(value)
		}
	}
	return r
}

// standardCases lists requirements of RFC 9111 (or 5861) on a shared cache, by section.
var standardCases = []struct {
	section, response, request string
	want                       Use
}{
	{"4.2.1 max-age", "Date: -10|Cache-Control: max-age=20", "", Fresh},
	{"4.2.1 max-age exceeded", "Date: -30|Cache-Control: max-age=20", "", Validate},
	{"4.2 stale once the age equals the lifetime", "Date: -20|Cache-Control: max-age=20", "", Validate},
	{"4.2.1 s-maxage first", "Date: -10|Cache-Control: max-age=20, s-maxage=5", "", Validate},
	{"4.2.1 s-maxage first, the longer", "Date: -10|Cache-Control: max-age=5, s-maxage=20", "", Fresh},
	{"4.2.1 max-age before Expires", "Date: -10|Expires: -5|Cache-Control: max-age=20", "", Fresh},
	{"4.2.1 Expires", "Date: -10|Expires: 5", "", Fresh},
	{"5.3 invalid Expires", "Date: -10|Expires: soon", "", Validate},
	{"5.3 Expires 0", "Date: -10|Expires: never 0", "", Validate},
	{"4.2.1 no explicit lifetime", "Date: -10", "", Validate},
	{"4.2.2 no heuristic by default", "Date: -10|Last-Modified: -100000", "", Validate},
	{"4.2.1 two max-ages that differ",
		"Date: -10|Cache-Control: max-age=20|Cache-Control: max-age=30", "", Validate},
	{"4.2.1 two equal max-ages", "Date: -10|Cache-Control: max-age=20, max-age=20", "", Fresh},
	{"4.2.1 invalid max-age", "Date: -10|Cache-Control: max-age=2x", "", Validate},
	{"5.2 quoted", `Date: -10|Cache-Control: max-age="20"`, "", Fresh},
	{"5.2 names are case-insensitive", "Date: -10|Cache-Control: MAX-AGE=20", "", Fresh},
	{"5.2.3 unknown directives", `Date: -10|Cache-Control: x="a, no-store", max-age=20, y`, "", Fresh},
	{"1.2.2 max-age that overflows", "Date: -10|Cache-Control: max-age=99999999999999999999", "", Fresh},
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
	{"5.2.1.2 invalid max-stale", "Date: -30|Cache-Control: max-age=20", "max-stale=x", Validate},
	{"5.2.1.1 max-age and max-stale", "Date: -14|Cache-Control: max-age=20", "max-age=5, max-stale=10", Fresh},
	{"5.2.1.1 older than both", "Date: -16|Cache-Control: max-age=20", "max-age=5, max-stale=10", Validate},
	{"4.2.4 must-revalidate", "Date: -30|Cache-Control: max-age=20, must-revalidate", "max-stale", Validate},
	{"4.2.4 proxy-revalidate", "Date: -30|Cache-Control: max-age=20, proxy-revalidate", "max-stale", Validate},
	{"5.2.2.10 s-maxage forbids stale responses", "Date: -30|Cache-Control: s-maxage=20", "max-stale", Validate},
	{"5861 stale-while-revalidate", "Date: -30|Cache-Control: max-age=20, stale-while-revalidate=10", "", Stale},
	{"5861 stale-while-revalidate, too old",
		"Date: -31|Cache-Control: max-age=20, stale-while-revalidate=10", "", Validate},
	{"5861 stale-if-error, no error", "Date: -30|Cache-Control: max-age=20, stale-if-error=10", "", Validate},
	{"5861 stale-if-error", "Date: -30|Cache-Control: max-age=20, stale-if-error=10", "failed", Stale},
	{"5861 stale-if-error, too old", "Date: -31|Cache-Control: max-age=20, stale-if-error=10", "failed", Validate},
	{"4.2.3 Age is older than Date", "Date: -1|Age: 30|Cache-Control: max-age=20", "", Validate},
	{"4.2.3 Date is older than Age", "Date: -30|Age: 1|Cache-Control: max-age=20", "", Validate},
	{"5.1 invalid Age", "Date: -1|Age: x|Cache-Control: max-age=20", "", Fresh},
	{"5.1 the first of two Ages", "Date: -1|Age: 30, 1|Cache-Control: max-age=20", "", Validate},
	{"1.2.2 an Age that overflows",
		"Date: -1|Age: 99999999999999999999|Cache-Control: max-age=4000000000", "", Validate},
}

// Each row is a requirement of RFC 9111 (or 5861) on a shared cache. The node serves responses whose use is Fresh or
// Stale.
func TestEvaluateFollowsRFC9111(t *testing.T) {
	for _, c := range standardCases {
		q := &Request{}
		q.Control.Parse([]byte(c.request))
		q.HasAuthorization = c.request == "Authorization"
		failed := c.request == "failed"
		v := Evaluate(q, responseOf(c.response), received, received, received, Rules{}, failed)
		if v.Use != c.want {
			t.Errorf("%s: %q for %q: %+v, want %v", c.section, c.response, c.request, v, c.want)
		}
	}
}

// If the operator enables it, a response without explicit lifetime gets one from its Last-Modified, up to a limit.
func TestHeuristicLifetime(t *testing.T) {
	rules := Rules{HeuristicFraction: 0.1, MaxHeuristicLifetime: time.Hour}
	evaluate := func(text string) Verdict {
		return Evaluate(&Request{}, responseOf(text), received, received, received, rules, false)
	}
	if v := evaluate("Date: -10|Last-Modified: -1000"); v.Use != Fresh || v.Lifetime != 99*time.Second {
		t.Errorf("%+v", v)
	}
	if v := evaluate("Date: -10|Last-Modified: -99999999"); v.Lifetime != time.Hour {
		t.Errorf("lifetime exceeds the limit: %+v", v)
	}
}

// For any server clock skew up to MaxClockSkew, with or without Age, no response is served past its allowed age as
// measured by the true clock, which the code under test cannot read. Age and Date have a resolution of one second.
func TestResponsesAreNotServedPastAllowedAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const clockOff = 30 // seconds
		drawTime := func(least, most int, name string) time.Duration {
			return time.Duration(rapid.IntRange(least*1000, most*1000).Draw(t, name)) * time.Millisecond
		}
		made := received.Add(-drawTime(0, 300, "true age on arrival"))
		skew := drawTime(-clockOff, clockOff, "clock skew")
		r := &Response{Status: 200, Date: made.Add(skew).Truncate(time.Second)}
		requested := received.Add(-drawTime(0, 5, "delay"))
		hasAge := rapid.Bool().Draw(t, "has Age")
		if hasAge { // the age known to the server when the request was sent, or later
			r.Age = DeltaSeconds{Present: true, Duration: max(0, requested.Sub(made)).Truncate(time.Second)}
		}
		maxAge := time.Duration(rapid.IntRange(0, 400).Draw(t, "max-age")) * time.Second
		r.Control.Parse(fmt.Appendf(nil, "max-age=%d", maxAge/time.Second))
		stale := time.Duration(rapid.IntRange(0, 60).Draw(t, "stale-while-revalidate")) * time.Second
		r.Control.Parse(fmt.Appendf(nil, "stale-while-revalidate=%d", stale/time.Second))
		now := received.Add(drawTime(0, 100, "time since arrival"))

		v := Evaluate(&Request{}, r, requested, received, now, Rules{MaxClockSkew: clockOff * time.Second}, false)
		trueAge := now.Sub(made)
		allowed := maxAge + time.Second
		if v.Use == Stale {
			allowed += stale
		}
		if (v.Use == Fresh || v.Use == Stale) && trueAge > allowed {
			t.Fatalf("served as %v at a true age of %v, allowed %v", v.Use, trueAge, allowed)
		}
		surelyFresh := trueAge+clockOff*time.Second+time.Second < maxAge
		if !hasAge && skew == 0 && v.Use == Validate && surelyFresh {
			t.Fatalf("validated at a true age of %v with a max-age of %v", trueAge, maxAge)
		}
	})
}
