package freshness

import "bytes"

// Directives are what Cache-Control says, in a request or a response.
type Directives struct {
	MaxAge               DeltaSeconds
	SharedMaxAge         DeltaSeconds // s-maxage
	MinFresh             DeltaSeconds
	MaxStale             DeltaSeconds // without a value: Most
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

// Parse adds the directives of one field line. Names are compared without case, and unknown ones are passed over. A
// qualified no-cache or private counts as an unqualified one: the stricter reading, which 5.2.2.4 and 5.2.2.7 allow.
func (d *Directives) Parse(line []byte) {
	for len(line) > 0 {
		var item directive
		item, line = cutDirective(line)
		flag, span := d.field(item.name)
		switch {
		case span == &d.MaxStale && !item.hasValue: // any age
			span.Present = true
			span.Duration = MaxDeltaSeconds
		case span != nil:
			span.set(item.value, item.hasValue)
		case flag != nil:
			*flag = true
		}
	}
}

// field returns where a directive is kept: a flag, a span or, for an unknown one, neither.
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

// directive is a token, perhaps with a value behind an equals sign.
type directive struct {
	name     []byte
	value    []byte // without quotes: 5.2 has recipients accept both forms
	hasValue bool
}

// cutDirective cuts the first directive off a line. A comma within quotes is no end.
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

// scanDirective returns where the first directive of a line ends, and where its equals sign is; -1 for none.
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

// Pragma reports whether a line of HTTP/1.0's field says no-cache. It counts where there is no Cache-Control (5.4).
func Pragma(line []byte) bool {
	var d Directives
	d.Parse(line)
	return d.NoCache
}
