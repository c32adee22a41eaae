package migration

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"github.com/valyala/fastjson"
)

// usualZones is the number of zones below which a remark asks the operator to list all zones: fleets with caches in
// several zones usually have at least three.
const usualZones = 3

// loopback is the address on which a node in a client process listens.
const loopback = "127.0.0.1"

// The errors of Convert for a text that is not a node configuration.
var (
	ErrNotObject  = errors.New("not a JSON object")
	ErrNoSettings = errors.New("not a node configuration: it has no settings with service grades")
	ErrBounds     = errors.New("settings.bounds is not an object")
)

// Remark is a note on a key that was not carried over or that the operator has to set or review.
type Remark struct {
	Key    string // path of the key
	Reason string
}

// String returns the key and the reason in one line.
func (r Remark) String() string { return r.Key + ": " + r.Reason }

// Convert returns the converted configuration, and remarks on it. A configuration that has already been converted is
// returned unchanged.
func Convert(old []byte) (text []byte, remarks []Remark, err error) {
	object, err := fastjson.ParseBytes(old)
	if err != nil || object.Type() != fastjson.TypeObject {
		return nil, nil, ErrNotObject
	}
	settings := object.Get("settings")
	if settings == nil || settings.Type() != fastjson.TypeObject || len(settings.GetArray("service_grades")) == 0 {
		return nil, nil, ErrNoSettings
	}
	c := converter{remarks: unknownKeys("", object)}
	if err := ensureBounds(settings); err != nil {
		return nil, nil, err
	}
	if settings.GetInt("bounds", "streams_per_conn") == 1 {
		return old, c.remarks, nil
	}
	c.convertNode(object)
	settings.Get("bounds").Set("streams_per_conn", c.arena.NewNumberInt(1))
	c.convertSettings(settings)
	return append(object.MarshalTo(nil), '\n'), c.remarks, nil
}

// ensureBounds adds an empty bounds object if there is none.
func ensureBounds(settings *fastjson.Value) error {
	bounds := settings.Get("bounds")
	if bounds == nil || bounds.Type() == fastjson.TypeNull {
		settings.Set("bounds", fastjson.MustParse("{}"))
		return nil
	}
	if bounds.Type() != fastjson.TypeObject {
		return ErrBounds
	}
	return nil
}

// converter collects remarks and allocates new values.
type converter struct {
	arena   fastjson.Arena
	remarks []Remark
}

func (c *converter) remark(key, format string, args ...any) {
	c.remarks = append(c.remarks, Remark{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// convertNode converts the values of the node itself: name, seed, listen address and last known endpoint list.
func (c *converter) convertNode(object *fastjson.Value) {
	c.remark("name", "must be unique to each node")
	if object.Exists("seed") {
		c.remark("seed", "must be unique to each node; nodes with the same seed make the same random choices")
	}
	c.convertListen(object)
	if object.Exists("known") {
		object.Del("known")
		c.remark("known", "removed: the last known endpoint list is that of the old fleet")
	}
}

func (c *converter) convertListen(object *fastjson.Value) {
	old, err := netip.ParseAddrPort(string(object.GetStringBytes("listen")))
	if err != nil {
		c.remark("listen", "is not an address and port")
		return
	}
	if old.Addr().IsLoopback() {
		return
	}
	own := netip.AddrPortFrom(netip.MustParseAddr(loopback), old.Port())
	object.Set("listen", c.arena.NewString(own.String()))
	c.remark("listen", "changed from %s, for the pool's clients, to %s, for the node's own client process", old, own)
}

// convertSettings adds remarks on the settings that depend on the kind of deployment.
func (c *converter) convertSettings(settings *fastjson.Value) {
	nodes := settings.GetInt("n_instances")
	c.remark("settings.n_instances",
		"set to the number of client processes at full size; it is still the number of the pool, %d", nodes)
	if settings.Exists("me") {
		c.remark("settings.me", "must be unique to each node")
	}
	c.convertZones(settings)
	if !isPositive(settings.GetFloat64("tariffs", "cross_zone")) {
		c.remark("settings.tariffs.cross_zone",
			"set the cost of a request to another zone; without it a node uses all zones alike")
	}
	if !isPositive(settings.GetFloat64("rules", "overload_factor")) {
		c.remark("settings.rules.overload_factor",
			"set it; without it a node sends cold caches only the load that they are sure to sustain")
	}
}

// isPositive reports whether a value is a positive finite number. The JSON parser also accepts NaN and infinity.
func isPositive(value float64) bool { return value > 0 && !math.IsInf(value, 1) }

// convertZones adds the node's zone to settings that list no zones.
func (c *converter) convertZones(settings *fastjson.Value) {
	zone := string(settings.GetStringBytes("zone"))
	if zone == "" {
		c.remark("settings.zone", "set to the zone of the client process")
		return
	}
	zones := len(settings.GetArray("failure_domains"))
	if zones == 0 {
		list := c.arena.NewArray()
		list.SetArrayItem(0, c.arena.NewString(zone))
		settings.Set("failure_domains", list)
	}
	if zones < usualZones {
		c.remark("settings.failure_domains",
			"list all zones of the new fleet; the old file lists %d", zones)
	}
}
