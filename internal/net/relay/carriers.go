package relay

import (
	"bytes"

	"dahliapin/internal/net/buffer"
	"dahliapin/internal/net/http1"
	"dahliapin/internal/net/meta"
	"dahliapin/policy"
)

// carrier turns a leg into bytes for a server, and its bytes into an outcome with the proof of whether it may have run. It
// keeps nothing and knows no link: the same serves all legs.
type carrier interface {
	// ask writes a leg that the node waits for so long.
	ask(c *meta.Command, host string, waitMs int64) []byte
	// reply reads the answer. A size of 0 without a fault asks for more bytes, of which wants says how many in all, where
	// that is known; ended says that no more will come.
	reply(b []byte, c *meta.Command, ended bool) (r reply, size, wants int)
	// probe asks whether the server is up, and up reads what it says to that.
	probe(host string) []byte
	up(b []byte, ended bool) (is bool, size int, err error)
}

// reply is what an answer means for its leg.
type reply struct {
	how       policy.Result // spoilt where it can't be read, or answers something else
	out, long []byte        // for the client: the answer, and a value that follows it uncopied
	load      []byte        // the server's report
	last      bool          // its connection ends with it
}

// metaCarrier speaks the meta commands to caches.
type metaCarrier struct{}

func (metaCarrier) ask(c *meta.Command, _ string, waitMs int64) []byte {
	return meta.AppendCommand(nil, c, waitMs)
}

func (metaCarrier) reply(b []byte, c *meta.Command, _ bool) (r reply, size, wants int) {
	a, size, err := meta.ReadAnswer(b)
	if err == nil && size == 0 {
		return r, 0, a.Wants
	}
	set := c.Verb == meta.Set
	ours := bytes.Equal(a.ID, c.ID)
	r = reply{how: spoilt, load: a.Load}
	switch {
	case err != nil:
	case a.Said == meta.Value && ours && !set:
		r.how = policy.Answered
		r.out, r.long = valueFor(a.ID, a.Value)
	case a.Said == meta.Done && ours && set:
		r.how, r.out = policy.Answered, meta.AppendDone(nil, a.ID, a.Value)
	case a.Said == meta.Miss && ours:
		r.how = policy.Missed
	case a.Said == meta.Failed:
		r.how = policy.Errored
	case a.Said == meta.Busy:
		r.how = policy.TurnedAway
	}
	return r, size, 0
}

func (metaCarrier) probe(string) []byte { return []byte("mn\r\n") }

func (metaCarrier) up(b []byte, _ bool) (is bool, size int, err error) {
	a, size, err := meta.ReadAnswer(b)
	return a.Said == meta.Up, size, err
}

// originCarrier speaks HTTP/1.1 to the origin: a read gets the key's page, a write puts its value there.
type originCarrier struct{}

const originHealth = "/health/live" // the origin's page for probes

func (originCarrier) ask(c *meta.Command, host string, waitMs int64) []byte {
	headers := append([]byte("X-Call-Id: "), c.ID...)
	headers = append(headers, "\r\nX-Call-Info: "...)
	items, _ := meta.Flag(c.Flags, 'P')
	headers = append(meta.AppendItems(headers, items, waitMs), "\r\n"...)
	method := "GET"
	if c.Verb == meta.Set {
		method = "PUT"
	}
	return http1.AppendRequest(nil, method, http1.AppendPath(nil, c.Key), host, headers, c.Value)
}

func (originCarrier) reply(b []byte, c *meta.Command, ended bool) (r reply, size, wants int) {
	a, size, err := http1.ReadAnswer(b, meta.MaxValue, ended)
	if err == nil && size == 0 {
		return r, 0, a.Wants
	}
	r = reply{how: policy.Errored, load: a.Header("X-Load-Report"), last: a.Last}
	named := a.Header("X-Call-Id")
	switch {
	case err != nil, named != nil && !bytes.Equal(named, c.ID):
		r.how = spoilt
	case a.Status == 200 && c.Verb == meta.Get:
		r.how = policy.Answered
		r.out, r.long = valueFor(c.ID, a.Body)
	case a.Status == 200:
		if r.how = spoilt; meta.Plain(bytes.TrimSpace(a.Body)) {
			r.how, r.out = policy.Answered, meta.AppendDone(nil, c.ID, bytes.TrimSpace(a.Body))
		}
	case string(a.Header("X-Rejected")) == "1":
		r.how = policy.TurnedAway
	}
	return r, size, 0
}

func (originCarrier) probe(host string) []byte {
	return http1.AppendRequest(nil, "GET", []byte(originHealth), host, nil, nil)
}

func (originCarrier) up(b []byte, ended bool) (is bool, size int, err error) {
	a, size, err := http1.ReadAnswer(b, meta.MaxValue, ended)
	return a.Status == 200, size, err
}

// valueFor writes the answer that serves a value. A long one is not copied: it is its buffer's whole use, and its own
// once it is used.
func valueFor(id, value []byte) (out, long []byte) {
	if len(value) <= buffer.Keep {
		return meta.AppendValue(nil, id, value), nil
	}
	return meta.AppendHead(nil, id, len(value)), value
}
