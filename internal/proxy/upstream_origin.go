package proxy

import (
	"bytes"

	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

// originHealthPath is the path of the origin's health check.
const originHealthPath = "/health/live"

// originUpstream speaks HTTP/1.1 to the origin: a read is a GET of the key's path, a write a PUT of the value to it.
type originUpstream struct{}

func (originUpstream) encodeRequest(request *clientRequest, host string, timeoutMs int64) []byte {
	headers := append([]byte("X-Call-Id: "), request.id...)
	headers = append(headers, "\r\nX-Call-Info: "...)
	items, _ := meta.Flag(request.flags, 'P')
	headers = append(meta.AppendItems(headers, items, timeoutMs), "\r\n"...)
	method := "GET"
	if request.write {
		method = "PUT"
	}
	return http1.AppendRequest(nil, method, http1.AppendPath(nil, request.key), host, headers, request.value)
}

// canAttributeResponses returns false: the origin may omit the request id from its response.
func (originUpstream) canAttributeResponses() bool { return false }

func (originUpstream) readResponse(
	b []byte, request *clientRequest, ended bool, progress *http1.Progress,
) (response upstreamResponse, size, totalSize int) {
	answer, size, err := progress.ReadResponse(b, meta.MaxValue, ended)
	id := answer.Header("X-Call-Id")
	isOtherRequest := id != nil && !bytes.Equal(id, request.id)
	if err == nil && size == 0 {
		if answer.HeadSize > 0 && answer.Status == 200 && !request.write && !isOtherRequest {
			response = upstreamResponse{
				headSize:   answer.HeadSize,
				valueSize:  answer.BodySize,
				loadReport: answer.Header("X-Load-Report"),
				closesConn: answer.Close,
			}
		}
		return response, 0, answer.TotalSize
	}
	response = upstreamResponse{
		result:     policy.Errored,
		body:       answer.Body,
		loadReport: answer.Header("X-Load-Report"),
		closesConn: answer.Close,
		identified: id != nil,
	}
	switch {
	case err != nil, isOtherRequest:
		response.result = unreadableResponse
	case answer.Status == 200 && !request.write:
		response.result = policy.Answered
	case answer.Status == 200:
		response.result = unreadableResponse
		response.body = bytes.TrimSpace(answer.Body)
		if meta.IsWord(response.body) {
			response.result = policy.Answered
		}
	case string(answer.Header("X-Rejected")) == "1":
		response.result = policy.Rejected
	}
	return response, size, 0
}

func (originUpstream) healthCheck(host string) []byte {
	return http1.AppendRequest(nil, "GET", []byte(originHealthPath), host, nil, nil)
}

func (originUpstream) readHealthCheck(b []byte, ended bool) (healthy bool, size int, err error) {
	answer, size, err := http1.ReadResponse(b, meta.MaxValue, ended)
	return answer.Status == 200, size, err
}
