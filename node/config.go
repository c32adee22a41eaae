package node

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/settings"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/wire/jsonstream"
)

// The keys of a configuration. Those of its settings are in package settings.
const (
	keyName      = "name"
	keyListen    = "listen"    // address and port for clients
	keyDiscovery = "discovery" // address and port of discovery
	keyAdmin     = "ops"       // address and port for operators
	keySeed      = "seed"      // hexadecimal, or any text
	keyLimits    = "limits"
	keyMemory    = "memory_mb"
	keySockets   = "sockets"
	keySettings  = "settings"
	keyLastList  = "known" // the endpoint list as it was last received
)

var errNoObject = errors.New("the configuration is not a JSON object")

// Config is what a node is given at its start. Its functions are called on a goroutine of their own each, and may be
// nil. New takes a Config for itself.
type Config struct {
	Name      string // unique in the fleet
	Listen    string // address and port for clients
	Discovery string // address and port of discovery
	Admin     string // address and port for operators; empty for none
	Seed      int64  // of random draws
	MemoryMB  int    // memory limit in MB; 0 for the usual
	Sockets   int    // limit of descriptors; 0 for the usual

	OnEvent func(Event, time.Time)         // called with what the node does to endpoints
	OnTrace func(line []byte)              // called with each line of the membership's trace
	OnPurge func(index uint64, key string) // called with each purge of the log of changes

	settings      settings.Settings
	lastList      []byte            // the endpoint list as it was last received, in discovery's form; until New
	listeners     listeners.File    // the operator's file
	fleet         *fleetconfig.File // nil for a node on its own
	limitsApplied bool              // by ApplyLimits
}

// ReadConfig reads a configuration from a file.
func ReadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("no configuration is named: set RELAY_CONFIG or give --config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the configuration cannot be read: %w", err)
	}
	return ParseConfig(text)
}

// ParseConfig decodes a configuration. An error names what is wrong or missing in one line.
func ParseConfig(text []byte) (*Config, error) {
	text, lastList, err := cutLastList(text)
	if err != nil {
		return nil, err
	}
	object, err := fastjson.ParseBytes(text)
	if err != nil || object.Type() != fastjson.TypeObject {
		return nil, errNoObject
	}
	if object.Exists(keyLastList) && lastList == nil {
		lastList = object.Get(keyLastList).MarshalTo(nil)
	}
	c := &Config{
		Name:      string(object.GetStringBytes(keyName)),
		Listen:    string(object.GetStringBytes(keyListen)),
		Discovery: string(object.GetStringBytes(keyDiscovery)),
		Admin:     string(object.GetStringBytes(keyAdmin)),
		Seed:      parseSeed(string(object.GetStringBytes(keySeed))),
		MemoryMB:  object.GetInt(keyLimits, keyMemory),
		Sockets:   object.GetInt(keyLimits, keySockets),
		lastList:  lastList,
	}
	for _, addr := range []string{c.Listen, c.Discovery} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("the configuration's listen or discovery is not an address and a port: %q", addr)
		}
	}
	if err := c.checkAdmin(); err != nil {
		return nil, err
	}
	if c.settings, err = settings.Decode(object.Get(keySettings)); err != nil {
		return nil, fmt.Errorf("the configuration cannot be used: %w", err)
	}
	if c.MemoryMB < 0 || c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minSockets {
		return nil, fmt.Errorf("the configuration's limits are too low: %d MB, %d sockets", c.MemoryMB, c.Sockets)
	}
	return c, nil
}

// parseSeed takes a hexadecimal number as it is, and hashes any other text.
func parseSeed(text string) int64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return int64(n)
	}
	return int64(keyhash.String(text))
}

// cutLastList cuts the endpoint list out of a configuration: it may be by far the longest part, and is read as lists
// are. It returns the text as it is where the list is absent, or is to be found by parsing the whole.
func cutLastList(text []byte) (rest, lastList []byte, err error) {
	rest, value, ok := jsonstream.CutMember(text, keyLastList)
	if !ok {
		return text, nil, nil
	}
	if fastjson.ValidateBytes(value) != nil {
		return nil, nil, errNoObject
	}
	return rest, value, nil
}

// SetAdminAddr sets another address for operators than the configuration's. Two processes may be started with one
// configuration.
func (c *Config) SetAdminAddr(addr string) error {
	c.Admin = addr
	return c.checkAdmin()
}

func (c *Config) checkAdmin() error {
	if c.Admin == "" {
		return nil
	}
	if c.Sockets > 0 && c.Sockets < minSocketsWithAdmin {
		return fmt.Errorf("the configuration's limits are too low for operators' calls: %d sockets, %d are needed",
			c.Sockets, minSocketsWithAdmin)
	}
	addr, err := netip.ParseAddrPort(c.Admin)
	if err != nil {
		return fmt.Errorf("the address for operators, ops, is not an address and a port: %q", c.Admin)
	}
	if c.Admin == c.Listen && addr.Port() != 0 { // port 0 is any that is free, another one each time
		return fmt.Errorf("the address for operators, ops, is that of clients: %q", c.Admin)
	}
	return nil
}

// LoadListenersFile adds the operator's file: further listeners, caches that speak HTTP, degradation levels.
func (c *Config) LoadListenersFile(path string) error {
	var err error
	c.listeners, err = listeners.Read(path, &c.settings)
	return err
}

// ParseListeners adds the text of such a file; name is for error messages.
func (c *Config) ParseListeners(name string, text []byte) error {
	var err error
	c.listeners, err = listeners.Parse(name, text, &c.settings)
	return err
}

// LoadFleetFile adds the file by which the node joins its fleet.
func (c *Config) LoadFleetFile(path string) error {
	var err error
	if c.fleet, err = fleetconfig.Read(path); err != nil {
		return err
	}
	return c.checkFleetDescriptors()
}

// ParseFleet adds the text of such a file; name is for error messages.
func (c *Config) ParseFleet(name string, text []byte) error {
	var err error
	if c.fleet, err = fleetconfig.Parse(name, text); err != nil {
		return err
	}
	return c.checkFleetDescriptors()
}

// checkFleetDescriptors checks that the limit of descriptors is enough for the fleet as well. Where the node can be
// replaced, two processes need them.
func (c *Config) checkFleetDescriptors() error {
	least := minSockets + c.fleetDescriptors()
	if c.Admin != "" {
		least = minSocketsWithAdmin + 2*c.fleetDescriptors()
	}
	if c.Sockets > 0 && c.Sockets < least {
		return fmt.Errorf("the configuration's limits are too low for other nodes: %d sockets, %d are needed",
			c.Sockets, least)
	}
	return nil
}
