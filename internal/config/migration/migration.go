// Package migration turns a node's configuration for a pool of nodes that clients share into its counterpart for a
// node in each client process, with one request a connection and caches in several zones.
package migration

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// Remark is something that could not be carried over, or that an operator has to fill in or look at.
type Remark struct{ Key, Why string }

func (r Remark) String() string { return r.Key + ": " + r.Why }

// known names the keys of each object that may be stated, by its path.
var known = map[string][]string{
	"":       {"name", "listen", "discovery", "seed", "limits", "settings", "known"},
	"limits": {"memory_mb", "sockets"},
	"settings": {"benefit_basis", "bounds", "clients", "discovery", "domain_type", "excess_benefit", "failure_domains",
		"family_info", "kinds", "me", "n_instances", "round_s", "rules", "scoring_mix", "service_grades", "tariffs",
		"telemetry", "tenants", "tier", "tiers", "weights", "zone"},
	"settings.bounds": {"cancel", "conn_idle_s", "connect_timeout_s", "cpu_us_per_request", "cpu_us_per_s",
		"max_retry_after_s", "may_tell", "most_legs", "open_cap", "probes", "retry_after", "second_copies", "streams_per_conn"},
	"settings.rules": {"ask_within_s", "cold_from", "cold_s", "grace_to_answer_s", "overload_factor", "overload_for_s",
		"stop_sending_within_s"},
	"settings.tariffs": {"connection", "cross_zone", "discovery", "fleet", "handshake", "late_fail", "moves", "origin", "peer",
		"probe", "waste"},
}

// Turn returns the counterpart of a configuration and what is to be said of it. What has the new shape already comes
// out as it went in.
func Turn(old []byte) ([]byte, []Remark, error) {
	v, err := fastjson.ParseBytes(old)
	if err != nil || v.Type() != fastjson.TypeObject {
		return nil, nil, errors.New("it is not a JSON object")
	}
	env := v.Get("settings")
	if env == nil || env.Type() != fastjson.TypeObject || len(env.GetArray("service_grades")) == 0 {
		return nil, nil, errors.New("it has no settings with service grades: not a node's configuration")
	}
	remarks := unknown("", v)
	if b := env.Get("bounds"); b == nil || b.Type() == fastjson.TypeNull {
		env.Set("bounds", fastjson.MustParse("{}"))
	} else if b.Type() != fastjson.TypeObject {
		return nil, nil, errors.New("settings.bounds is not an object")
	}
	if env.GetInt("bounds", "streams_per_conn") == 1 {
		return old, remarks, nil
	}
	var a fastjson.Arena
	say := func(key, why string, args ...any) { remarks = append(remarks, Remark{key, fmt.Sprintf(why, args...)}) }

	say("name", "each node needs its own")
	if v.Exists("seed") {
		say("seed", "each node needs its own; nodes with the same draw the same chance")
	}
	if at, err := netip.ParseAddrPort(string(v.GetStringBytes("listen"))); err != nil {
		say("listen", "is not an address and a port")
	} else if !at.Addr().IsLoopback() {
		own := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), at.Port())
		v.Set("listen", a.NewString(own.String()))
		say("listen", "was %s for the pool's clients, is %s for the node's own client process", at, own)
	}
	if v.Exists("known") {
		v.Del("known")
		say("known", "left out: the last list is of the old fleet")
	}
	env.Get("bounds").Set("streams_per_conn", a.NewNumberInt(1))
	say("settings.n_instances", "fill in how many client processes there are at full size; it is %d, the pool's", env.GetInt("n_instances"))
	if env.Exists("me") {
		say("settings.me", "each node needs its own")
	}
	zone := string(env.GetStringBytes("zone"))
	switch places := env.GetArray("failure_domains"); {
	case zone == "":
		say("settings.zone", "fill in where the client process stands")
	case len(places) == 0:
		list := a.NewArray()
		list.SetArrayItem(0, a.NewString(zone))
		env.Set("failure_domains", list)
		fallthrough
	case len(places) < 3:
		say("settings.failure_domains", "fill in all zones of the new fleet; the old file names %d", len(places))
	}
	if env.GetFloat64("tariffs", "cross_zone") <= 0 {
		say("settings.tariffs.cross_zone", "fill in what a crossing costs; without it a node uses all zones alike")
	}
	if env.GetFloat64("rules", "overload_factor") <= 0 {
		say("settings.rules.overload_factor", "fill in; without it cold caches are sent no more than they surely bear")
	}
	return append(v.MarshalTo(nil), '\n'), remarks, nil
}

// unknown lists the keys that no page of settings names, at any depth. They are kept as they are.
func unknown(path string, v *fastjson.Value) (remarks []Remark) {
	v.GetObject().Visit(func(key []byte, in *fastjson.Value) {
		at := strings.TrimPrefix(path+"."+string(key), ".")
		if !slices.Contains(known[path], string(key)) {
			remarks = append(remarks, Remark{at, "kept, but not known here"})
		} else if known[at] != nil && in.Type() == fastjson.TypeObject {
			remarks = append(remarks, unknown(at, in)...)
		}
	})
	return remarks
}
