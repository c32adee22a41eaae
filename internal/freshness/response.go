package freshness

import (
	"bytes"
	"net/http"
	"time"
)

// Rules holds an operator's settings for the age of responses.
type Rules struct {
	// MaxClockSkew is the largest expected error of a server's clock. If a response has no usable Age, only its Date
	// indicates its age; the response then counts as older by MaxClockSkew, so that it is never served past its allowed
	// age.
	MaxClockSkew time.Duration
	// HeuristicFraction is the fraction of the time since Last-Modified for which a response without explicit
	// expiration is fresh; 0 disables heuristic freshness.
	HeuristicFraction float64
	// MaxHeuristicLifetime limits the lifetime computed from HeuristicFraction.
	MaxHeuristicLifetime time.Duration
}

// Request holds the parts of a client's request that affect freshness.
type Request struct {
	Control          Directives
	HasAuthorization bool // the request has an Authorization field
}

// Response holds the parts of a server's response that affect freshness.
type Response struct {
	Status         int
	Control        Directives
	Age            DeltaSeconds // first value of the field; not present if missing or not a number (5.1)
	Date           time.Time    // zero if missing or not a date
	Expires        time.Time    // zero if missing or not a date
	InvalidExpires bool         // Expires is present but not a date, which means already expired (5.3)
	LastModified   time.Time    // zero if missing or not a date
}

// SetAge parses the value of the Age field. Of several numbers it uses the first.
func (r *Response) SetAge(line []byte) {
	first, _, _ := bytes.Cut(line, []byte(","))
	if d, ok := ParseDeltaSeconds(bytes.TrimSpace(first)); ok {
		r.Age = DeltaSeconds{Present: true, Duration: d}
	}
}

// SetDate parses the value of the Date field; an invalid date counts as missing.
func (r *Response) SetDate(line string) { r.Date, _ = http.ParseTime(line) }

// SetLastModified parses the value of the Last-Modified field; an invalid date counts as missing.
func (r *Response) SetLastModified(line string) { r.LastModified, _ = http.ParseTime(line) }

// SetExpires parses the value of the Expires field; an invalid date sets InvalidExpires.
func (r *Response) SetExpires(line string) {
	var err error
	r.Expires, err = http.ParseTime(line)
	r.InvalidExpires = err != nil
}

// CurrentAge returns the age of the response at now (4.2.3). requested and received are the times at which the request
// was sent and its response arrived. The age is at least that indicated by Age and at least that indicated by Date.
func (r *Response) CurrentAge(requested, received, now time.Time, rules Rules) time.Duration {
	age := time.Duration(0)
	if !r.Date.IsZero() {
		age = bounded(received.Sub(r.Date))
		if !r.Age.Present {
			age = bounded(received.Sub(r.Date) + rules.MaxClockSkew)
		}
	}
	if r.Age.Present {
		delay := max(0, received.Sub(requested))
		age = max(age, bounded(r.Age.Duration+delay))
	}
	resident := max(0, now.Sub(received))
	return bounded(age + resident)
}

// Lifetime returns the freshness lifetime of the response (4.2.1), and whether the response states it explicitly.
func (r *Response) Lifetime(received time.Time, rules Rules) (lifetime time.Duration, stated bool) {
	for _, seconds := range []DeltaSeconds{r.Control.SharedMaxAge, r.Control.MaxAge} {
		switch {
		case seconds.Invalid: // an invalid lifetime counts as stale
			return 0, true
		case seconds.Present:
			return seconds.Duration, true
		}
	}
	date := r.Date
	if date.IsZero() {
		date = received
	}
	switch {
	case r.InvalidExpires:
		return 0, true
	case !r.Expires.IsZero():
		return bounded(r.Expires.Sub(date)), true
	case rules.HeuristicFraction > 0 && !r.LastModified.IsZero() && hasHeuristicLifetime(r.Status) &&
		!r.Control.NoCache:
		guess := time.Duration(rules.HeuristicFraction * float64(bounded(date.Sub(r.LastModified))))
		return min(guess, rules.MaxHeuristicLifetime), false
	}
	return 0, false
}

// hasHeuristicLifetime reports whether a status is heuristically cacheable (RFC 9110, 15.1).
func hasHeuristicLifetime(status int) bool {
	switch status {
	case 200, 203, 204, 206, 300, 301, 308, 404, 405, 410, 414, 501:
		return true
	}
	return false
}
