package http1

import "strconv"

// Date is the form of dates (RFC 9110, 5.6.7), for a time in UTC.
const Date = "Mon, 02 Jan 2006 15:04:05 GMT"

var reasons = map[int]string{200: "OK", 201: "Created", 203: "Non-Authoritative Information", 204: "No Content",
	300: "Multiple Choices", 301: "Moved Permanently", 302: "Found", 303: "See Other", 304: "Not Modified", 307: "Temporary Redirect",
	308: "Permanent Redirect", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 406: "Not Acceptable",
	410: "Gone", 412: "Precondition Failed", 408: "Request Timeout",
	409: "Conflict", 413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// NoBody is the length of what never has a body, and tells none.
const NoBody = -1

// AppendHead writes the head of an answer with a body of so many bytes; last says that the connection ends with it. Headers
// are whole lines without the last one's end. An empty date is among them.
func AppendHead(to []byte, status int, date string, long int, last bool, headers ...string) []byte {
	to = strconv.AppendInt(append(to, "HTTP/1.1 "...), int64(status), 10)
	to = append(append(append(to, ' '), reasons[status]...), "\r\n"...)
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
