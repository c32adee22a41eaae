package relay

import (
	"bytes"

	"dahliapin/internal/net/http1"
	"dahliapin/internal/net/meta"
	"dahliapin/policy"
)

const originHealth = "/health/live" // the origin's page for probes

// originRequest writes a leg to the origin: a read gets the key's page, a write puts its value there.
func originRequest(c *meta.Command, host string, waitMs int64) []byte {
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

// originData reads the origin's answer to a leg.
func (r *Relay) originData(l *link, v *retrieval) {
	a, size, err := http1.ReadAnswer(l.buf.Unused(), meta.MaxValue, l.ended)
	if err == nil && size == 0 {
		l.buf.Expect(a.Wants)
		return
	}
	how, out, long := policy.Errored, []byte(nil), []byte(nil)
	named := a.Header("X-Call-Id")
	switch {
	case err != nil, named != nil && !bytes.Equal(named, v.command.ID):
		how = spoilt
	case a.Status == 200 && v.command.Verb == meta.Get:
		how = policy.Answered
		out, long = valueFor(v.command.ID, a.Body)
	case a.Status == 200:
		if how = spoilt; meta.Plain(bytes.TrimSpace(a.Body)) {
			how, out = policy.Answered, meta.AppendDone(nil, v.command.ID, bytes.TrimSpace(a.Body))
		}
	case string(a.Header("X-Rejected")) == "1":
		how = policy.TurnedAway
	}
	r.answered(l, v, how, size, out, long, a.Header("X-Load-Report"))
	if a.Last && r.links.Get(l.id) != nil {
		r.dropLink(l)
	}
}
