package fleetconfig

import (
	"fmt"
	"time"

	"dahliapin/internal/config/strictconfig"
)

const (
	maxNameBytes = 100
	maxPathBytes = 1000
)

// ControlFile is the configuration of a control server.
type ControlFile struct {
	Control Control         `toml:"control"`
	Servers []ControlServer `toml:"machine"`
	Bounds  ControlBounds   `toml:"bounds"`
	// Purges is nil if this server publishes and delivers purges but does not carry them out at caches.
	Purges *Purges `toml:"purges"`
}

// Control configures the identity and the addresses of a control server.
type Control struct {
	ID    uint64 `toml:"id"`    // its [[machine]]
	Label string `toml:"label"` // of the fleet: streams with a different label are dropped
	Peers string `toml:"peers"` // address and port at which it listens for other control servers
	Nodes string `toml:"nodes"` // address and port at which it listens for nodes and publishers
	Data  string `toml:"data"`  // directory of its replica of the log
}

// ControlServer is an entry of the list of control servers.
type ControlServer struct {
	ID      uint64 `toml:"id"`
	Name    string `toml:"name"`
	Addr    string `toml:"addr"`    // address at which this server reaches its listener for peers
	Learner bool   `toml:"learner"` // it replicates and delivers the log but has no vote
}

// ControlBounds limits what a control server retains and sends.
type ControlBounds struct {
	Entries    int     `toml:"entries"`     // log entries retained for nodes that reconnect
	KeptMB     float64 `toml:"kept_mb"`     // MiB of log entries retained
	WindowKiB  float64 `toml:"window_kb"`   // KiB sent to a node and not yet acknowledged
	PaceMB     float64 `toml:"pace_mb_s"`   // MiB per second to all nodes that are catching up
	Followers  int     `toml:"followers"`   // concurrent followers
	RetentionS float64 `toml:"hold_s"`      // seconds for which entries are retained for a silent node
	ForgetS    float64 `toml:"forget_s"`    // seconds after which a silent node is no longer reported
	ElectionMs float64 `toml:"election_ms"` // milliseconds without a leader until an election, up to twice that
}

// DefaultControl returns the defaults of a control server's configuration.
func DefaultControl() ControlFile {
	return ControlFile{Bounds: ControlBounds{
		Entries:    65_536,
		KeptMB:     32,
		WindowKiB:  256,
		PaceMB:     4,
		Followers:  600,
		RetentionS: 7200,
		ForgetS:    86_400,
		ElectionMs: 1200,
	}}
}

// ReadControl reads a control server's configuration. An error wraps that of the file system, or is a
// strictconfig.FieldErrors.
func ReadControl(path string) (*ControlFile, error) {
	return readFile(path, "control server configuration", ParseControl)
}

// ParseControl parses the text of a control server's configuration; file is its name in errors.
func ParseControl(file string, text []byte) (*ControlFile, error) {
	f := DefaultControl()
	c, err := strictconfig.Parse(file, text, &f)
	if err != nil {
		return nil, err
	}
	if f.Purges != nil { // parse again so that fields missing from [purges] get their defaults
		f = DefaultControl()
		f.Purges = DefaultPurges()
		c, err = strictconfig.Parse(file, text, &f)
		if err != nil {
			return nil, err
		}
	}
	f.Control.check(c)
	f.checkServers(c)
	f.Bounds.check(c)
	if f.Purges != nil {
		f.Purges.check(c)
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &f, nil
}

func (control *Control) check(c *strictconfig.Checker) {
	checkAddress(c, control.Peers, "control.peers")
	checkAddress(c, control.Nodes, "control.nodes")
	checkLabel(c, control.Label, "control.label")
	isPath := control.Data != "" && len(control.Data) <= maxPathBytes
	c.Require(isPath, "control.data", "empty, or longer than %d bytes", maxPathBytes)
}

func (f *ControlFile) checkServers(c *strictconfig.Checker) {
	count := len(f.Servers)
	isInBounds := count > 0 && count <= maxControlServers
	c.Require(isInBounds, "machine", "%d control servers, but there must be 1 to %d", count, maxControlServers)
	ids := map[uint64]bool{}
	names := map[string]bool{}
	voters := 0
	for i, server := range f.Servers {
		path := fmt.Sprintf("machine.%d", i)
		checkAddress(c, server.Addr, path+".addr")
		c.Require(server.ID > 0 && !ids[server.ID], path+".id", "%d is 0 or a duplicate", server.ID)
		checkName(c, server.Name, names, path+".name")
		ids[server.ID] = true
		if !server.Learner {
			voters++
		}
	}
	c.Require(ids[f.Control.ID], "control.id", "no [[machine]] has the id %d", f.Control.ID)
	c.Require(voters%2 == 1, "machine",
		"%d voters: an odd number is needed, as adding one to an odd number tolerates no more failures", voters)
}

// checkName checks that a name is not empty, not too long and not a duplicate, and records it in seen.
func checkName(c *strictconfig.Checker, name string, seen map[string]bool, path string) {
	isName := name != "" && len(name) <= maxNameBytes && !seen[name]
	c.Require(isName, path, "%q is empty, longer than %d bytes or a duplicate", name, maxNameBytes)
	seen[name] = true
}

func (b *ControlBounds) check(c *strictconfig.Checker) {
	c.InRange(float64(b.Entries), 1024, 1<<20, "bounds.entries")
	c.InRange(b.KeptMB, 1, 256, "bounds.kept_mb")
	c.InRange(b.WindowKiB, 16, 16_384, "bounds.window_kb")
	c.InRange(b.PaceMB, 0.1, 1024, "bounds.pace_mb_s")
	c.InRange(float64(b.Followers), 1, 100_000, "bounds.followers")
	c.InRange(b.RetentionS, 1, 86_400, "bounds.hold_s")
	c.InRange(b.ForgetS, 10, 30*86_400, "bounds.forget_s")
	c.InRange(b.ElectionMs, 200, 60_000, "bounds.election_ms")
}

// Self returns the entry of the server that this configuration is for.
func (f *ControlFile) Self() ControlServer {
	var server ControlServer
	for _, server = range f.Servers {
		if server.ID == f.Control.ID {
			return server
		}
	}
	return server
}

// Retention returns RetentionS as a duration.
func (b *ControlBounds) Retention() time.Duration { return seconds(b.RetentionS) }

// ForgetAfter returns ForgetS as a duration.
func (b *ControlBounds) ForgetAfter() time.Duration { return seconds(b.ForgetS) }

// ElectionTimeout returns ElectionMs as a duration.
func (b *ControlBounds) ElectionTimeout() time.Duration { return seconds(b.ElectionMs / 1000) }
