package listeners

import (
	"strings"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
)

// Servers says which caches speak HTTP, and how responses of theirs are kept.
type Servers struct {
	HTTPKinds       []string `toml:"http_kinds"`       // the kinds of cache that speak HTTP
	Host            string   `toml:"host"`             // Host header of their requests; empty for their addresses
	HealthCheckPath string   `toml:"probe_path"`       // answers 200 while the cache is up
	ClockOffS       float64  `toml:"clock_off_s"`      // how far their clocks may be off, in seconds
	Heuristic       float64  `toml:"heuristic"`        // fresh share of the time since Last-Modified (RFC 9111, 4.2.2)
	MaxHeuristicS   float64  `toml:"most_heuristic_s"` // the longest heuristic freshness, in seconds
}

// ClockOff returns how far the clocks of HTTP caches may be off.
func (s *Servers) ClockOff() time.Duration { return fromSeconds(s.ClockOffS) }

// MaxHeuristic returns the longest time for which a response without stated freshness is fresh.
func (s *Servers) MaxHeuristic() time.Duration { return fromSeconds(s.MaxHeuristicS) }

func fromSeconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func (s *Servers) check(c *strictconfig.Checker, deployment *settings.Settings) {
	for _, name := range s.HTTPKinds {
		kind := deployment.Names.Kind([]byte(name))
		if kind < 0 {
			c.Require(false, "servers.http_kinds", "the deployment states no kind %q", name)
			continue
		}
		isOrigin := kind == deployment.Policy.OriginKind
		c.Require(!isOrigin, "servers.http_kinds", "%q is the origin, which is spoken to as ever", name)
	}
	isPath := strings.HasPrefix(s.HealthCheckPath, "/") && !strings.ContainsAny(s.HealthCheckPath, " \r\n")
	c.Require(isPath, "servers.probe_path", "%q is no path", s.HealthCheckPath)
	c.Require(!strings.ContainsAny(s.Host, " /\r\n\t"), "servers.host", "%q is no host", s.Host)
	c.InRange(s.ClockOffS, 0, maxClockOffsetSeconds, "servers.clock_off_s")
	c.InRange(s.Heuristic, 0, 1, "servers.heuristic")
	c.InRange(s.MaxHeuristicS, 0, maxHeuristicSeconds, "servers.most_heuristic_s")
}
