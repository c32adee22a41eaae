// Package freshness judges, as RFC 9111 has it for a shared cache, whether what a server answers may be served: how old it
// is, how long it is fresh, and whether it may be served stale. It does no I/O and keeps nothing; times are arguments.
package freshness

import (
	"bytes"
	"time"
)

// Most is what any number of seconds that is too great counts as (RFC 9111, 1.2.2).
const Most = (1 << 31) * time.Second

// Span is a number of seconds that a directive or field gives.
type Span struct {
	Given bool
	Bad   bool // what is given is no number, or says different things
	For   time.Duration
}

// put takes a value; a second one that differs, or one that is no number, makes the whole untrustworthy.
func (s *Span) put(value []byte, has bool) {
	d, ok := Seconds(value)
	if !has || !ok || s.Given && d != s.For {
		s.Given, s.Bad = true, true
		return
	}
	s.Given, s.For = true, d
}

// Directives are what Cache-Control says, on either side.
type Directives struct {
	MaxAge, SharedMaxAge, MinFresh, MaxStale Span // MaxStale given and not bad with Most: any
	StaleWhileRevalidate, StaleIfError       Span // RFC 5861
	NoStore, NoCache, Private, Public        bool
	MustRevalidate, ProxyRevalidate          bool
	OnlyIfCached, MustUnderstand             bool
}

// Seconds reads delta-seconds: digits only; what is too great counts as Most.
func Seconds(b []byte) (time.Duration, bool) {
	if len(b) == 0 {
		return 0, false
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		if n = n*10 + int64(c-'0'); n > int64(Most/time.Second) {
			n = int64(Most / time.Second)
		}
	}
	return time.Duration(n) * time.Second, true
}

// Read adds one field line's directives. Names are compared without case; unknown ones are passed over; a qualified
// no-cache or private counts as an unqualified one, which is the stricter reading that 5.2.2.4 and 5.2.2.7 allow.
func (d *Directives) Read(line []byte) {
	for len(line) > 0 {
		var name, value []byte
		var has bool
		name, value, has, line = next(line)
		switch flag, span := d.field(name); {
		case span != nil && span == &d.MaxStale && !has: // any age
			span.Given, span.For = true, Most
		case span != nil:
			span.put(value, has)
		case flag != nil:
			*flag = true
		}
	}
}

func (d *Directives) field(name []byte) (*bool, *Span) {
	switch string(bytes.ToLower(name)) {
	case "max-age":
		return nil, &d.MaxAge
	case "s-maxage":
		return nil, &d.SharedMaxAge
	case "min-fresh":
		return nil, &d.MinFresh
	case "max-stale":
		return nil, &d.MaxStale
	case "stale-while-revalidate":
		return nil, &d.StaleWhileRevalidate
	case "stale-if-error":
		return nil, &d.StaleIfError
	case "no-store":
		return &d.NoStore, nil
	case "no-cache":
		return &d.NoCache, nil
	case "private":
		return &d.Private, nil
	case "public":
		return &d.Public, nil
	case "must-revalidate":
		return &d.MustRevalidate, nil
	case "proxy-revalidate":
		return &d.ProxyRevalidate, nil
	case "only-if-cached":
		return &d.OnlyIfCached, nil
	case "must-understand":
		return &d.MustUnderstand, nil
	}
	return nil, nil
}

// next cuts the first directive off a line: a token, perhaps with a token or a quoted string behind an equals sign. A comma
// within quotes is no end.
func next(line []byte) (name, value []byte, has bool, rest []byte) {
	quoted, end, equals := false, len(line), -1
	for i := 0; i < len(line); i++ {
		switch c := line[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '=' && equals < 0:
			equals = i
		case c == ',':
			end = i
		}
		if end < len(line) {
			break
		}
	}
	item := line[:end]
	if end < len(line) {
		rest = line[end+1:]
	}
	if equals < 0 {
		return bytes.TrimSpace(item), nil, false, rest
	}
	value = bytes.TrimSpace(item[equals+1:])
	if n := len(value); n >= 2 && value[0] == '"' && value[n-1] == '"' { // 5.2: recipients accept both forms
		value = value[1 : n-1]
	}
	return bytes.TrimSpace(item[:equals]), value, true, rest
}

// Pragma tells whether the field of HTTP/1.0 says no-cache. It counts where there is no Cache-Control (5.4).
func Pragma(line []byte) bool {
	var d Directives
	d.Read(line)
	return d.NoCache
}
