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

// ControlFile is the file of a control server.
type ControlFile struct {
	Control Control         `toml:"control"`
	Servers []ControlServer `toml:"machine"`
	Bounds  ControlBounds   `toml:"bounds"`
	// Purges is nil where purges are published and delivered, and not carried out at caches by this machine.
	Purges *Purges `toml:"purges"`
}

// Control says who a machine is and where it is reached.
type Control struct {
	ID    uint64 `toml:"id"`    // its [[machine]]
	Label string `toml:"label"` // of the fleet: streams with another label are dropped
	Peers string `toml:"peers"` // address and port at which it listens for other control servers
	Nodes string `toml:"nodes"` // address and port at which it listens for nodes and for those who publish
	Data  string `toml:"data"`  // folder of its replica of the log
}

// ControlServer is one of the control servers.
type ControlServer struct {
	ID      uint64 `toml:"id"`
	Name    string `toml:"name"`
	Addr    string `toml:"addr"`    // where this machine reaches its listener for peers
	Learner bool   `toml:"learner"` // it replicates and delivers the log, and has no vote
}

// ControlBounds bound what a control server keeps and sends.
type ControlBounds struct {
	Entries    int     `toml:"entries"`     // log entries kept for nodes that come back
	KeptMB     float64 `toml:"kept_mb"`     // MiB of these
	WindowKiB  float64 `toml:"window_kb"`   // KiB in flight to a node that it has not acknowledged
	PaceMB     float64 `toml:"pace_mb_s"`   // MiB a second to all nodes that catch up
	Followers  int     `toml:"followers"`   // nodes that follow at once
	HoldS      float64 `toml:"hold_s"`      // seconds for which entries are kept for a node that is not heard
	ForgetS    float64 `toml:"forget_s"`    // seconds after which a node that is not heard is no longer reported
	ElectionMs float64 `toml:"election_ms"` // milliseconds without the leader until an election, up to twice that
}

// DefaultControl returns what holds where a control server's file says nothing.
func DefaultControl() ControlFile {
	return ControlFile{Bounds: ControlBounds{
		Entries:    65_536,
		KeptMB:     32,
		WindowKiB:  256,
		PaceMB:     4,
		Followers:  600,
		HoldS:      7200,
		ForgetS:    86_400,
		ElectionMs: 1200,
	}}
}

// ReadControl reads a control server's file. An error wraps that of the file system, or is a strictconfig.FieldErrors.
func ReadControl(path string) (*ControlFile, error) {
	return readFile(path, "the control machine's file", ParseControl)
}

// ParseControl reads the text of a control server's file; file is its name in errors.
func ParseControl(file string, text []byte) (*ControlFile, error) {
	f := DefaultControl()
	c, err := strictconfig.Parse(file, text, &f)
	if err != nil {
		return nil, err
	}
	if f.Purges != nil { // there is the section: it is read again, over its defaults
		f = DefaultControl()
		f.Purges = DefaultPurges()
		c, err = strictconfig.Parse(file, text, &f)
		if err != nil {
			return nil, err
		}
	}
	f.Control.check(c)
	f.checkMachines(c)
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
	c.Require(isPath, "control.data", "no folder for the log is named")
}

func (f *ControlFile) checkMachines(c *strictconfig.Checker) {
	count := len(f.Servers)
	isInBounds := count > 0 && count <= maxMachines
	c.Require(isInBounds, "machine", "%d control machines, from 1 to %d can be", count, maxMachines)
	ids := map[uint64]bool{}
	names := map[string]bool{}
	voters := 0
	for i, m := range f.Servers {
		path := fmt.Sprintf("machine.%d", i)
		checkAddress(c, m.Addr, path+".addr")
		c.Require(m.ID > 0 && !ids[m.ID], path+".id", "%d is 0 or another's", m.ID)
		checkName(c, m.Name, names, path+".name")
		ids[m.ID] = true
		if !m.Learner {
			voters++
		}
	}
	c.Require(ids[f.Control.ID], "control.id", "no [[machine]] has the id %d", f.Control.ID)
	c.Require(voters%2 == 1, "machine",
		"%d voters: an odd number is needed, as one more to an odd number bears no more failures", voters)
}

// checkName checks that a name is not empty, not too long and none of those seen before, and adds it to these.
func checkName(c *strictconfig.Checker, name string, seen map[string]bool, path string) {
	isName := name != "" && len(name) <= maxNameBytes && !seen[name]
	c.Require(isName, path, "%q is empty, too long or another's", name)
	seen[name] = true
}

func (b *ControlBounds) check(c *strictconfig.Checker) {
	c.InRange(float64(b.Entries), 1024, 1<<20, "bounds.entries")
	c.InRange(b.KeptMB, 1, 256, "bounds.kept_mb")
	c.InRange(b.WindowKiB, 16, 16_384, "bounds.window_kb")
	c.InRange(b.PaceMB, 0.1, 1024, "bounds.pace_mb_s")
	c.InRange(float64(b.Followers), 1, 100_000, "bounds.followers")
	c.InRange(b.HoldS, 1, 86_400, "bounds.hold_s")
	c.InRange(b.ForgetS, 10, 30*86_400, "bounds.forget_s")
	c.InRange(b.ElectionMs, 200, 60_000, "bounds.election_ms")
}

// Self returns the machine whose file it is.
func (f *ControlFile) Self() ControlServer {
	var m ControlServer
	for _, m = range f.Servers {
		if m.ID == f.Control.ID {
			return m
		}
	}
	return m
}

// Hold returns HoldS as a duration.
func (b *ControlBounds) Hold() time.Duration { return seconds(b.HoldS) }

// ForgetAfter returns ForgetS as a duration.
func (b *ControlBounds) ForgetAfter() time.Duration { return seconds(b.ForgetS) }

// ElectionTimeout returns ElectMs as a duration.
func (b *ControlBounds) ElectionTimeout() time.Duration { return seconds(b.ElectionMs / 1000) }
