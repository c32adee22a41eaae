package proxy

import (
	"strconv"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
)

// metaDownstream speaks meta commands to clients.
type metaDownstream struct{}

var metaRefusalLines = [...]string{
	refusedMemoryLimit:    "SERVER_ERROR out of memory\r\n",
	refusedTooManyPending: "SERVER_ERROR too many commands at once\r\n",
	refusedTimeout:        "CLIENT_ERROR command not whole in time\r\n",
	refusedDuplicateID:    "CLIENT_ERROR id in use\r\n",
	refusedMalformed:      meta.BadLine,
}

func (metaDownstream) readRequest(b []byte, parsed *parsedRequest, _ *http1.Progress) (size int) {
	command, size, fault := meta.ReadCommand(b)
	*parsed = parsedRequest{}
	switch {
	case fault != nil:
		parsed.intent = intentInvalid
		parsed.response = []byte(fault.Response)
		parsed.stopReading = fault.Close
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
	parsed.clientRequest = clientRequest{
		id:    command.ID,
		key:   command.Key,
		value: command.Value,
		flags: command.Flags,
		write: command.Verb == meta.Set,
	}
	items, _ := meta.Flag(command.Flags, 'P')
	deadline, _ := meta.Item(items, "d")
	if ms, ok := meta.ParseDecimal(deadline); ok && ms > 0 {
		parsed.timeout = timeoutOfMs(ms)
	}
	parsed.class, _ = meta.Item(items, "c")
	parsed.tenant, _ = meta.Item(items, "t")
	return size
}

// timeoutOfMs converts a positive number of milliseconds, as stated by a client, to a timeout that is not 0.
func timeoutOfMs(ms float64) time.Duration {
	return max(1, time.Duration(min(ms*float64(time.Millisecond), float64(maxClientTimeout))))
}

func (metaDownstream) value(request *clientRequest, response *upstreamResponse) (head, value []byte) {
	value = response.body
	if len(value) <= buffer.MaxEmptyCapacity {
		return meta.AppendValue(nil, request.id, value), nil
	}
	// A longer value is everything its buffer holds. The buffer gives up that memory once the value has been consumed,
	// so the value need not be copied.
	return meta.AppendHead(nil, request.id, len(value)), value
}

func (metaDownstream) valueHead(request *clientRequest, _ *upstreamResponse, valueSize int) []byte {
	return meta.AppendHead(nil, request.id, valueSize)
}

func (metaDownstream) valueTrailer() string { return meta.LineEnd }

func (metaDownstream) writeReceipt(request *clientRequest, response *upstreamResponse) []byte {
	return meta.AppendReceipt(nil, request.id, response.body)
}

func (metaDownstream) rejected(_ *clientRequest, retryAfter time.Duration) []byte {
	return meta.AppendBusy(nil, int64((retryAfter+time.Millisecond-1)/time.Millisecond))
}

func (metaDownstream) failed(*clientRequest, bool) []byte { return meta.AppendFailed(nil) }

func (metaDownstream) refusal(reason refusalReason, _ bool) []byte {
	return []byte(metaRefusalLines[reason])
}

func (metaDownstream) announceClose(response []byte) ([]byte, bool) { return response, false }

func (metaDownstream) readiness(_ *clientRequest, phase Phase) []byte {
	if phase == Serving {
		return []byte("MN\r\n")
	}
	return []byte("SERVER_ERROR " + phase.String() + "\r\n")
}

func (metaDownstream) counters(_ *clientRequest, counters *metrics.Counters) (lines []byte) {
	counters.Each(func(name string, count uint64) {
		lines = append(lines, "STAT "...)
		lines = append(lines, name...)
		lines = append(lines, ' ')
		lines = strconv.AppendUint(lines, count, 10)
		lines = append(lines, "\r\n"...)
	})
	return append(lines, "END\r\n"...)
}
