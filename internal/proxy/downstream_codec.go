package proxy

import (
	"strconv"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/freshness"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
)

// downstreamCodec turns the bytes of a client into what it asks, and answers into bytes for it. It keeps nothing and knows no
// client: the same serves all whose protocol it speaks.
type downstreamCodec interface {
	// read reads what a client asks first. A size of 0 asks for more bytes, unless it can't be served. What was found before of the same
	// is kept in the progress.
	readRequest(b []byte, a *parsedRequest, p *http1.Progress) (size int)
	// value writes the answer that serves a value. A long one is not copied: it follows, and then what ends values.
	value(c *clientRequest, r *upstreamResponse) (out, long []byte)
	// head writes what stands before a value of so many bytes that is passed on as it comes.
	valueHead(c *clientRequest, r *upstreamResponse, long int) []byte
	valueTrailer() string
	writeReceipt(c *clientRequest, r *upstreamResponse) []byte
	rejected(c *clientRequest, comeBack time.Duration) []byte
	// failed also says whether what was asked has not answered, or answered amiss.
	failed(c *clientRequest, late bool) []byte
	refusal(why refusalReason, bare bool) []byte
	readiness(c *clientRequest, p Phase) []byte
	counters(c *clientRequest, n *metrics.Counters) []byte
	// parts has an answer say that its connection ends with it, where the protocol can.
	announceClose(out []byte) (with []byte, can bool)
}

// requestIntent is what a client wants of a node.
type requestIntent int

const (
	intentIncomplete requestIntent = iota // it has not said yet
	intentRequest                         // a request
	intentReadiness                       // whether requests are served
	intentCounters                        // the counters
	intentContinue                        // to be told to go on with what has begun
	intentUnserved                        // what can't be served, with its answer
)

// parsedRequest is what a client says.
type parsedRequest struct {
	intent requestIntent
	clientRequest
	response    []byte // to what can't be served, or is to go on
	stopReading bool   // nothing more is read after it
}

// clientRequest is a request as its client puts it.
type clientRequest struct {
	id, key, value []byte
	flags          []byte // what goes along to the servers, as meta commands write it
	class, tenant  []byte
	write          bool
	headOnly       bool                // the answer is to have no body
	closesConn     bool                // the connection ends with the answer
	idempotent     bool                // by its grade
	timeout        time.Duration       // until its deadline
	attemptSentAt  time.Time           // when the leg went out that is being answered
	http           *httpRequestDetails // nil for a client of meta commands, and where no cache speaks HTTP
}

// httpRequestDetails is what a client of HTTP says beside its call, for caches that speak it.
type httpRequestDetails struct {
	headers     []byte // whole lines
	freshness   freshness.Request
	conditional bool // it asks whether what it has still holds
	isPost      bool // its write is a POST
}

var noHTTPDetails httpRequestDetails

// httpDetails is what a client says beside its call: nothing by meta commands.
func (request *clientRequest) httpDetails() *httpRequestDetails {
	if request.http == nil {
		return &noHTTPDetails
	}
	return request.http
}

// refusalReason is why something is answered that was not taken in hand.
type refusalReason int

const (
	refusedForMemory refusalReason = iota
	refusedTooMany
	refusedTooLate
	refusedDuplicateID
	refusedMalformed
)

// metaDownstream speaks the meta commands.
type metaDownstream struct{}

var metaRefusalLines = [...]string{refusedForMemory: "SERVER_ERROR out of memory\r\n", refusedTooMany: "SERVER_ERROR too many commands at once\r\n",
	refusedTooLate: "CLIENT_ERROR command not whole in time\r\n", refusedDuplicateID: "CLIENT_ERROR id in use\r\n", refusedMalformed: meta.BadLine}

func (metaDownstream) readRequest(b []byte, parsed *parsedRequest, _ *http1.Progress) (size int) {
	command, size, fault := meta.ReadCommand(b)
	*parsed = parsedRequest{}
	switch {
	case fault != nil:
		parsed.intent, parsed.response, parsed.stopReading = intentUnserved, []byte(fault.Answer), fault.Close
		return size
	case size == 0:
		return 0
	case command.Verb == meta.Ready:
		parsed.intent = intentReadiness
		return size
	case command.Verb == meta.Stats:
		parsed.intent = intentCounters
		return size
	}
	parsed.intent = intentRequest
	parsed.clientRequest = clientRequest{id: command.ID, key: command.Key, value: command.Value, flags: command.Flags, write: command.Verb == meta.Set}
	items, _ := meta.Flag(command.Flags, 'P')
	said, _ := meta.Item(items, "d")
	if ms, ok := meta.Decimal(said); ok && ms > 0 {
		parsed.timeout = max(1, time.Duration(min(ms*float64(time.Millisecond), float64(maxClientTimeout))))
	}
	parsed.class, _ = meta.Item(items, "c")
	parsed.tenant, _ = meta.Item(items, "t")
	return size
}

func (metaDownstream) value(request *clientRequest, response *upstreamResponse) (out, long []byte) {
	value := response.body
	if len(value) <= buffer.Keep {
		return meta.AppendValue(nil, request.id, value), nil
	}
	return meta.AppendHead(nil, request.id, len(value)), value // its buffer's whole use, and its own once it is used
}

func (metaDownstream) valueHead(request *clientRequest, _ *upstreamResponse, long int) []byte {
	return meta.AppendHead(nil, request.id, long)
}

func (metaDownstream) valueTrailer() string { return meta.End }

func (metaDownstream) writeReceipt(request *clientRequest, response *upstreamResponse) []byte {
	return meta.AppendDone(nil, request.id, response.body)
}

func (metaDownstream) rejected(_ *clientRequest, retryAfter time.Duration) []byte {
	return meta.AppendBusy(nil, int64((retryAfter+time.Millisecond-1)/time.Millisecond))
}

func (metaDownstream) failed(*clientRequest, bool) []byte { return meta.AppendFailed(nil) }

func (metaDownstream) refusal(reason refusalReason, _ bool) []byte {
	return []byte(metaRefusalLines[reason])
}

func (metaDownstream) announceClose(out []byte) ([]byte, bool) { return out, false }

func (metaDownstream) readiness(_ *clientRequest, p Phase) []byte {
	if p == Serving {
		return []byte("MN\r\n")
	}
	return []byte("SERVER_ERROR " + p.String() + "\r\n")
}

func (metaDownstream) counters(_ *clientRequest, n *metrics.Counters) (out []byte) {
	n.Each(func(name string, n uint64) {
		out = strconv.AppendUint(append(append(append(out, "STAT "...), name...), ' '), n, 10)
		out = append(out, "\r\n"...)
	})
	return append(out, "END\r\n"...)
}
