package proxy

import (
	"bytes"

	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

// carrier turns a leg into bytes for a server, and its bytes into an outcome with the proof of whether it may have run. It
// keeps nothing and knows no link: the same serves all legs.
type carrier interface {
	// ask writes a leg that the node waits for so long.
	ask(c *call, host string, waitMs int64) []byte
	// names tells whether what serves a request says which one.
	names() bool
	// reply reads the answer. A size of 0 without a fault asks for more bytes, of which wants says how many in all, where
	// that is known; ended says that no more will come. What was found before of the same answer is kept in read.
	reply(b []byte, c *call, ended bool, read *http1.Progress) (r reply, size, wants int)
	// probe asks whether the server is up, and up reads what it says to that.
	probe(host string) []byte
	up(b []byte, ended bool) (is bool, size int, err error)
}

// reply is what an answer means for its leg.
type reply struct {
	how     policy.Result // spoilt where it can't be read, or answers something else
	said    []byte        // the value, or a write's receipt
	load    []byte        // the server's report
	last    bool          // its connection ends with it
	kept    bool          // it is from what a cache keeps
	named   bool          // it says which request it answers
	status  int           // of HTTP; 0 for a good one of another protocol
	head    int           // with a size of 0: bytes that stand before a good value of known length which is still coming
	long    int           // and that length
	headers []byte        // whole lines for a client of HTTP
}

// metaCarrier speaks the meta commands to caches.
type metaCarrier struct{}

func (metaCarrier) ask(c *call, _ string, waitMs int64) []byte {
	verb := meta.Get
	if c.write {
		verb = meta.Set
	}
	return meta.AppendCommand(nil, &meta.Command{Verb: verb, Key: c.key, Flags: c.flags, Value: c.value}, waitMs)
}

func (metaCarrier) names() bool { return true }

func (metaCarrier) reply(b []byte, c *call, _ bool, _ *http1.Progress) (r reply, size, wants int) {
	a, size, err := meta.ReadAnswer(b)
	if err == nil && size == 0 {
		if a.HeadSize > 0 && !c.write && bytes.Equal(a.ID, c.id) {
			r = reply{head: a.HeadSize, long: a.ValueSize, load: a.LoadReport, kept: true}
		}
		return r, 0, a.TotalSize
	}
	ours := bytes.Equal(a.ID, c.id)
	r = reply{how: spoilt, said: a.Value, load: a.LoadReport, kept: true, named: ours}
	switch {
	case err != nil:
	case ours && (a.Kind == meta.Value && !c.write || a.Kind == meta.Done && c.write):
		r.how = policy.Answered
	case a.Kind == meta.Miss && ours:
		r.how = policy.CacheMiss
	case a.Kind == meta.Failed:
		r.how = policy.Errored
	case a.Kind == meta.Busy:
		r.how = policy.Rejected
	}
	return r, size, 0
}

func (metaCarrier) probe(string) []byte { return []byte("mn\r\n") }

func (metaCarrier) up(b []byte, _ bool) (is bool, size int, err error) {
	a, size, err := meta.ReadAnswer(b)
	return a.Kind == meta.Up, size, err
}

// originCarrier speaks HTTP/1.1 to the origin: a read gets the key's page, a write puts its value there.
type originCarrier struct{}

const originHealth = "/health/live" // the origin's page for probes

func (originCarrier) ask(c *call, host string, waitMs int64) []byte {
	headers := append([]byte("X-Call-Id: "), c.id...)
	headers = append(headers, "\r\nX-Call-Info: "...)
	items, _ := meta.Flag(c.flags, 'P')
	headers = append(meta.AppendItems(headers, items, waitMs), "\r\n"...)
	method := "GET"
	if c.write {
		method = "PUT"
	}
	return http1.AppendRequest(nil, method, http1.AppendPath(nil, c.key), host, headers, c.value)
}

func (originCarrier) names() bool { return false }

func (originCarrier) reply(b []byte, c *call, ended bool, read *http1.Progress) (r reply, size, wants int) {
	a, size, err := read.ReadResponse(b, meta.MaxValue, ended)
	named := a.Header("X-Call-Id")
	if err == nil && size == 0 {
		if a.HeadSize > 0 && a.Status == 200 && !c.write && (named == nil || bytes.Equal(named, c.id)) {
			r = reply{head: a.HeadSize, long: a.BodySize, load: a.Header("X-Load-Report"), last: a.Close}
		}
		return r, 0, a.TotalSize
	}
	r = reply{how: policy.Errored, said: a.Body, load: a.Header("X-Load-Report"), last: a.Close, named: named != nil}
	switch {
	case err != nil, named != nil && !bytes.Equal(named, c.id):
		r.how = spoilt
	case a.Status == 200 && !c.write:
		r.how = policy.Answered
	case a.Status == 200:
		if r.how, r.said = spoilt, bytes.TrimSpace(a.Body); meta.Plain(r.said) {
			r.how = policy.Answered
		}
	case string(a.Header("X-Rejected")) == "1":
		r.how = policy.Rejected
	}
	return r, size, 0
}

func (originCarrier) probe(host string) []byte {
	return http1.AppendRequest(nil, "GET", []byte(originHealth), host, nil, nil)
}

func (originCarrier) up(b []byte, ended bool) (is bool, size int, err error) {
	a, size, err := http1.ReadResponse(b, meta.MaxValue, ended)
	return a.Status == 200, size, err
}
