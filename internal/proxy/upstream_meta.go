package proxy

import (
	"bytes"

	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

// metaUpstream speaks meta commands to cache endpoints.
type metaUpstream struct{}

func (metaUpstream) encodeRequest(request *clientRequest, _ string, timeoutMs int64) []byte {
	command := meta.Command{Verb: meta.Get, Key: request.key, Flags: request.flags, Value: request.value}
	if request.write {
		command.Verb = meta.Set
	}
	return meta.AppendCommand(nil, &command, timeoutMs)
}

func (metaUpstream) canAttributeResponses() bool { return true }

func (metaUpstream) readResponse(
	b []byte, request *clientRequest, _ bool, _ *http1.Progress,
) (response upstreamResponse, size, totalSize int) {
	answer, size, err := meta.ReadResponse(b)
	idMatches := bytes.Equal(answer.ID, request.id)
	if err == nil && size == 0 {
		if answer.HeadSize > 0 && !request.write && idMatches {
			response = upstreamResponse{
				headSize:   answer.HeadSize,
				valueSize:  answer.ValueSize,
				loadReport: answer.LoadReport,
				fromCache:  true,
			}
		}
		return response, 0, answer.TotalSize
	}
	response = upstreamResponse{
		result:     unreadableResponse,
		body:       answer.Value,
		loadReport: answer.LoadReport,
		fromCache:  true,
		identified: idMatches,
	}
	isValue := answer.Kind == meta.Value && !request.write
	isReceipt := answer.Kind == meta.Receipt && request.write
	switch {
	case err != nil:
	case idMatches && (isValue || isReceipt):
		response.result = policy.Answered
	case idMatches && answer.Kind == meta.Miss:
		response.result = policy.CacheMiss
	case answer.Kind == meta.Failed:
		response.result = policy.Errored
	case answer.Kind == meta.Busy:
		response.result = policy.Rejected
	}
	return response, size, 0
}

func (metaUpstream) healthCheck(string) []byte { return []byte("mn\r\n") }

func (metaUpstream) readHealthCheck(b []byte, _ bool) (healthy bool, size int, err error) {
	answer, size, err := meta.ReadResponse(b)
	return answer.Kind == meta.Up, size, err
}
