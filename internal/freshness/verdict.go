package freshness

import "time"

// Use states how a response may be used. Lower values are more permissive.
type Use int

// The permitted uses of a response.
const (
	Fresh    Use = iota // may be served
	Stale               // may be served although stale, as the client or the server allows
	Validate            // may be served only after validation with the server
	Never               // must not be used for this request: ask another replica or the origin
)

// Verdict is the permitted use of a response and the reason for it.
type Verdict struct {
	Use      Use
	Reason   string // for the log and Cache-Status
	Age      time.Duration
	Lifetime time.Duration
}

// Evaluate decides whether a response may be served for a request. requested and received are the times at which the
// request was sent and its response arrived. failed reports that revalidation got no answer or an error, in which case
// stale-if-error may apply.
func Evaluate(q *Request, r *Response, requested, received, now time.Time, rules Rules, failed bool) Verdict {
	lifetime, _ := r.Lifetime(received, rules)
	v := Verdict{Age: r.CurrentAge(requested, received, now, rules), Lifetime: lifetime}
	v.Use, v.Reason = forbidden(q, r)
	if v.Reason != "" {
		return v
	}
	v.Use, v.Reason = v.byAge(q, r, failed)
	return v
}

// forbidden returns the use and the reason if a directive forbids serving the response at any age. The reason is empty
// if none does.
func forbidden(q *Request, r *Response) (Use, string) {
	mayReuseAuthorized := r.Control.Public || r.Control.MustRevalidate || r.Control.SharedMaxAge.Present
	switch {
	case r.Control.NoStore:
		return Never, "no-store"
	case r.Control.Private: // 5.2.2.7: not for a shared cache
		return Never, "private"
	case q.HasAuthorization && !mayReuseAuthorized: // 3.5
		return Never, "authorization"
	case r.Control.NoCache:
		return Validate, "no-cache"
	case q.Control.NoCache:
		return Validate, "request no-cache"
	case q.Control.MaxAge.Invalid || q.Control.MinFresh.Invalid:
		return Validate, "request directive"
	}
	return Fresh, ""
}

// byAge decides by the age and the lifetime of a response.
func (v *Verdict) byAge(q *Request, r *Response, failed bool) (Use, string) {
	request := &q.Control
	response := &r.Control
	// These directives forbid serving a stale response, and s-maxage implies that (4.2.4, 5.2.2.10).
	mustRevalidate := response.MustRevalidate || response.ProxyRevalidate || response.SharedMaxAge.Present
	staleness := v.Age - v.Lifetime
	switch {
	case request.MaxAge.Present && v.Age > request.MaxAge.Duration+maxStale(q): // max-stale extends max-age (5.2.1.1)
		return Validate, "request max-age"
	case request.MinFresh.Present && v.Lifetime-v.Age < request.MinFresh.Duration:
		return Validate, "request min-fresh"
	case v.Age < v.Lifetime:
		return Fresh, "fresh"
	case mustRevalidate:
		return Validate, "must-revalidate"
	case request.MaxStale.allows(staleness):
		return Stale, "request max-stale"
	case failed && (response.StaleIfError.allows(staleness) || request.StaleIfError.allows(staleness)):
		return Stale, "stale-if-error"
	case response.StaleWhileRevalidate.allows(staleness):
		return Stale, "stale-while-revalidate"
	}
	return Validate, "stale"
}

// maxStale returns how far beyond max-age the request accepts a response.
func maxStale(q *Request) time.Duration {
	if s := q.Control.MaxStale; s.Present && !s.Invalid {
		return s.Duration
	}
	return 0
}
