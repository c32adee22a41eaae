package simwire

import (
	"strconv"
	"time"

	"dahliapin/internal/monotime"
	"dahliapin/policy"
)

// Writer builds one reply: actions grouped by instance, in the order they are called.
type Writer struct {
	buf         []byte
	part, first bool // inside a part; before its first action
	node        int
}

func (w *Writer) reset() {
	w.buf = append(w.buf[:0], `{"parts":[`...)
	w.part = false
}

func (w *Writer) turn(node int) {
	w.endPart()
	w.node = node
}

func (w *Writer) endPart() {
	if w.part {
		w.buf = append(w.buf, "]}"...)
		w.part = false
	}
}

func (w *Writer) finish() []byte {
	w.endPart()
	w.buf = append(w.buf, "]}\n"...)
	return w.buf
}

func (w *Writer) begin(name string) {
	if !w.part {
		if w.buf[len(w.buf)-1] == '}' {
			w.buf = append(w.buf, ',')
		}
		w.buf = append(w.buf, `{"node_id":`...)
		w.buf = strconv.AppendInt(w.buf, int64(w.node), 10)
		w.buf = append(w.buf, `,"actions":[`...)
		w.part, w.first = true, true
	}
	if !w.first {
		w.buf = append(w.buf, ',')
	}
	w.first = false
	w.buf = append(w.buf, `["`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, '"')
}

func (w *Writer) text(s string) {
	w.buf = append(w.buf, ',')
	plain := true
	for i := 0; i < len(s); i++ {
		plain = plain && s[i] >= ' ' && s[i] != '"' && s[i] != '\\' && s[i] < 0x7f
	}
	if !plain {
		w.buf = appendQuoted(w.buf, s)
		return
	}
	w.buf = append(w.buf, '"')
	w.buf = append(w.buf, s...)
	w.buf = append(w.buf, '"')
}

func (w *Writer) number(x int64) { w.buf = strconv.AppendInt(append(w.buf, ','), x, 10) }

// seconds writes whole microseconds, the finest that the wire carries.
func (w *Writer) seconds(d time.Duration) {
	us := d.Microseconds()
	w.buf = append(w.buf, ',')
	if us < 0 {
		w.buf, us = append(w.buf, '-'), -us
	}
	w.buf = strconv.AppendInt(w.buf, us/1e6, 10)
	if f := us % 1e6; f != 0 {
		w.buf = append(w.buf, '.')
		for p := int64(1e5); p > 0 && f > 0; p /= 10 {
			w.buf = append(w.buf, byte('0'+f/p))
			f %= p
		}
	}
}

func (w *Writer) end() { w.buf = append(w.buf, ']') }

// Send starts a leg.
func (w *Writer) Send(id policy.RequestID, to policy.EndpointID, giveUpAt monotime.Instant) {
	w.begin("place")
	w.text(string(id))
	w.text(string(to))
	w.seconds(time.Duration(giveUpAt))
	w.end()
}

// Cancel calls a leg off.
func (w *Writer) Cancel(id policy.RequestID, leg int) {
	w.begin("retract")
	w.text(string(id))
	w.number(int64(leg))
	w.end()
}

// Reject answers that a retry is harmless.
func (w *Writer) Reject(id policy.RequestID, comeBack time.Duration) {
	w.begin("shed")
	w.text(string(id))
	w.seconds(comeBack)
	w.end()
}

// Fail answers that it failed.
func (w *Writer) Fail(id policy.RequestID) {
	w.begin("surrender")
	w.text(string(id))
	w.end()
}

// SetTimer asks to be woken with a token.
func (w *Writer) SetTimer(in time.Duration, token string) {
	w.begin("timer")
	w.seconds(in)
	w.text(token)
	w.end()
}

// CheckHealth checks on a cache.
func (w *Writer) CheckHealth(id policy.EndpointID) {
	w.begin("touch")
	w.text(string(id))
	w.end()
}

// PollEndpoints subscribes to the list.
func (w *Writer) PollEndpoints() {
	w.begin("keep_informed")
	w.buf = append(w.buf, ",true"...)
	w.end()
}
