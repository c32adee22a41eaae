package fleetconfig

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"dahliapin/internal/config/strictconfig"
)

// The limits that apply to both files.
const (
	maxLabelBytes = 200
	// maxControlServers bounds the control servers: further voters slow down publishing without a gain in safety.
	maxControlServers = 9
)

// readFile reads and parses a file; what describes the file in the error for one that cannot be read.
func readFile[F any](path, what string, parse func(file string, text []byte) (*F, error)) (*F, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("cannot read %s: %w", what, err)
	}
	return parse(path, text)
}

func checkAddress(c *strictconfig.Checker, addr, path string) {
	_, err := netip.ParseAddrPort(addr)
	c.Require(err == nil, path, "%q is not an address and port", addr)
}

func checkLabel(c *strictconfig.Checker, label, path string) {
	c.Require(len(label) <= maxLabelBytes, path, "longer than %d bytes", maxLabelBytes)
}

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
