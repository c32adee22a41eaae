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

// The keys of a node configuration. Those of its settings are in package settings.
const (
	keyName      = "name"
	keyListen    = "listen"    // address and port for clients
	keyDiscovery = "discovery" // address and port of discovery
	keyAdmin     = "ops"       // address and port of the admin server
	keySeed      = "seed"      // hexadecimal number or any text
	keyLimits    = "limits"
	keyMemory    = "memory_mb"
	keySockets   = "sockets"
	keySettings  = "settings"
	keyLastList  = "known" // last known endpoint list
)

var errNoObject = errors.New("configuration is not a JSON object")

// Config is the configuration of a node. Each callback is called on a goroutine of its own and may be nil. A Config
// must not be used after it has been passed to New.
type Config struct {
	Name      string // unique in the fleet
	Listen    string // address and port for clients
	Discovery string // address and port of discovery
	Admin     string // address and port of the admin server; empty for none
	Seed      int64  // of the random number generator
	MemoryMB  int    // memory limit in MB; 0 for the default
	Sockets   int    // limit of file descriptors; 0 for the default

	OnEvent func(Event, time.Time)         // called with each event
	OnTrace func(line []byte)              // called with each line of the gossip trace
	OnPurge func(index uint64, key string) // called with each purge in the replicated log

	settings      settings.Settings
	lastList      []byte            // last known endpoint list in discovery's format; cleared by New
	listeners     listeners.File    // the listeners file
	fleet         *fleetconfig.File // nil for a node without a fleet
	limitsApplied bool              // ApplyLimits has been called
}

// ReadConfig reads a node configuration from a file.
func ReadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("no configuration file is given: set RELAY_CONFIG or use --config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("cannot read the configuration: %w", err)
	}
	return ParseConfig(text)
}

// ParseConfig decodes a node configuration. Errors are one line of text.
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
			return nil, fmt.Errorf("listen or discovery in the configuration is not an address and port: %q", addr)
		}
	}
	if err := c.checkAdmin(); err != nil {
		return nil, err
	}
	if c.settings, err = settings.Decode(object.Get(keySettings)); err != nil {
		return nil, fmt.Errorf("invalid configuration: %w", err)
	}
	if c.MemoryMB < 0 || c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minSockets {
		return nil, fmt.Errorf(
			"limits in the configuration are too low: memory_mb is %d, sockets is %d (must be 0 or at least %d)",
			c.MemoryMB, c.Sockets, minSockets)
	}
	return c, nil
}

// parseSeed returns the value of a hexadecimal number, or the hash of any other text.
func parseSeed(text string) int64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return int64(n)
	}
	return int64(keyhash.String(text))
}

// cutLastList cuts the last known endpoint list out of a configuration. The list may be by far the longest part and is
// read later, by the reader of endpoint lists. It returns the text unchanged if the list is absent or can be found only
// by parsing the whole text.
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

// SetAdminAddr overrides the address of the admin server, so that two processes can be started with the same
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
		return fmt.Errorf("limits in the configuration are too low for the admin server: %d sockets, %d are needed",
			c.Sockets, minSocketsWithAdmin)
	}
	addr, err := netip.ParseAddrPort(c.Admin)
	if err != nil {
		return fmt.Errorf("ops, the address of the admin server, is not an address and port: %q", c.Admin)
	}
	if c.Admin == c.Listen && addr.Port() != 0 { // with port 0 the system chooses a free port each time
		return fmt.Errorf("ops, the address of the admin server, is the address for clients: %q", c.Admin)
	}
	return nil
}

// LoadListenersFile reads a listeners file: additional listeners, caches that speak HTTP and degradation levels.
func (c *Config) LoadListenersFile(path string) error {
	var err error
	c.listeners, err = listeners.Read(path, &c.settings)
	return err
}

// ParseListeners parses the text of a listeners file; name is its name in errors.
func (c *Config) ParseListeners(name string, text []byte) error {
	var err error
	c.listeners, err = listeners.Parse(name, text, &c.settings)
	return err
}

// LoadFleetFile reads the fleet configuration, with which the node joins its fleet.
func (c *Config) LoadFleetFile(path string) error {
	var err error
	if c.fleet, err = fleetconfig.Read(path); err != nil {
		return err
	}
	return c.checkFleetDescriptors()
}

// ParseFleet parses the text of a fleet configuration; name is its name in errors.
func (c *Config) ParseFleet(name string, text []byte) error {
	var err error
	if c.fleet, err = fleetconfig.Parse(name, text); err != nil {
		return err
	}
	return c.checkFleetDescriptors()
}

// checkFleetDescriptors checks that the descriptor limit also suffices for gossip and the log follower, in two
// processes for a node that allows takeover.
func (c *Config) checkFleetDescriptors() error {
	minimum := minSockets + c.fleetDescriptors()
	if c.Admin != "" {
		minimum = minSocketsWithAdmin + 2*c.fleetDescriptors()
	}
	if c.Sockets > 0 && c.Sockets < minimum {
		return fmt.Errorf("limits in the configuration are too low for the fleet: %d sockets, %d are needed",
			c.Sockets, minimum)
	}
	return nil
}
