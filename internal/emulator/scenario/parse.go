package scenario

import (
	"fmt"
	"os"
	"strings"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/strictconfig"
)

// Read parses a scenario file.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("cannot read the scenario file: %w", err)
	}
	return Parse(path, text)
}

// Parse parses a scenario. Its errors name the file and the line.
func Parse(file string, text []byte) (*Scenario, error) {
	s := defaults()
	c, err := strictconfig.Parse(file, text, &s)
	if err != nil {
		return nil, err
	}
	s.check(c)
	if err := c.Err(); err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(file[strings.LastIndexByte(file, '/')+1:], ".toml")
	}
	return &s, nil
}

// defaults returns a scenario whose fields have their default values.
func defaults() Scenario {
	return Scenario{
		Seed: 1, Seconds: 30,
		Fleet: Fleet{Protocol: listeners.ProtocolMeta, Nodes: 1, Caches: 12, Zones: []string{"a"}, Group: 4,
			Cores: 1, Queue: 12, Speed: [2]float64{1, 1}, Keys: 2000, Warm: true,
			ColdFrom: 0.4, ColdS: 5, FallMultiple: 3, FallS: 1, Connections: 600, HandshakeMs: 1, IdleS: 15},
		Origin:    Origin{Cores: 4, Queue: 64, WorkMs: 15, StallAt: 40, Stall: 2, FallMultiple: 3, FallS: 1},
		Network:   Network{OneWayMs: 0.2, CrossZoneMs: 5, ClientMs: 0.5, Jitter: 0.2},
		Discovery: Discovery{NoticeS: [2]float64{0.3, 1}},
		Allowed: Allowed{Mode: "aside", MaxAttempts: 3, Hedging: true, Cancel: true, Probes: true,
			RetryAfterMs: 600, GraceMs: 400, ConnectMs: 100, WastePrice: 0.04},
		Traffic: Traffic{Protocol: listeners.ProtocolMeta, PerSecond: 300, Keys: 5000, Zipf: 0.9, WaveS: 30,
			Jitter: 0.5},
	}
}
