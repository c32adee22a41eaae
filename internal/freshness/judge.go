package freshness

import (
	"bytes"
	"net/http"
	"time"
)

// Rules are what an operator states.
type Rules struct {
	// ClockOff is how far a server's clock may be off. Where a response has no usable Age, only its Date tells how old it
	// is: it counts as that much older, so that it is never served past its allowed age.
	ClockOff time.Duration
	// Heuristic is the share of the time since Last-Modified for which a response without any statement is fresh; 0: none.
	Heuristic float64
	// MostHeuristic bounds that.
	MostHeuristic time.Duration
}

// Request is what the client's request says, as far as it matters.
type Request struct {
	Control    Directives
	Authorized bool // it has Authorization
}

// Response is what a server's answer says, as far as it matters.
type Response struct {
	Status  int
	Control Directives
	// Age is the field's first value; not given where it is missing, and ignored where it is no number (5.1).
	Age Span
	// Date, Expires and Modified are zero where they are missing. BadDate: it stands, and is none. BadExpires: the same,
	// which means long ago (5.3).
	Date, Expires, Modified time.Time
	BadExpires              bool
}

// SetAge takes the Age field's line. Of several values the first counts.
func (r *Response) SetAge(line []byte) {
	first, _, _ := bytes.Cut(line, []byte(","))
	if d, ok := Seconds(bytes.TrimSpace(first)); ok {
		r.Age = Span{Given: true, For: d}
	}
}

// SetDate takes the Date field's line; one that is no date counts as missing.
func (r *Response) SetDate(line string) { r.Date, _ = http.ParseTime(line) }

// SetModified takes the Last-Modified field's line; one that is no date counts as missing.
func (r *Response) SetModified(line string) { r.Modified, _ = http.ParseTime(line) }

// SetExpires takes the Expires field's line.
func (r *Response) SetExpires(line string) {
	var err error
	r.Expires, err = http.ParseTime(line)
	r.BadExpires = err != nil
}

// Use is what may be done with an answer.
type Use int

const (
	Fresh    Use = iota // served
	Stale               // served, though stale: somebody allows it
	Validate            // not without asking whether it still holds
	Never               // not for this request: another holder or the origin is to be asked
)

func (u Use) String() string { return [...]string{"fresh", "stale", "validate", "never"}[u] }

// Verdict is a judgement.
type Verdict struct {
	Use      Use
	Why      string // a word for the log and Cache-Status
	Age      time.Duration
	Lifetime time.Duration
}

// CurrentAge is the response's age now (4.2.3): asked and came are when the request went out and its answer came. Nothing in it
// can make a response look younger than its Age says, or than its Date does.
func (r *Response) CurrentAge(asked, came, now time.Time, rules Rules) time.Duration {
	age := time.Duration(0)
	if !r.Date.IsZero() {
		age = bounded(came.Sub(r.Date))
		if !r.Age.Given {
			age = bounded(came.Sub(r.Date) + rules.ClockOff)
		}
	}
	if r.Age.Given {
		age = max(age, bounded(r.Age.For+max(0, came.Sub(asked))))
	}
	return bounded(age + max(0, now.Sub(came)))
}

func bounded(d time.Duration) time.Duration { return min(max(0, d), Most) }

// Lifetime is for how long the response is fresh (4.2.1), and whether it says so itself.
func (r *Response) Lifetime(came time.Time, rules Rules) (fresh time.Duration, stated bool) {
	for _, s := range []Span{r.Control.SharedMaxAge, r.Control.MaxAge} {
		if s.Given {
			if s.Bad {
				return 0, true // 4.2.1: what can't be trusted is stale
			}
			return s.For, true
		}
	}
	date := r.Date
	if date.IsZero() {
		date = came
	}
	switch {
	case r.BadExpires:
		return 0, true
	case !r.Expires.IsZero():
		return bounded(r.Expires.Sub(date)), true
	case rules.Heuristic > 0 && !r.Modified.IsZero() && heuristic[r.Status] && !r.Control.NoCache:
		guess := time.Duration(rules.Heuristic * float64(bounded(date.Sub(r.Modified))))
		return min(guess, rules.MostHeuristic), false
	}
	return 0, false
}

// heuristic are the status codes that may be guessed for (RFC 9110, 15.1).
var heuristic = map[int]bool{200: true, 203: true, 204: true, 206: true, 300: true, 301: true, 308: true, 404: true, 405: true,
	410: true, 414: true, 501: true}

// Judge tells whether a stored response may answer a request. failed says that whoever could tell more did not answer, or
// with an error: stale-if-error may apply then.
func Judge(q *Request, r *Response, asked, came, now time.Time, rules Rules, failed bool) Verdict {
	v := Verdict{Age: r.CurrentAge(asked, came, now, rules)}
	v.Lifetime, _ = r.Lifetime(came, rules)
	is := func(u Use, why string) Verdict { v.Use, v.Why = u, why; return v }
	switch {
	case r.Control.NoStore:
		return is(Never, "no-store")
	case r.Control.Private: // 5.2.2.7: not for a shared cache
		return is(Never, "private")
	case q.Authorized && !r.Control.Public && !r.Control.MustRevalidate && !r.Control.SharedMaxAge.Given: // 3.5
		return is(Never, "authorization")
	case r.Control.NoCache:
		return is(Validate, "no-cache")
	case q.Control.NoCache:
		return is(Validate, "request no-cache")
	case q.Control.MaxAge.Bad || q.Control.MinFresh.Bad:
		return is(Validate, "request directive")
	case q.Control.MaxAge.Given && v.Age > q.Control.MaxAge.For+staleFor(q.Control.MaxStale): // both: 5.2.1.1
		return is(Validate, "request max-age")
	case q.Control.MinFresh.Given && v.Lifetime-v.Age < q.Control.MinFresh.For:
		return is(Validate, "request min-fresh")
	case v.Age < v.Lifetime:
		return is(Fresh, "fresh")
	case r.Control.MustRevalidate || r.Control.ProxyRevalidate || r.Control.SharedMaxAge.Given: // 4.2.4, 5.2.2.10
		return is(Validate, "must-revalidate")
	}
	over := v.Age - v.Lifetime
	allows := func(s Span) bool { return s.Given && !s.Bad && over <= s.For }
	switch {
	case allows(q.Control.MaxStale):
		return is(Stale, "request max-stale")
	case failed && (allows(r.Control.StaleIfError) || allows(q.Control.StaleIfError)):
		return is(Stale, "stale-if-error")
	case allows(r.Control.StaleWhileRevalidate):
		return is(Stale, "stale-while-revalidate")
	}
	return is(Validate, "stale")
}

// staleFor is how much older than its max-age a request takes an answer.
func staleFor(s Span) time.Duration {
	if s.Given && !s.Bad {
		return s.For
	}
	return 0
}
