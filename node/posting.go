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
	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/wire/jsonstream"
)

// Config is what a node is told at its start: its name, where it stands, and the terms it works under.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // where operators call; empty for nowhere
	Seed                    int64
	MemoryMB, Sockets       int
	OnEvent                 func(Event, time.Time) // told what the node does to caches, from a goroutine of its own; nil for nobody
	terms                   settings.Settings
	known                   []byte // the list as last held, as discovery writes it; until the node has taken it
	operator                listeners.File
	charter                 *fleetconfig.File              // by which it joins other nodes; nil for none
	OnTrace                 func([]byte)                   // told each line of what it does in the fleet, from a goroutine of its own; nil for nobody
	OnPurge                 func(index uint64, key string) // told of each purge that the log of changes brings, from a goroutine of its own; nil for nobody
	fitted                  bool                           // the process keeps within its limits
}

// LoadListenersFile adds what an operator's file states: further listeners, caches that speak HTTP, service levels.
func (p *Config) LoadListenersFile(path string) (err error) {
	p.operator, err = listeners.Read(path, &p.terms)
	return err
}

// ParseListeners does so with the text of such a file.
func (p *Config) ParseListeners(name string, text []byte) (err error) {
	p.operator, err = listeners.Parse(name, text, &p.terms)
	return err
}

// LoadFleetFile adds the file by which it joins other nodes.
func (p *Config) LoadFleetFile(path string) (err error) {
	p.charter, err = fleetconfig.Read(path)
	return p.mayJoin(err)
}

// ParseFleet does so with the text of such a file.
func (p *Config) ParseFleet(name string, text []byte) (err error) {
	p.charter, err = fleetconfig.Parse(name, text)
	return p.mayJoin(err)
}

// mayJoin tells whether there are descriptors for the other nodes as well.
func (p *Config) mayJoin(err error) error {
	fewest := fewestSockets + p.fleetFiles()
	if p.Admin != "" {
		fewest = fewestWithOps + 2*p.fleetFiles()
	}
	if err == nil && p.Sockets > 0 && p.Sockets < fewest {
		return fmt.Errorf("the configuration's limits are too low for other nodes: %d sockets, %d are needed", p.Sockets, fewest)
	}
	return err
}

// fleetFiles are the descriptors for what the charter has this node do; 0 without one.
func (p *Config) fleetFiles() int {
	switch {
	case p.charter == nil:
		return 0
	case len(p.charter.Changes.At) > 0:
		return gossip.Descriptors + logfollower.Descriptors
	}
	return gossip.Descriptors
}

// ReadConfig reads a posting from a file.
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

// ParseConfig reads a posting. What it names wrongly or not at all is told in one line.
func ParseConfig(text []byte) (*Config, error) {
	text, known, err := cutKnown(text)
	if err != nil {
		return nil, err
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		return nil, errNoObject
	}
	if v.Exists("known") && known == nil {
		known = v.Get("known").MarshalTo(nil)
	}
	p := &Config{Name: string(v.GetStringBytes("name")), Listen: string(v.GetStringBytes("listen")),
		Discovery: string(v.GetStringBytes("discovery")), MemoryMB: v.GetInt("limits", "memory_mb"),
		Sockets: v.GetInt("limits", "sockets"), known: known}
	for _, addr := range []string{p.Listen, p.Discovery} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("the configuration's listen or discovery is not an address and a port: %q", addr)
		}
	}
	p.Admin = string(v.GetStringBytes("ops"))
	if err := p.mayCall(); err != nil {
		return nil, err
	}
	if p.terms, err = settings.Decode(v.Get("settings")); err != nil {
		return nil, fmt.Errorf("the configuration cannot be used: %w", err)
	}
	if p.MemoryMB < 0 || p.Sockets < 0 || p.Sockets > 0 && p.Sockets < fewestSockets {
		return nil, fmt.Errorf("the configuration's limits are too low: %d MB, %d sockets", p.MemoryMB, p.Sockets)
	}
	seed := string(v.GetStringBytes("seed"))
	if n, err := strconv.ParseUint(seed, 16, 64); err == nil {
		p.Seed = int64(n)
	} else {
		p.Seed = int64(keyhash.String(seed))
	}
	return p, nil
}

var errNoObject = errors.New("the configuration is not a JSON object")

// cutKnown takes the list as last held out of a configuration: it may be by far the longest part, and is read as lists are.
func cutKnown(text []byte) (rest, known []byte, err error) {
	rest, value, ok := jsonstream.Member(text, "known")
	if !ok { // it is not there, or is found by parsing the whole
		return text, nil, nil
	}
	if fastjson.ValidateBytes(value) != nil {
		return nil, nil, errNoObject
	}
	return rest, value, nil
}

// SetAdminAddr has operators call elsewhere than the configuration says. Two processes may start by one configuration.
func (p *Config) SetAdminAddr(addr string) error {
	p.Admin = addr
	return p.mayCall()
}

func (p *Config) mayCall() error {
	if p.Admin == "" {
		return nil
	}
	if p.Sockets > 0 && p.Sockets < fewestWithOps {
		return fmt.Errorf("the configuration's limits are too low for operators' calls: %d sockets, %d are needed", p.Sockets, fewestWithOps)
	}
	at, err := netip.ParseAddrPort(p.Admin)
	if err != nil {
		return fmt.Errorf("the address for operators, ops, is not an address and a port: %q", p.Admin)
	}
	if p.Admin == p.Listen && at.Port() != 0 { // port 0 is any that is free, another each time
		return fmt.Errorf("the address for operators, ops, is that of clients: %q", p.Admin)
	}
	return nil
}
