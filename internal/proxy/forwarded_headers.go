package proxy

import (
	"bytes"

	"dahliapin/internal/wire/http1"
)

// hopByHopHeaders are the fields that are not forwarded: hop-by-hop fields (RFC 9110, section 7.6.1), those that each
// sender states for itself, and those of features that no node forwards, which are ranges and Expect.
var hopByHopHeaders = map[string]bool{
	"connection":          true,
	"content-length":      true,
	"expect":              true,
	"host":                true,
	"if-range":            true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"range":               true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
}

// appendForwarded appends the header lines that are forwarded, without those that the Connection field names. To
// prevent response splitting, it omits a line in which another parser may see the end of a line.
func appendForwarded(to []byte, each func(func(name, value []byte)), connection []byte) []byte {
	each(func(name, value []byte) {
		isHopByHop := hopByHopHeaders[string(bytes.ToLower(name))] || http1.HasToken(connection, string(name))
		if isHopByHop || !http1.IsField(name, value) {
			return
		}
		to = append(to, name...)
		to = append(to, ": "...)
		to = append(to, value...)
		to = append(to, "\r\n"...)
	})
	return to
}
