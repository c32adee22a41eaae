package freshness

import (
	"bytes"
	"net/http"
	"time"
)

// Rules are what an operator states about the age of responses.
type Rules struct {
	// MaxClockSkew is how far a server's clock may be off. Where a response has no usable Age, only its Date tells how old
	// it is: it counts as that much older, so that it is never served past its allowed age.
	MaxClockSkew time.Duration
	// HeuristicFraction is the share of the time since Last-Modified for which a response that says nothing is fresh; 0 for
	// none.
	HeuristicFraction float64
	// MaxHeuristicLifetime bounds the lifetime that follows from Heuristic.
	MaxHeuristicLifetime time.Duration
}

// Request is what a client's request says, as far as it matters.
type Request struct {
	Control          Directives
	HasAuthorization bool // it has Authorization
}

// Response is what a server's response says, as far as it matters.
type Response struct {
	Status         int
	Control        Directives
	Age            DeltaSeconds // the field's first value; not given where it is missing or no number (5.1)
	Date           time.Time    // zero where it is missing or no date
	Expires        time.Time    // zero where it is missing
	InvalidExpires bool         // Expires is there and no date, which means long ago (5.3)
	LastModified   time.Time    // Last-Modified; zero where it is missing or no date
}

// SetAge takes the value of the field Age. Of several numbers the first counts.
func (r *Response) SetAge(line []byte) {
	first, _, _ := bytes.Cut(line, []byte(","))
	if d, ok := Seconds(bytes.TrimSpace(first)); ok {
		r.Age = DeltaSeconds{Present: true, Duration: d}
	}
}

// SetDate takes the value of the field Date; one that is no date counts as missing.
func (r *Response) SetDate(line string) { r.Date, _ = http.ParseTime(line) }

// SetLastModified takes the value of the field Last-Modified; one that is no date counts as missing.
func (r *Response) SetLastModified(line string) { r.LastModified, _ = http.ParseTime(line) }

// SetExpires takes the value of the field Expires.
func (r *Response) SetExpires(line string) {
	var err error
	r.Expires, err = http.ParseTime(line)
	r.InvalidExpires = err != nil
}

// CurrentAge returns the response's age now (4.2.3). requested and received are when the request was sent and its
// response arrived. Nothing makes a response younger than its Age says, or than its Date does.
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

// Lifetime returns for how long the response is fresh (4.2.1), and whether it says so itself.
func (r *Response) Lifetime(received time.Time, rules Rules) (lifetime time.Duration, stated bool) {
	for _, span := range []DeltaSeconds{r.Control.SharedMaxAge, r.Control.MaxAge} {
		switch {
		case span.Invalid: // what can't be trusted is stale
			return 0, true
		case span.Present:
			return span.Duration, true
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
	case rules.HeuristicFraction > 0 && !r.LastModified.IsZero() && hasHeuristicLifetime(r.Status) && !r.Control.NoCache:
		guess := time.Duration(rules.HeuristicFraction * float64(bounded(date.Sub(r.LastModified))))
		return min(guess, rules.MaxHeuristicLifetime), false
	}
	return 0, false
}

// hasHeuristicLifetime reports whether the lifetime of a status may be guessed (RFC 9110, 15.1).
func hasHeuristicLifetime(status int) bool {
	switch status {
	case 200, 203, 204, 206, 300, 301, 308, 404, 405, 410, 414, 501:
		return true
	}
	return false
}
