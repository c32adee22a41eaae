package freshness

import "bytes"

// Directives holds the Cache-Control directives of a request or a response.
type Directives struct {
	MaxAge               DeltaSeconds
	SharedMaxAge         DeltaSeconds // s-maxage
	MinFresh             DeltaSeconds
	MaxStale             DeltaSeconds // MaxDelta if the directive has no value
	StaleWhileRevalidate DeltaSeconds // RFC 5861
	StaleIfError         DeltaSeconds // RFC 5861
	NoStore              bool
	NoCache              bool
	Private              bool
	Public               bool
	MustRevalidate       bool
	ProxyRevalidate      bool
	OnlyIfCached         bool
}

// Parse adds the directives of one field line. Names are case-insensitive, and unknown directives are ignored. A
// qualified no-cache or private counts as unqualified, the stricter reading that 5.2.2.4 and 5.2.2.7 allow.
func (d *Directives) Parse(line []byte) {
	for len(line) > 0 {
		var item directive
		item, line = cutDirective(line)
		flag, seconds := d.field(item.name)
		switch {
		case seconds == &d.MaxStale && !item.hasValue: // any staleness is accepted
			seconds.Present = true
			seconds.Duration = MaxDelta
		case seconds != nil:
			seconds.set(item.value, item.hasValue)
		case flag != nil:
			*flag = true
		}
	}
}

// field returns the field that stores a directive, either a flag or a number of seconds; both are nil if it is unknown.
func (d *Directives) field(name []byte) (*bool, *DeltaSeconds) {
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
	}
	return nil, nil
}

// directive is a token with an optional value after an equals sign.
type directive struct {
	name     []byte
	value    []byte // without quotes; 5.2 requires recipients to accept both forms
	hasValue bool
}

// cutDirective splits the first directive off a line. A comma within quotes does not end it.
func cutDirective(line []byte) (first directive, rest []byte) {
	end, equals := scanDirective(line)
	item := line[:end]
	if end < len(line) {
		rest = line[end+1:]
	}
	if equals < 0 {
		return directive{name: bytes.TrimSpace(item)}, rest
	}
	value := bytes.TrimSpace(item[equals+1:])
	if n := len(value); n >= 2 && value[0] == '"' && value[n-1] == '"' {
		value = value[1 : n-1]
	}
	return directive{name: bytes.TrimSpace(item[:equals]), value: value, hasValue: true}, rest
}

// scanDirective returns the end of the first directive of a line and the index of its equals sign, or -1 if it has
// none.
func scanDirective(line []byte) (end, equals int) {
	equals = -1
	quoted := false
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
			return i, equals
		}
	}
	return len(line), equals
}

// PragmaHasNoCache reports whether a Pragma field line contains no-cache. The field applies only to requests without
// Cache-Control (5.4).
func PragmaHasNoCache(line []byte) bool {
	var d Directives
	d.Parse(line)
	return d.NoCache
}
