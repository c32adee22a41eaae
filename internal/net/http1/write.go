package http1

import "strconv"

// Date is the form of dates (RFC 9110, 5.6.7), for a time in UTC.
const Date = "Mon, 02 Jan 2006 15:04:05 GMT"

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// AppendHead writes the head of an answer with a body of so many bytes; last says that the connection ends with it. Headers
// are whole lines without their ends.
func AppendHead(to []byte, status int, date string, long int, last bool, headers ...string) []byte {
	to = strconv.AppendInt(append(to, "HTTP/1.1 "...), int64(status), 10)
	to = append(append(append(to, ' '), reasons[status]...), "\r\nDate: "...)
	to = append(append(to, date...), "\r\nContent-Length: "...)
	to = append(strconv.AppendInt(to, int64(long), 10), "\r\n"...)
	for _, h := range headers {
		to = append(append(to, h...), "\r\n"...)
	}
	if last {
		to = append(to, "Connection: close\r\n"...)
	}
	return append(to, "\r\n"...)
}
