package migration

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/valyala/fastjson"
)

// usualZones is how many zones a fleet with caches in several zones has at least, in a usual deployment.
const usualZones = 3

// loopback is where a node in a client process listens.
const loopback = "127.0.0.1"

// The errors of Convert about a text that is no configuration of a node.
var (
	ErrNotObject  = errors.New("it is not a JSON object")
	ErrNoSettings = errors.New("it has no settings with service grades: not a node's configuration")
	ErrBounds     = errors.New("settings.bounds is not an object")
)

// Remark is about a key that could not be carried over, or that an operator has to fill in or look at.
type Remark struct {
	Key    string // path of the key
	Reason string
}

// String returns the key and the reason in one line.
func (r Remark) String() string { return r.Key + ": " + r.Reason }

// Convert returns the counterpart of a configuration, and remarks on it. A configuration that has the new shape
// already is returned as it is.
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

// ensureBounds adds an empty object of bounds where there is none.
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

// converter collects remarks, and holds the memory of new values.
type converter struct {
	arena   fastjson.Arena
	remarks []Remark
}

func (c *converter) remark(key, format string, args ...any) {
	c.remarks = append(c.remarks, Remark{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// convertNode converts what is the node's own: name, seed, address and last list.
func (c *converter) convertNode(object *fastjson.Value) {
	c.remark("name", "each node needs its own")
	if object.Exists("seed") {
		c.remark("seed", "each node needs its own; nodes with the same draw the same chance")
	}
	c.convertListen(object)
	if object.Exists("known") {
		object.Del("known")
		c.remark("known", "left out: the last list is of the old fleet")
	}
}

func (c *converter) convertListen(object *fastjson.Value) {
	old, err := netip.ParseAddrPort(string(object.GetStringBytes("listen")))
	if err != nil {
		c.remark("listen", "is not an address and a port")
		return
	}
	if old.Addr().IsLoopback() {
		return
	}
	own := netip.AddrPortFrom(netip.MustParseAddr(loopback), old.Port())
	object.Set("listen", c.arena.NewString(own.String()))
	c.remark("listen", "was %s for the pool's clients, is %s for the node's own client process", old, own)
}

// convertSettings remarks on the settings that depend on the shape of the deployment.
func (c *converter) convertSettings(settings *fastjson.Value) {
	nodes := settings.GetInt("n_instances")
	c.remark("settings.n_instances",
		"fill in how many client processes there are at full size; it is %d, the pool's", nodes)
	if settings.Exists("me") {
		c.remark("settings.me", "each node needs its own")
	}
	c.convertZones(settings)
	if settings.GetFloat64("tariffs", "cross_zone") <= 0 {
		c.remark("settings.tariffs.cross_zone",
			"fill in what a crossing costs; without it a node uses all zones alike")
	}
	if settings.GetFloat64("rules", "overload_factor") <= 0 {
		c.remark("settings.rules.overload_factor",
			"fill in; without it cold caches are sent no more than they surely bear")
	}
}

// convertZones adds the node's zone to a deployment that names no zones.
func (c *converter) convertZones(settings *fastjson.Value) {
	zone := string(settings.GetStringBytes("zone"))
	if zone == "" {
		c.remark("settings.zone", "fill in where the client process stands")
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
			"fill in all zones of the new fleet; the old file names %d", zones)
	}
}
