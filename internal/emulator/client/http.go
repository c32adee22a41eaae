package client

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/emulator/checker"
)

// The paths and header names of HTTP clients. The operator's file configures a node to use the same ones.
const (
	PathPrefix           = "/k/" // followed by the key
	ReadyPath            = "/ready"
	IDHeader             = "X-Id"
	ClassHeader          = "X-Grade"
	TimeoutHeader        = "X-Wait-Ms"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// ReadContent is content for a read. It has the form of a write that no client sends: a server that carries it out
// reports an attempt that matches no client request.
const ReadContent = "PUT /content-of-a-read HTTP/1.1\r\n" +
	"Host: n\r\n" + IDHeader + ": content\r\nContent-Length: 0\r\n\r\n"

// ETag returns the entity tag that caches assign to a value.
func ETag(value string) string { return strconv.Quote(value) }

// encodeHTTP encodes a request as an HTTP/1.1 message.
func encodeHTTP(r *Request) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s%s HTTP/1.1\r\nHost: n\r\n", methodOf(r), PathPrefix, r.Key)
	header := func(name string, value any) { fmt.Fprintf(&text, "%s: %v\r\n", name, value) }
	header(IDHeader, r.ID)
	header(ClassHeader, r.Class)
	header(TimeoutHeader, max(1, r.Timeout.Milliseconds()))
	if r.Write || r.Value != "" {
		header("Content-Length", len(r.Value))
	}
	if r.IdempotencyKey != "" {
		header(IdempotencyKeyHeader, r.IdempotencyKey)
	}
	if r.CachedValue != "" {
		header("If-None-Match", ETag(r.CachedValue))
	}
	text.WriteString("\r\n" + r.Value)
	return text.String()
}

func methodOf(r *Request) string {
	if r.Write {
		return http.MethodPost
	}
	return http.MethodGet
}

// readHTTP reads the HTTP response to a request.
func readHTTP(in *bufio.Reader, r *Request) (Response, error) {
	httpResponse, err := http.ReadResponse(in, &http.Request{Method: methodOf(r)})
	if err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxValueSize))
	if err != nil {
		return Response{}, err
	}
	response := Response{Final: checker.Failed, closes: httpResponse.Close}
	switch httpResponse.StatusCode {
	case http.StatusOK:
		response.Final = checker.Satisfied
		response.Value = string(body)
	case http.StatusNotModified:
		response.Final = checker.Satisfied
		response.Value = r.CachedValue
		if r.CachedValue == "" {
			response.InvalidReason = "the response is 304 Not Modified, but the request was not conditional"
		}
	case http.StatusServiceUnavailable:
		response.Final = checker.Rejected
		seconds, _ := strconv.Atoi(httpResponse.Header.Get("Retry-After"))
		response.RetryAfter = time.Duration(seconds) * time.Second
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		response.InvalidReason = "the response has the unexpected status " + strings.TrimSpace(httpResponse.Status)
	}
	return response, nil
}
