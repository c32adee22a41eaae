package fleetconfig

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"dahliapin/internal/config/strictconfig"
)

// Bounds that both files have.
const (
	maxLabelBytes = 200
	// maxMachines bounds the control servers: each further voter makes a publication slower, and the fleet no safer.
	maxMachines = 9
)

// readFile reads a file and parses its text; what names the file in the error where it can't be read.
func readFile[F any](path, what string, parse func(file string, text []byte) (*F, error)) (*F, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s cannot be read: %w", what, err)
	}
	return parse(path, text)
}

func checkAddress(c *strictconfig.Checker, addr, path string) {
	_, err := netip.ParseAddrPort(addr)
	c.Require(err == nil, path, "%q is not an address and a port", addr)
}

func checkLabel(c *strictconfig.Checker, label, path string) {
	c.Require(len(label) <= maxLabelBytes, path, "longer than %d bytes", maxLabelBytes)
}

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
