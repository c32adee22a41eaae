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

// face turns the bytes of a client into what it asks, and answers into bytes for it. It keeps nothing and knows no
// client: the same serves all whose protocol it speaks.
type face interface {
	// read reads what a client asks first. A size of 0 asks for more bytes, unless it can't be served. What was found before of the same
	// is kept in the progress.
	read(b []byte, a *asked, p *http1.Progress) (size int)
	// value writes the answer that serves a value. A long one is not copied: it follows, and then what ends values.
	value(c *call, r *reply) (out, long []byte)
	// head writes what stands before a value of so many bytes that is passed on as it comes.
	head(c *call, r *reply, long int) []byte
	end() string
	receipt(c *call, r *reply) []byte
	rejected(c *call, comeBack time.Duration) []byte
	// failed also says whether what was asked has not answered, or answered amiss.
	failed(c *call, late bool) []byte
	refused(why refusal, bare bool) []byte
	ready(c *call, p Phase) []byte
	counts(c *call, n *metrics.Counters) []byte
	// parts has an answer say that its connection ends with it, where the protocol can.
	parts(out []byte) (with []byte, can bool)
}

// wish is what a client wants of a node.
type wish int

const (
	more      wish = iota // it has not said yet
	retrieve              // a request
	readiness             // whether requests are served
	counts                // the counters
	invited               // to be told to go on with what has begun
	unserved              // what can't be served, with its answer
)

// asked is what a client says.
type asked struct {
	wish
	call
	answer []byte // to what can't be served, or is to go on
	closes bool   // nothing more is read after it
}

// call is a request as its client puts it.
type call struct {
	id, key, value []byte
	flags          []byte // what goes along to the servers, as meta commands write it
	grade, league  []byte
	write          bool
	bare           bool          // the answer is to have no body
	last           bool          // the connection ends with the answer
	idempotent     bool          // by its grade
	wait           time.Duration // until its deadline
	sent           time.Time     // when the leg went out that is being answered
	web            *webCall      // nil for a client of meta commands, and where no cache speaks HTTP
}

// webCall is what a client of HTTP says beside its call, for caches that speak it.
type webCall struct {
	headers     []byte // whole lines
	judged      freshness.Request
	conditional bool // it asks whether what it has still holds
	posts       bool // its write is a POST
}

var saidNothing webCall

// beside is what a client says beside its call: nothing by meta commands.
func (c *call) beside() *webCall {
	if c.web == nil {
		return &saidNothing
	}
	return c.web
}

// refusal is why something is answered that was not taken in hand.
type refusal int

const (
	noMemory refusal = iota
	tooMany
	tooLate
	sameID
	badCall
)

// metaFace speaks the meta commands.
type metaFace struct{}

var metaRefusals = [...]string{noMemory: "SERVER_ERROR out of memory\r\n", tooMany: "SERVER_ERROR too many commands at once\r\n",
	tooLate: "CLIENT_ERROR command not whole in time\r\n", sameID: "CLIENT_ERROR id in use\r\n", badCall: meta.BadLine}

func (metaFace) read(b []byte, a *asked, _ *http1.Progress) (size int) {
	command, size, fault := meta.ReadCommand(b)
	*a = asked{}
	switch {
	case fault != nil:
		a.wish, a.answer, a.closes = unserved, []byte(fault.Answer), fault.Close
		return size
	case size == 0:
		return 0
	case command.Verb == meta.Ready:
		a.wish = readiness
		return size
	case command.Verb == meta.Stats:
		a.wish = counts
		return size
	}
	a.wish = retrieve
	a.call = call{id: command.ID, key: command.Key, value: command.Value, flags: command.Flags, write: command.Verb == meta.Set}
	items, _ := meta.Flag(command.Flags, 'P')
	said, _ := meta.Item(items, "d")
	if ms, ok := meta.Decimal(said); ok && ms > 0 {
		a.wait = max(1, time.Duration(min(ms*float64(time.Millisecond), float64(mostWait))))
	}
	a.grade, _ = meta.Item(items, "c")
	a.league, _ = meta.Item(items, "t")
	return size
}

func (metaFace) value(c *call, r *reply) (out, long []byte) {
	value := r.said
	if len(value) <= buffer.Keep {
		return meta.AppendValue(nil, c.id, value), nil
	}
	return meta.AppendHead(nil, c.id, len(value)), value // its buffer's whole use, and its own once it is used
}

func (metaFace) head(c *call, _ *reply, long int) []byte { return meta.AppendHead(nil, c.id, long) }

func (metaFace) end() string { return meta.End }

func (metaFace) receipt(c *call, r *reply) []byte { return meta.AppendDone(nil, c.id, r.said) }

func (metaFace) rejected(_ *call, comeBack time.Duration) []byte {
	return meta.AppendBusy(nil, int64((comeBack+time.Millisecond-1)/time.Millisecond))
}

func (metaFace) failed(*call, bool) []byte { return meta.AppendFailed(nil) }

func (metaFace) refused(why refusal, _ bool) []byte { return []byte(metaRefusals[why]) }

func (metaFace) parts(out []byte) ([]byte, bool) { return out, false }

func (metaFace) ready(_ *call, p Phase) []byte {
	if p == Serving {
		return []byte("MN\r\n")
	}
	return []byte("SERVER_ERROR " + p.String() + "\r\n")
}

func (metaFace) counts(_ *call, n *metrics.Counters) (out []byte) {
	n.Each(func(name string, n uint64) {
		out = strconv.AppendUint(append(append(append(out, "STAT "...), name...), ' '), n, 10)
		out = append(out, "\r\n"...)
	})
	return append(out, "END\r\n"...)
}
