package http1

import (
	"net/http"
	"strconv"
)

// NoBody is the length of what never has a body, and tells none.
const NoBody = -1

// AppendHead writes the head of an answer with a body of so many bytes; last says that the connection ends with it. Headers
// are whole lines without the last one's end. An empty date is among them.
func AppendResponseHead(to []byte, status int, date string, long int, last bool, headers ...string) []byte {
	to = strconv.AppendInt(append(to, "HTTP/1.1 "...), int64(status), 10)
	to = append(append(append(to, ' '), http.StatusText(status)...), "\r\n"...)
	if date != "" {
		to = append(append(append(to, "Date: "...), date...), "\r\n"...)
	}
	if long != NoBody {
		to = append(strconv.AppendInt(append(to, "Content-Length: "...), int64(long), 10), "\r\n"...)
	}
	for _, h := range headers {
		to = append(append(to, h...), "\r\n"...)
	}
	if last {
		to = append(to, "Connection: close\r\n"...)
	}
	return append(to, "\r\n"...)
}
