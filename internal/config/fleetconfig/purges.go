package fleetconfig

import (
	"fmt"
	"time"

	"dahliapin/internal/config/strictconfig"
)

// maxCaches bounds the caches listed in a configuration.
const maxCaches = 1024

// Purges configures at which caches a control server carries out purges, and how.
type Purges struct {
	Discovery         string   `toml:"discovery"`    // address of discovery; empty if Caches lists the caches
	Origins           []string `toml:"origins"`      // machine types in the endpoint list that are not caches
	MaxFillS          float64  `toml:"fills_s"`      // longest fill in seconds, from reading at the origin to caching
	CommandsPerSecond float64  `toml:"commands_s"`   // commands per second to a cache after a burst of 1,024
	FlushIntervalS    float64  `toml:"flush_each_s"` // seconds between flushes of two caches
	Caches            []Cache  `toml:"cache"`
}

// Cache is an entry of a fixed list of caches.
type Cache struct {
	ID   string `toml:"id"`
	Addr string `toml:"addr"`
}

// DefaultPurges returns the defaults of the section [purges]. MaxFillS allows for a longest deadline of 3 s and a
// margin.
func DefaultPurges() *Purges {
	return &Purges{
		Origins:           []string{"origin"},
		MaxFillS:          3.5,
		CommandsPerSecond: 500,
		FlushIntervalS:    10,
	}
}

func (p *Purges) check(c *strictconfig.Checker) {
	hasDiscovery := p.Discovery != ""
	hasCaches := len(p.Caches) > 0
	c.Require(hasDiscovery != hasCaches, "purges", "either discovery or [[purges.cache]] must be set, but not both")
	if hasDiscovery {
		checkAddress(c, p.Discovery, "purges.discovery")
	}
	c.Require(len(p.Caches) <= maxCaches, "purges.cache", "more than %d caches", maxCaches)
	ids := map[string]bool{}
	for i, cache := range p.Caches {
		path := fmt.Sprintf("purges.cache.%d", i)
		checkName(c, cache.ID, ids, path+".id")
		checkAddress(c, cache.Addr, path+".addr")
	}
	c.InRange(p.MaxFillS, 0.05, 600, "purges.fills_s")
	c.InRange(p.CommandsPerSecond, 10, 10_000, "purges.commands_s")
	c.InRange(p.FlushIntervalS, 0.1, 3600, "purges.flush_each_s")
}

// MaxFillTime returns MaxFillS as a duration.
func (p *Purges) MaxFillTime() time.Duration { return seconds(p.MaxFillS) }

// CommandInterval returns the time between commands to one cache, derived from CommandsPerSecond.
func (p *Purges) CommandInterval() time.Duration { return seconds(1 / p.CommandsPerSecond) }

// FlushInterval returns FlushIntervalS as a duration.
func (p *Purges) FlushInterval() time.Duration { return seconds(p.FlushIntervalS) }
