package simwire

import (
	"encoding/json"
	"strconv"
	"time"

	"dahliapin/internal/monotime"
	"dahliapin/policy"
)

// Writer builds the reply to a batch: actions grouped by node, in the order of the calls. Its methods must be called
// only while a batch is being processed.
type Writer struct {
	buf         []byte
	node        int  // the node whose events are being processed
	inPart      bool // the part of the node has begun, with its first action
	firstAction bool // the part has no action yet
}

// Send starts an attempt at an endpoint. The attempt times out at timeoutAt, by the clock of the batches. The wire has
// no message for the time by which the endpoint has to begin.
func (w *Writer) Send(id policy.RequestID, to policy.EndpointID, timeoutAt, _ monotime.Instant) {
	w.beginAction(actionSend)
	w.text(string(id))
	w.text(string(to))
	w.seconds(time.Duration(timeoutAt))
	w.endAction()
}

// Cancel cancels an attempt, given by its index within the request.
func (w *Writer) Cancel(id policy.RequestID, attempt int) {
	w.beginAction(actionCancel)
	w.text(string(id))
	w.integer(int64(attempt))
	w.endAction()
}

// Reject responds that the request never ran and may be retried after retryAfter.
func (w *Writer) Reject(id policy.RequestID, retryAfter time.Duration) {
	w.beginAction(actionReject)
	w.text(string(id))
	w.seconds(retryAfter)
	w.endAction()
}

// Fail responds that the request failed and may have run.
func (w *Writer) Fail(id policy.RequestID) {
	w.beginAction(actionFail)
	w.text(string(id))
	w.endAction()
}

// SetTimer requests a timer event with the given token after a delay.
func (w *Writer) SetTimer(after time.Duration, token string) {
	w.beginAction(actionSetTimer)
	w.seconds(after)
	w.text(token)
	w.endAction()
}

// CheckHealth starts a health check of an endpoint.
func (w *Writer) CheckHealth(id policy.EndpointID) {
	w.beginAction(actionCheckHealth)
	w.text(string(id))
	w.endAction()
}

// PollEndpoints subscribes to the endpoint list.
func (w *Writer) PollEndpoints() {
	w.beginAction(actionPollEndpoints)
	w.buf = append(w.buf, ",true"...)
	w.endAction()
}

// reset begins a new reply.
func (w *Writer) reset() {
	w.buf = append(w.buf[:0], `{"parts":[`...)
	w.inPart = false
}

// setNode sets the node to which the following actions belong.
func (w *Writer) setNode(node int) {
	w.endPart()
	w.node = node
}

// finish ends the reply and returns it.
func (w *Writer) finish() []byte {
	w.endPart()
	w.buf = append(w.buf, "]}\n"...)
	return w.buf
}

// beginPart begins the node's part of the reply.
func (w *Writer) beginPart() {
	if w.buf[len(w.buf)-1] == '}' {
		w.buf = append(w.buf, ',')
	}
	w.buf = append(w.buf, `{"node_id":`...)
	w.buf = strconv.AppendInt(w.buf, int64(w.node), 10)
	w.buf = append(w.buf, `,"actions":[`...)
	w.inPart = true
	w.firstAction = true
}

func (w *Writer) endPart() {
	if w.inPart {
		w.buf = append(w.buf, "]}"...)
		w.inPart = false
	}
}

func (w *Writer) beginAction(name string) {
	if !w.inPart {
		w.beginPart()
	}
	if !w.firstAction {
		w.buf = append(w.buf, ',')
	}
	w.firstAction = false
	w.buf = append(w.buf, `["`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, '"')
}

func (w *Writer) endAction() { w.buf = append(w.buf, ']') }

func (w *Writer) text(s string) {
	w.buf = append(w.buf, ',')
	if !isPlain(s) {
		quoted, _ := json.Marshal(s) // a string always marshals
		w.buf = append(w.buf, quoted...)
		return
	}
	w.buf = append(w.buf, '"')
	w.buf = append(w.buf, s...)
	w.buf = append(w.buf, '"')
}

// isPlain reports whether a JSON string can contain s without escapes. That holds for almost all texts, which are ids.
func isPlain(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] >= 0x7f || s[i] == '"' || s[i] == '\\' {
			return false
		}
	}
	return true
}

func (w *Writer) integer(x int64) {
	w.buf = append(w.buf, ',')
	w.buf = strconv.AppendInt(w.buf, x, 10)
}

// seconds writes a duration in seconds, truncated to microseconds, the resolution of the protocol.
func (w *Writer) seconds(d time.Duration) {
	const microsecondsPerSecond = 1_000_000
	microseconds := d.Microseconds()
	w.buf = append(w.buf, ',')
	if microseconds < 0 {
		w.buf = append(w.buf, '-')
		microseconds = -microseconds
	}
	w.buf = strconv.AppendInt(w.buf, microseconds/microsecondsPerSecond, 10)
	fraction := microseconds % microsecondsPerSecond
	if fraction == 0 {
		return
	}
	w.buf = append(w.buf, '.')
	for place := int64(microsecondsPerSecond / 10); place > 0 && fraction > 0; place /= 10 {
		w.buf = append(w.buf, byte('0'+fraction/place))
		fraction %= place
	}
}
