package fleetconfig

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"dahliapin/internal/config/strictconfig"
)

const (
	mostCaches   = 1024 // in a file
	mostMachines = 9    // control machines: each further voter makes an order slower, not safer
	longestName  = 100  // bytes
	longestPath  = 1000 // bytes
)

// ControlFile is what an operator states of a control machine.
type ControlFile struct {
	Control  Control       `toml:"control"`
	Machines []Machine     `toml:"machine"`
	Bounds   ControlBounds `toml:"bounds"`
	Purges   *Purges       `toml:"purges"` // nil: purges are ordered and delivered, and not carried out at caches
}

// Purges says at which caches this machine carries purges out, and how.
type Purges struct {
	Discovery string   `toml:"discovery"`    // address and port of discovery's list; empty for the [[purges.cache]]s
	Origins   []string `toml:"origins"`      // machine types in the list that are no caches
	FillsS    float64  `toml:"fills_s"`      // the longest that a fill may take, from reading at the origin until the value is in a cache
	PaceS     float64  `toml:"commands_s"`   // a second to a cache, once a burst of 1,024 has gone
	FlushS    float64  `toml:"flush_each_s"` // between two caches that have to be flushed
	Caches    []Cache  `toml:"cache"`
}

// Cache is one of a list that doesn't change while the machine runs.
type Cache struct {
	ID   string `toml:"id"`
	Addr string `toml:"addr"`
}

// Control says who this machine is and where it is reached.
type Control struct {
	ID    uint64 `toml:"id"`    // its [[machine]]
	Label string `toml:"label"` // of the fleet: streams with another are dropped
	Peers string `toml:"peers"` // address and port at which other control machines are heard
	Nodes string `toml:"nodes"` // address and port at which nodes, and who publishes, are heard
	Data  string `toml:"data"`  // folder of its part of the log
}

// Machine is one of the control machines.
type Machine struct {
	ID      uint64 `toml:"id"`
	Name    string `toml:"name"`
	Addr    string `toml:"addr"`    // where this one reaches its peers' listener
	Learner bool   `toml:"learner"` // it has the log and delivers it, and has no vote
}

// ControlBounds bound what a control machine keeps and sends.
type ControlBounds struct {
	Entries   int     `toml:"entries"`     // kept for nodes that come back
	KeptMB    float64 `toml:"kept_mb"`     // of them
	WindowKB  float64 `toml:"window_kb"`   // on the way to a node that it has not acknowledged
	PaceMB    float64 `toml:"pace_mb_s"`   // a second to all nodes that catch up
	Followers int     `toml:"followers"`   // nodes at once
	HoldS     float64 `toml:"hold_s"`      // that entries are kept for a node that is not heard
	ForgetS   float64 `toml:"forget_s"`    // after which a node that is not heard is not told of any more
	ElectMs   float64 `toml:"election_ms"` // without a word from the leader until another is elected, at least; twice that at most
}

// DefaultControl is what holds where nothing is written.
func DefaultControl() ControlFile {
	return ControlFile{Bounds: ControlBounds{Entries: 65_536, KeptMB: 32, WindowKB: 256, PaceMB: 4, Followers: 600, HoldS: 7200, ForgetS: 86_400, ElectMs: 1200}}
}

// DefaultPurges is what holds in [purges] where nothing else is written: a longest deadline of 3 s and a reserve.
func DefaultPurges() *Purges {
	return &Purges{Origins: []string{"origin"}, FillsS: 3.5, PaceS: 500, FlushS: 10}
}

// ReadControl reads a control machine's file.
func ReadControl(path string) (*ControlFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the control machine's file cannot be read: %w", err)
	}
	return ParseControl(path, text)
}

// ParseControl reads the text of such a file; all that is wrong with it is told with its line.
func ParseControl(file string, text []byte) (*ControlFile, error) {
	f := DefaultControl()
	c, err := strictconfig.Parse(file, text, &f)
	if err != nil {
		return nil, err
	}
	if f.Purges != nil { // again, over what is usual
		f = DefaultControl()
		f.Purges = DefaultPurges()
		if c, err = strictconfig.Parse(file, text, &f); err != nil {
			return nil, err
		}
	}
	address := func(at, path string) {
		_, err := netip.ParseAddrPort(at)
		c.Require(err == nil, path, "%q is not an address and a port", at)
	}
	address(f.Control.Peers, "control.peers")
	address(f.Control.Nodes, "control.nodes")
	c.Require(len(f.Control.Label) <= longestLabel, "control.label", "longer than %d bytes", longestLabel)
	c.Require(f.Control.Data != "" && len(f.Control.Data) <= longestPath, "control.data", "no folder for the log is named")
	c.Require(len(f.Machines) > 0 && len(f.Machines) <= mostMachines, "machine", "%d control machines, from 1 to %d can be", len(f.Machines), mostMachines)
	ids, names, voters, self := map[uint64]bool{}, map[string]bool{}, 0, false
	for i, m := range f.Machines {
		path := fmt.Sprintf("machine.%d", i)
		address(m.Addr, path+".addr")
		c.Require(m.ID > 0 && !ids[m.ID], path+".id", "%d is 0 or another's", m.ID)
		c.Require(m.Name != "" && len(m.Name) <= longestName && !names[m.Name], path+".name", "%q is empty, too long or another's", m.Name)
		ids[m.ID], names[m.Name] = true, true
		if self = self || m.ID == f.Control.ID; !m.Learner {
			voters++
		}
	}
	c.Require(self, "control.id", "no [[machine]] has the id %d", f.Control.ID)
	c.Require(voters%2 == 1, "machine", "%d voters: an odd number is needed, as one more to an odd number bears no more failures", voters)
	b := &f.Bounds
	c.InRange(float64(b.Entries), 1024, 1<<20, "bounds.entries")
	c.InRange(b.KeptMB, 1, 256, "bounds.kept_mb")
	c.InRange(b.WindowKB, 16, 16_384, "bounds.window_kb")
	c.InRange(b.PaceMB, 0.1, 1024, "bounds.pace_mb_s")
	c.InRange(float64(b.Followers), 1, 100_000, "bounds.followers")
	c.InRange(b.HoldS, 1, 86_400, "bounds.hold_s")
	c.InRange(b.ForgetS, 10, 30*86_400, "bounds.forget_s")
	c.InRange(b.ElectMs, 200, 60_000, "bounds.election_ms")
	if f.Purges != nil {
		f.Purges.check(c, address)
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &f, nil
}

func (p *Purges) check(c *strictconfig.Checker, address func(at, path string)) {
	c.Require((p.Discovery != "") != (len(p.Caches) > 0), "purges", "either discovery or [[purges.cache]]s say which caches there are")
	if p.Discovery != "" {
		address(p.Discovery, "purges.discovery")
	}
	c.Require(len(p.Caches) <= mostCaches, "purges.cache", "more than %d", mostCaches)
	ids := map[string]bool{}
	for i, at := range p.Caches {
		path := fmt.Sprintf("purges.cache.%d", i)
		c.Require(at.ID != "" && len(at.ID) <= longestName && !ids[at.ID], path+".id", "%q is empty, too long or another's", at.ID)
		address(at.Addr, path+".addr")
		ids[at.ID] = true
	}
	c.InRange(p.FillsS, 0.05, 600, "purges.fills_s")
	c.InRange(p.PaceS, 10, 10_000, "purges.commands_s")
	c.InRange(p.FlushS, 0.1, 3600, "purges.flush_each_s")
}

// Self is the machine that the file is of.
func (f *ControlFile) Self() (m Machine) {
	for _, m = range f.Machines {
		if m.ID == f.Control.ID {
			return m
		}
	}
	return m
}

// Fills is FillsS as a duration.
func (p *Purges) Fills() time.Duration { return seconds(p.FillsS) }

// Each is the time between two purges at one cache, from PaceS.
func (p *Purges) Each() time.Duration { return seconds(1 / p.PaceS) }

// FlushEach is FlushS as a duration.
func (p *Purges) FlushEach() time.Duration { return seconds(p.FlushS) }

// Hold is HoldS as a duration.
func (b *ControlBounds) Hold() time.Duration { return seconds(b.HoldS) }

// Forget is ForgetS as a duration.
func (b *ControlBounds) Forget() time.Duration { return seconds(b.ForgetS) }

// Election is ElectMs as a duration.
func (b *ControlBounds) Election() time.Duration { return seconds(b.ElectMs / 1000) }
