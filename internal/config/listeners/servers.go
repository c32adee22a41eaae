package listeners

import (
	"strings"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
)

// HTTPCaches configures the caches that speak HTTP and how long their responses are fresh.
type HTTPCaches struct {
	HTTPKinds       []string `toml:"http_kinds"`       // endpoint kinds of the caches that speak HTTP
	Host            string   `toml:"host"`             // Host header of requests to them; empty for their addresses
	HealthCheckPath string   `toml:"probe_path"`       // health check path: status 200 while the cache is up
	ClockOffS       float64  `toml:"clock_off_s"`      // maximum offset of their clocks, in seconds
	Heuristic       float64  `toml:"heuristic"`        // fraction of the time since Last-Modified (RFC 9111, 4.2.2)
	MaxHeuristicS   float64  `toml:"most_heuristic_s"` // maximum heuristic freshness, in seconds
}

// ClockOff returns the maximum offset of the clocks of HTTP caches.
func (s *HTTPCaches) ClockOff() time.Duration { return fromSeconds(s.ClockOffS) }

// MaxHeuristic returns the maximum freshness of a response without an explicit freshness lifetime.
func (s *HTTPCaches) MaxHeuristic() time.Duration { return fromSeconds(s.MaxHeuristicS) }

func fromSeconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func (s *HTTPCaches) check(c *strictconfig.Checker, deployment *settings.Settings) {
	for _, name := range s.HTTPKinds {
		kind := deployment.Names.Kind([]byte(name))
		if kind < 0 {
			c.Require(false, "servers.http_kinds", "the settings define no endpoint kind %q", name)
			continue
		}
		isOrigin := kind == deployment.Policy.OriginKind
		c.Require(!isOrigin, "servers.http_kinds", "%q is the origin, whose protocol cannot be changed", name)
	}
	isPath := strings.HasPrefix(s.HealthCheckPath, "/") && !strings.ContainsAny(s.HealthCheckPath, " \r\n")
	c.Require(isPath, "servers.probe_path", "%q is not a valid path", s.HealthCheckPath)
	c.Require(!strings.ContainsAny(s.Host, " /\r\n\t"), "servers.host", "%q is not a valid host", s.Host)
	c.InRange(s.ClockOffS, 0, maxClockOffsetSeconds, "servers.clock_off_s")
	c.InRange(s.Heuristic, 0, 1, "servers.heuristic")
	c.InRange(s.MaxHeuristicS, 0, maxHeuristicSeconds, "servers.most_heuristic_s")
}
