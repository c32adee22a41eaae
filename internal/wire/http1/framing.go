package http1

import (
	"bytes"
	"net/http"
)

// maxLengthDigits limits the digits of a Content-Length, so that it fits an int64.
const maxLengthDigits = 18

// framing returns the length of the body in bytes, or that the body is chunked. It rejects all framing that two parsers
// may interpret differently: both Content-Length and Transfer-Encoding, two lengths even if they are equal, a list of
// lengths, a signed length, and a coding other than chunked.
func (q *Request) framing() (length int64, chunked bool, fault *Fault) {
	var lengthValue, codingValue []byte
	lengths := 0
	codings := 0
	q.Each(func(name, value []byte) {
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			lengthValue = value
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			codingValue = value
		}
	})
	switch {
	case lengths > 0 && codings > 0 || lengths > 1 || codings > 1:
		return 0, false, badRequest("a body with two lengths")
	case codings == 1 && !bytes.EqualFold(codingValue, []byte("chunked")):
		return 0, false, &Fault{http.StatusNotImplemented, "a transfer coding that is not known"}
	case codings == 1:
		return 0, true, nil
	case lengths == 0:
		return 0, false, nil
	}
	length, ok := parseLength(lengthValue)
	if !ok {
		return 0, false, badRequest("a length that can't be read")
	}
	return length, false, nil
}

func parseLength(digits []byte) (length int64, ok bool) {
	if len(digits) == 0 || len(digits) > maxLengthDigits {
		return 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		length = length*10 + int64(c-'0')
	}
	return length, true
}
