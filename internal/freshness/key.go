package freshness

import (
	"bytes"
	"strconv"
)

// CacheKey returns the cache key of a target, by which every node finds the same replicas: the host in lower case
// without the default port, then path and query with normalized percent-encoding (RFC 3986, 6.2.2). Differences that a
// server may treat as significant lead to different keys: the case of a path, the order of query parameters, empty
// components and dot segments. ok is false if the target is neither an absolute path nor an http URI.
func CacheKey(host, target []byte) (key string, ok bool) {
	if rest, isAbsolute := cutScheme(target); isAbsolute {
		host, target = splitAuthority(rest)
	}
	if len(target) == 0 || target[0] != '/' {
		return "", false
	}
	if bytes.IndexByte(target, '#') >= 0 || bytes.IndexByte(host, '@') >= 0 {
		return "", false
	}
	out := bytes.ToLower(bytes.TrimSuffix(bytes.TrimSpace(host), []byte(":80")))
	out, ok = appendNormalized(out, target)
	if !ok {
		return "", false
	}
	return string(out), true
}

// splitAuthority splits a URI without its scheme. The authority overrides the Host field (RFC 9112, 3.2.2).
func splitAuthority(rest []byte) (host, target []byte) {
	end := bytes.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	host = rest[:end]
	target = rest[end:]
	if len(target) == 0 || target[0] == '?' {
		target = append([]byte("/"), target...)
	}
	return host, target
}

// appendNormalized appends a path and query with normalized percent-encoding. It returns false if the percent-encoding
// is malformed.
func appendNormalized(out, target []byte) ([]byte, bool) {
	for i := 0; i < len(target); i++ {
		c := target[i]
		if c != '%' {
			out = append(out, c)
			continue
		}
		if i+2 >= len(target) {
			return nil, false
		}
		n, err := strconv.ParseUint(string(target[i+1:i+3]), 16, 8)
		if err != nil {
			return nil, false
		}
		i += 2
		if isUnreserved(byte(n)) {
			out = append(out, byte(n))
		} else {
			out = append(out, '%', hexDigits[n>>4], hexDigits[n&15])
		}
	}
	return out, true
}

const hexDigits = "0123456789ABCDEF"

// isUnreserved reports whether a character is equivalent to its percent-encoded form (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '.' || c == '_' || c == '~'
}

// cutScheme removes the http scheme from a URI, and returns false if the URI has another scheme or none.
func cutScheme(target []byte) ([]byte, bool) {
	const scheme = "http://"
	if len(target) < len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
		return nil, false
	}
	return target[len(scheme):], true
}
