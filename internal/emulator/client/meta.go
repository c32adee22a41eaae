package client

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/emulator/checker"
)

const (
	// streamedValueSize is the size, in bytes, above which a node may stream a value instead of buffering it.
	streamedValueSize = 64 << 10
	// maxValueSize is the size, in bytes, above which a value is not accepted.
	maxValueSize = 4<<20 + 1<<10

	idFlag      = 'O' // the request ID, which the response repeats
	receiptFlag = 'c' // the receipt, in the response to a write
	lineEnd     = "\r\n"
)

// encodeMeta encodes a request as a meta command.
func encodeMeta(r *Request) string {
	items := fmt.Sprintf("Pc=%s,d=%d", r.Class, max(1, r.Timeout.Milliseconds()))
	if r.IdempotencyKey != "" {
		items += ",k=" + r.IdempotencyKey
	}
	if r.Retry {
		items += ",r=1"
	}
	if r.Write {
		return fmt.Sprintf("ms %s %d O%s %s\r\n%s\r\n", r.Key, len(r.Value), r.ID, items, r.Value)
	}
	return fmt.Sprintf("mg %s v O%s %s\r\n", r.Key, r.ID, items)
}

// readMeta reads the response to a meta command.
func readMeta(in *bufio.Reader, r *Request) (Response, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return Response{}, err
	}
	words := strings.Fields(line)
	status, flags := "", []string(nil)
	if len(words) >= 2 {
		status, flags = words[0], words[1:]
	}
	switch {
	case status == "VA" && !r.Write:
		response, err := readValue(in, flags[0])
		if err == nil && response.Final == checker.Satisfied {
			response.checkID(r, flags)
		}
		return response, err
	case status == "HD" && r.Write:
		response := Response{Final: checker.Satisfied, Value: flagValue(flags, receiptFlag)}
		response.checkID(r, flags)
		return response, nil
	case status == "SERVER_ERROR" && flags[0] == "busy":
		return Response{Final: checker.Rejected, RetryAfter: retryAfterOf(flags[1:])}, nil
	case isError(status):
		return Response{Final: checker.Failed}, nil
	}
	reason := fmt.Sprintf("the response begins with the unexpected line %.99q", strings.TrimSpace(line))
	return Response{Final: checker.Failed, InvalidReason: reason}, nil
}

// isError reports whether a response begins with the word of an error and has a text that describes it.
func isError(status string) bool { return status == "SERVER_ERROR" || status == "CLIENT_ERROR" }

// readValue reads a value of the given size in bytes. A node streams values above streamedValueSize, so that such a
// value may be truncated by a closed connection. The reader detects this by the size, and the request counts as failed.
func readValue(in *bufio.Reader, size string) (Response, error) {
	length, err := strconv.Atoi(size)
	if err != nil || length < 0 || length > maxValueSize {
		return Response{}, fmt.Errorf("the value size %q is not a number from 0 to %d bytes", size, maxValueSize)
	}
	value := make([]byte, length+len(lineEnd))
	if _, err := io.ReadFull(in, value); err != nil {
		if length > streamedValueSize && !isTimeout(err) {
			return Response{Final: checker.Failed, closes: true}, nil
		}
		return Response{}, err
	}
	response := Response{Final: checker.Satisfied, Value: string(value[:length])}
	if !bytes.HasSuffix(value, []byte(lineEnd)) {
		response.InvalidReason = "the value is not followed by CRLF"
	}
	return response, nil
}

// checkID marks the response as invalid if its ID is not that of the request.
func (response *Response) checkID(r *Request, flags []string) {
	if id := firstFlagValue(flags, idFlag); id != r.ID {
		response.InvalidReason = "the response has the ID of request " + strconv.Quote(id)
	}
}

// firstFlagValue returns the value of the first flag of a kind, or an empty string if there is none.
func firstFlagValue(flags []string, kind byte) string {
	for _, flag := range flags {
		if flag[0] == kind {
			return flag[1:]
		}
	}
	return ""
}

// flagValue returns the value of the last flag of a kind, or an empty string if there is none.
func flagValue(flags []string, kind byte) string {
	value := ""
	for _, flag := range flags {
		if flag[0] == kind {
			value = flag[1:]
		}
	}
	return value
}

// retryAfterOf returns the time after which a rejected client may retry. The first word states it in milliseconds.
func retryAfterOf(words []string) time.Duration {
	if len(words) == 0 {
		return 0
	}
	milliseconds, _ := strconv.Atoi(words[0])
	return time.Duration(milliseconds) * time.Millisecond
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
