package freshness

import (
	"bytes"
	"strconv"
)

// Key is the name under which every node finds the same holders for a target: host in lower case without the usual port,
// path and query with percent-encoding in one form (RFC 3986, 6.2.2). What a server may tell apart stays apart: the case of a
// path, the order of a query's parts, empty parts, dots. ok is false for a target that is no absolute path or URI of http.
func Key(host, target []byte) (key string, ok bool) {
	if rest, absolute := cutScheme(target); absolute { // the absolute form's authority counts, whatever Host says (RFC 9112, 3.2.2)
		at := bytes.IndexAny(rest, "/?")
		if at < 0 {
			at = len(rest)
		}
		host, target = rest[:at], rest[at:]
		if len(target) == 0 || target[0] == '?' {
			target = append([]byte("/"), target...)
		}
	}
	if len(target) == 0 || target[0] != '/' || bytes.IndexByte(target, '#') >= 0 || bytes.IndexByte(host, '@') >= 0 {
		return "", false
	}
	out := bytes.ToLower(bytes.TrimSuffix(bytes.TrimSpace(host), []byte(":80")))
	for i := 0; i < len(target); i++ {
		c := target[i]
		if c != '%' {
			out = append(out, c)
			continue
		}
		if i+2 >= len(target) {
			return "", false
		}
		n, err := strconv.ParseUint(string(target[i+1:i+3]), 16, 8)
		if err != nil {
			return "", false
		}
		i += 2
		if unreserved(byte(n)) {
			out = append(out, byte(n))
		} else {
			out = append(out, '%', hex[n>>4], hex[n&15])
		}
	}
	return string(out), true
}

const hex = "0123456789ABCDEF"

func unreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}

func cutScheme(target []byte) ([]byte, bool) {
	const scheme = "http://"
	if len(target) < len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
		return nil, false
	}
	return target[len(scheme):], true
}

// Matches tells whether a request selects the variant that another request was answered with (4.1): each field that the
// answer's Vary names says the same in both, white space and the split into lines apart. A star matches nothing.
func Matches(vary []byte, stored, asked func(name []byte) []byte) bool {
	for len(vary) > 0 {
		var name []byte
		name, vary, _ = bytes.Cut(vary, []byte(","))
		if name = bytes.TrimSpace(name); len(name) == 0 {
			continue
		}
		if len(name) == 1 && name[0] == '*' || !bytes.Equal(members(stored(name)), members(asked(name))) {
			return false
		}
	}
	return true
}

// members writes a list field in one form. One that is missing is not one that is empty.
func members(value []byte) (out []byte) {
	if value == nil {
		return nil
	}
	out = []byte{'='}
	for i, m := range bytes.Split(value, []byte(",")) {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, bytes.TrimSpace(m)...)
	}
	return out
}

// Safe tells whether a method asks for no effect (RFC 9110, 9.2.1). An answer to any other that is no error makes what is
// stored for its target unusable (4.4).
func Safe(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE"
}

// Invalidates tells whether an answer to a method makes what is stored for the target unusable.
func Invalidates(method string, status int) bool {
	return !Safe(method) && status >= 200 && status < 400
}
