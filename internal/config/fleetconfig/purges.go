package fleetconfig

import (
	"fmt"
	"time"

	"dahliapin/internal/config/strictconfig"
)

// maxCaches bounds the caches that a file lists.
const maxCaches = 1024

// Purges says at which caches a control server carries purges out, and how.
type Purges struct {
	Discovery         string   `toml:"discovery"`    // address of the endpoint list; empty where Caches lists them
	Origins           []string `toml:"origins"`      // machine types in the endpoint list that are no caches
	MaxFillS          float64  `toml:"fills_s"`      // seconds of the longest fill, from reading the origin to caching
	CommandsPerSecond float64  `toml:"commands_s"`   // commands a second to a cache, once a burst of 1,024 has gone
	FlushIntervalS    float64  `toml:"flush_each_s"` // seconds between two caches that have to be flushed
	Caches            []Cache  `toml:"cache"`
}

// Cache is one of a list that doesn't change while the machine runs.
type Cache struct {
	ID   string `toml:"id"`
	Addr string `toml:"addr"`
}

// DefaultPurges returns what holds in [purges] where it says nothing else: FillsS is a longest deadline of 3 s and a
// reserve.
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
	c.Require(hasDiscovery != hasCaches, "purges", "either discovery or [[purges.cache]]s say which caches there are")
	if hasDiscovery {
		checkAddress(c, p.Discovery, "purges.discovery")
	}
	c.Require(len(p.Caches) <= maxCaches, "purges.cache", "more than %d", maxCaches)
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

// MaxFill returns FillsS as a duration.
func (p *Purges) MaxFill() time.Duration { return seconds(p.MaxFillS) }

// CommandInterval returns the time between two commands to one cache, from CommandsPerSecond.
func (p *Purges) CommandInterval() time.Duration { return seconds(1 / p.CommandsPerSecond) }

// FlushInterval returns FlushS as a duration.
func (p *Purges) FlushInterval() time.Duration { return seconds(p.FlushIntervalS) }
