// Package charter reads what an operator states of nodes that know one another: where a node is heard, whom it asks first, and how
// long a silence is borne. Without such a file a node knows of no other.
package fleetconfig

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"time"

	"dahliapin/internal/config/strictconfig"
)

const (
	longestLabel = 200  // bytes
	mostSeeds    = 64   // asked one after the other: more make a start slow
	mostWays     = 4096 // other ways to members: one for each there may be
)

// The engines that carry what members say.
const (
	Tuned = "tuned" // bounds that bear loss: for service
	Plain = "plain" // the gossip library as it comes: a baseline for rehearsals
)

// File is what the operator's file states.
type File struct {
	Fleet           Fleet            `toml:"fleet"`
	Members         Members          `toml:"members"`
	Changes         Changes          `toml:"changes"`
	AddressMappings []AddressMapping `toml:"way"`
}

// Fleet says how this node is reached and reaches others.
type Fleet struct {
	Label     string   `toml:"label"`     // of the fleet: what comes from one with another is dropped
	Listen    string   `toml:"listen"`    // address and port, for datagrams and streams
	Advertise string   `toml:"advertise"` // the same as others see it; empty for the same
	Seeds     []string `toml:"seeds"`     // members to ask first, of which one alive is enough
	Key       string   `toml:"key"`       // base64 of 16, 24 or 32 bytes for the library's encryption; empty for none
	Engine    string   `toml:"engine"`
}

// Members says how failures are told.
type Members struct {
	PauseS     float64 `toml:"pause_s"`  // that a process may stand still and stays a member
	HelloMs    float64 `toml:"hello_ms"` // between two signs of life to a neighbour
	BackS      float64 `toml:"back_s"`   // that who was taken out must be heard before it is taken in again
	LoopS      float64 `toml:"loop_s"`   // that the loop which serves clients may stand still and the node still gives signs of life
	ForgetS    float64 `toml:"forget_s"` // after which one that was taken out is forgotten
	MaxMembers int     `toml:"most"`     // members
}

// Changes says where this node follows the fleet's log of changes. Without control machines it follows none.
type Changes struct {
	At     []string `toml:"at"`      // of control machines, where they hear nodes
	StaleS float64  `toml:"stale_s"` // without a word from one that hears a leader: the node says then that it is stale, and goes on
}

// AddressMapping is how a member is reached elsewhere than where it says: by a forwarded port, say.
type AddressMapping struct {
	To      string `toml:"to"`
	Through string `toml:"through"`
}

// Default is what holds where nothing is written.
func Default() File {
	return File{Fleet: Fleet{Engine: Tuned}, Members: Members{PauseS: 2, HelloMs: 300, BackS: 2, LoopS: 1, ForgetS: 60, MaxMembers: 4000},
		Changes: Changes{StaleS: 30}}
}

// Read reads a file.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the fleet's file cannot be read: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text; all that is wrong with it is told with its line.
func Parse(file string, text []byte) (*File, error) {
	f := Default()
	c, err := strictconfig.Parse(file, text, &f)
	if err != nil {
		return nil, err
	}
	address := func(at, path string) {
		_, err := netip.ParseAddrPort(at)
		c.Require(err == nil, path, "%q is not an address and a port", at)
	}
	address(f.Fleet.Listen, "fleet.listen")
	listens := f.Fleet.Advertise == ""
	if listens {
		f.Fleet.Advertise = f.Fleet.Listen
	}
	if at, err := netip.ParseAddrPort(f.Fleet.Advertise); err != nil && !listens || err == nil && (at.Addr().IsUnspecified() || at.Port() == 0) {
		c.Require(false, "fleet.advertise", "%q is not an address and a port that others can reach", f.Fleet.Advertise)
	}
	c.Require(len(f.Fleet.Label) <= longestLabel, "fleet.label", "longer than %d bytes", longestLabel)
	c.Require(len(f.Fleet.Seeds) <= mostSeeds, "fleet.seeds", "more than %d", mostSeeds)
	for _, s := range f.Fleet.Seeds {
		address(s, "fleet.seeds")
	}
	key, err := base64.StdEncoding.DecodeString(f.Fleet.Key)
	c.Require(err == nil && (len(key) == 0 || len(key) == 16 || len(key) == 24 || len(key) == 32), "fleet.key", "it is not the base64 of 16, 24 or 32 bytes")
	c.Require(f.Fleet.Engine == Tuned || f.Fleet.Engine == Plain, "fleet.engine", "%q is neither %s nor %s", f.Fleet.Engine, Tuned, Plain)
	CheckMembers(c, &f.Members)
	c.Require(len(f.Changes.At) <= mostMachines, "changes.at", "more than %d", mostMachines)
	for _, at := range f.Changes.At {
		address(at, "changes.at")
	}
	c.InRange(f.Changes.StaleS, 5, 86_400, "changes.stale_s")
	c.Require(len(f.AddressMappings) <= mostWays, "way", "more than %d", mostWays)
	for i, w := range f.AddressMappings {
		address(w.To, fmt.Sprintf("way.%d.to", i))
		address(w.Through, fmt.Sprintf("way.%d.through", i))
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &f, nil
}

// CheckMembers looks at how failures are told, in any file that states it.
func CheckMembers(c *strictconfig.Checker, m *Members) {
	c.InRange(m.PauseS, 0.2, 60, "members.pause_s")
	c.InRange(m.HelloMs, 50, 5000, "members.hello_ms")
	c.Require(m.PauseS <= 0 || m.HelloMs <= m.PauseS*500, "members.hello_ms", "at least two signs of life have to fit into pause_s")
	c.InRange(m.BackS, 0, 600, "members.back_s")
	c.InRange(m.LoopS, 0.2, 60, "members.loop_s")
	c.InRange(m.ForgetS, m.PauseS+m.BackS, 86400, "members.forget_s")
	c.InRange(float64(m.MaxMembers), 1, 100_000, "members.most")
}

// KeyBytes is the key, nil for none.
func (f *Fleet) KeyBytes() []byte {
	key, _ := base64.StdEncoding.DecodeString(f.Key) // looked at when it was read
	if len(key) == 0 {
		return nil
	}
	return key
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Stale is the span as it is used.
func (c *Changes) Stale() time.Duration { return seconds(c.StaleS) }

// Pause is PauseS as a duration.
func (m *Members) Pause() time.Duration { return seconds(m.PauseS) }

// Hello is HelloMs as a duration.
func (m *Members) Hello() time.Duration { return seconds(m.HelloMs / 1000) }

// Back is BackS as a duration.
func (m *Members) Back() time.Duration { return seconds(m.BackS) }

// Loop is LoopS as a duration.
func (m *Members) Loop() time.Duration { return seconds(m.LoopS) }

// Forget is ForgetS as a duration.
func (m *Members) Forget() time.Duration { return seconds(m.ForgetS) }
