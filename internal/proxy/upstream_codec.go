package proxy

import (
	"bytes"

	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

// upstreamCodec turns a leg into bytes for a server, and its bytes into an outcome with the proof of whether it may have run. It
// keeps nothing and knows no link: the same serves all legs.
type upstreamCodec interface {
	// ask writes a leg that the node waits for so long.
	encodeRequest(c *clientRequest, host string, waitMs int64) []byte
	// names tells whether what serves a request says which one.
	identifiesRequest() bool
	// reply reads the answer. A size of 0 without a fault asks for more bytes, of which wants says how many in all, where
	// that is known; ended says that no more will come. What was found before of the same answer is kept in read.
	readResponse(b []byte, c *clientRequest, ended bool, read *http1.Progress) (r upstreamResponse, size, wants int)
	// probe asks whether the server is up, and up reads what it says to that.
	healthCheck(host string) []byte
	readHealthCheck(b []byte, ended bool) (is bool, size int, err error)
}

// upstreamResponse is what an answer means for its leg.
type upstreamResponse struct {
	result     policy.Result // spoilt where it can't be read, or answers something else
	body       []byte        // the value, or a write's receipt
	loadReport []byte        // the server's report
	closesConn bool          // its connection ends with it
	fromCache  bool          // it is from what a cache keeps
	identified bool          // it says which request it answers
	status     int           // of HTTP; 0 for a good one of another protocol
	headSize   int           // with a size of 0: bytes that stand before a good value of known length which is still coming
	valueSize  int           // and that length
	headers    []byte        // whole lines for a client of HTTP
}

// metaUpstream speaks the meta commands to caches.
type metaUpstream struct{}

func (metaUpstream) encodeRequest(request *clientRequest, _ string, timeoutMs int64) []byte {
	verb := meta.Get
	if request.write {
		verb = meta.Set
	}
	return meta.AppendCommand(nil, &meta.Command{Verb: verb, Key: request.key, Flags: request.flags, Value: request.value}, timeoutMs)
}

func (metaUpstream) identifiesRequest() bool { return true }

func (metaUpstream) readResponse(b []byte, request *clientRequest, _ bool, _ *http1.Progress) (response upstreamResponse, size, wants int) {
	answer, size, err := meta.ReadAnswer(b)
	if err == nil && size == 0 {
		if answer.HeadSize > 0 && !request.write && bytes.Equal(answer.ID, request.id) {
			response = upstreamResponse{headSize: answer.HeadSize, valueSize: answer.ValueSize, loadReport: answer.LoadReport, fromCache: true}
		}
		return response, 0, answer.TotalSize
	}
	ours := bytes.Equal(answer.ID, request.id)
	response = upstreamResponse{result: unreadableResponse, body: answer.Value, loadReport: answer.LoadReport, fromCache: true, identified: ours}
	switch {
	case err != nil:
	case ours && (answer.Kind == meta.Value && !request.write || answer.Kind == meta.Done && request.write):
		response.result = policy.Answered
	case answer.Kind == meta.Miss && ours:
		response.result = policy.CacheMiss
	case answer.Kind == meta.Failed:
		response.result = policy.Errored
	case answer.Kind == meta.Busy:
		response.result = policy.Rejected
	}
	return response, size, 0
}

func (metaUpstream) healthCheck(string) []byte { return []byte("mn\r\n") }

func (metaUpstream) readHealthCheck(b []byte, _ bool) (is bool, size int, err error) {
	a, size, err := meta.ReadAnswer(b)
	return a.Kind == meta.Up, size, err
}

// originUpstream speaks HTTP/1.1 to the origin: a read gets the key's page, a write puts its value there.
type originUpstream struct{}

const originHealthPath = "/health/live" // the origin's page for probes

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

func (originUpstream) identifiesRequest() bool { return false }

func (originUpstream) readResponse(b []byte, request *clientRequest, ended bool, progress *http1.Progress) (response upstreamResponse, size, wants int) {
	answer, size, err := progress.ReadResponse(b, meta.MaxValue, ended)
	named := answer.Header("X-Call-Id")
	if err == nil && size == 0 {
		if answer.HeadSize > 0 && answer.Status == 200 && !request.write && (named == nil || bytes.Equal(named, request.id)) {
			response = upstreamResponse{headSize: answer.HeadSize, valueSize: answer.BodySize, loadReport: answer.Header("X-Load-Report"), closesConn: answer.Close}
		}
		return response, 0, answer.TotalSize
	}
	response = upstreamResponse{result: policy.Errored, body: answer.Body, loadReport: answer.Header("X-Load-Report"), closesConn: answer.Close, identified: named != nil}
	switch {
	case err != nil, named != nil && !bytes.Equal(named, request.id):
		response.result = unreadableResponse
	case answer.Status == 200 && !request.write:
		response.result = policy.Answered
	case answer.Status == 200:
		if response.result, response.body = unreadableResponse, bytes.TrimSpace(answer.Body); meta.Plain(response.body) {
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

func (originUpstream) readHealthCheck(b []byte, ended bool) (is bool, size int, err error) {
	a, size, err := http1.ReadResponse(b, meta.MaxValue, ended)
	return a.Status == 200, size, err
}
