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

// How clients of HTTP say what a try is. The node is told so by its operator's file.
const (
	Path        = "/k/"
	ReadyPath   = "/ready"
	IDHeader    = "X-Id"
	GradeHeader = "X-Grade"
	WaitHeader  = "X-Wait-Ms"
	LabelHeader = "Idempotency-Key"
)

// Tag names a value, as a cache does.
func Tag(value string) string { return strconv.Quote(value) }

// request is a try as it is sent.
func (a *Ask) request() string {
	method, more := "GET", ""
	if a.Write {
		method, more = "POST", fmt.Sprintf("Content-Length: %d\r\n", len(a.Value))
	}
	if a.Label != "" {
		more += LabelHeader + ": " + a.Label + "\r\n"
	}
	if a.Holds != "" {
		more += "If-None-Match: " + Tag(a.Holds) + "\r\n"
	}
	return fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: n\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s", method, Path, a.Key, IDHeader, a.ID,
		GradeHeader, a.Grade, WaitHeader, max(1, a.Wait.Milliseconds()), more, a.Value)
}

// readHTTP reads the answer to a try.
func readHTTP(r *bufio.Reader, a *Ask) (answer Answer, err error) {
	method := "GET"
	if a.Write {
		method = "POST"
	}
	said, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer, err
	}
	body, err := io.ReadAll(io.LimitReader(said.Body, mostValue))
	if err != nil {
		return answer, err
	}
	answer.last, answer.Final = said.Close, checker.Failed
	switch said.StatusCode {
	case http.StatusOK:
		answer.Final, answer.Value = checker.Satisfied, string(body)
	case http.StatusNotModified:
		if answer.Final, answer.Value = checker.Satisfied, a.Holds; a.Holds == "" {
			answer.Wrong = "a 304 that was not asked for"
		}
	case http.StatusServiceUnavailable:
		answer.Final = checker.Rejected
		back, _ := strconv.Atoi(said.Header.Get("Retry-After"))
		answer.ComeBack = time.Duration(back) * time.Second
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		answer.Wrong = "the answer is " + strings.TrimSpace(said.Status)
	}
	return answer, nil
}
