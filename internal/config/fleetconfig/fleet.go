package fleetconfig

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"time"

	"dahliapin/internal/config/strictconfig"
)

const (
	// maxSeeds bounds the seeds. They are contacted one after the other, so each further one may delay the start.
	maxSeeds = 64
	// maxAddressMappings bounds the address mappings: one for each possible member.
	maxAddressMappings = 4096
)

// The gossip engines that distribute the statements of members.
const (
	EngineTuned = "tuned" // with limits that tolerate packet loss: for production
	EnginePlain = "plain" // the gossip library with its defaults, as a baseline for rehearsals
)

// File is the fleet configuration of a node.
type File struct {
	Fleet           Fleet            `toml:"fleet"`
	Members         Members          `toml:"members"`
	Changes         Changes          `toml:"changes"`
	AddressMappings []AddressMapping `toml:"way"`
}

// Fleet configures how a node is reached and how it reaches other nodes.
type Fleet struct {
	Label     string   `toml:"label"`     // of the fleet: messages with a different label are dropped
	Listen    string   `toml:"listen"`    // address and port for datagrams and streams
	Advertise string   `toml:"advertise"` // address under which others reach Listen; empty for Listen itself
	Seeds     []string `toml:"seeds"`     // addresses of nodes to join through; one live node is enough
	Key       string   `toml:"key"`       // encryption key for gossip: base64 of 16, 24 or 32 bytes; empty for none
	Engine    string   `toml:"engine"`    // EngineTuned or EnginePlain
}

// Members configures the failure detection of processes.
type Members struct {
	PauseS      float64 `toml:"pause_s"`  // seconds for which a process may pause and remain a member
	HeartbeatMs float64 `toml:"hello_ms"` // milliseconds between heartbeats to a neighbour
	RejoinS     float64 `toml:"back_s"`   // seconds that a removed member must be heard before it is readmitted
	LoopS       float64 `toml:"loop_s"`   // seconds without an event loop iteration after which heartbeats stop
	ForgetS     float64 `toml:"forget_s"` // seconds after which a removed member is forgotten
	MaxMembers  int     `toml:"most"`     // maximum number of known processes
}

// Changes configures how a node follows the fleet's replicated log. Without control servers it follows none.
type Changes struct {
	Servers []string `toml:"at"`      // addresses at which control servers listen for nodes
	StaleS  float64  `toml:"stale_s"` // seconds without a control server with a leader until the node is stale
}

// AddressMapping maps a member's advertised address to the address at which this node reaches it, such as a forwarded
// port.
type AddressMapping struct {
	To      string `toml:"to"`
	Through string `toml:"through"`
}

// Default returns the defaults of a node's fleet configuration.
func Default() File {
	return File{
		Fleet: Fleet{Engine: EngineTuned},
		Members: Members{
			PauseS:      2,
			HeartbeatMs: 300,
			RejoinS:     2,
			LoopS:       1,
			ForgetS:     60,
			MaxMembers:  4000,
		},
		Changes: Changes{StaleS: 30},
	}
}

// Read reads a node's fleet configuration. An error wraps that of the file system, or is a strictconfig.FieldErrors.
func Read(path string) (*File, error) {
	return readFile(path, "fleet configuration", Parse)
}

// Parse parses the text of a node's fleet configuration; file is its name in errors.
func Parse(file string, text []byte) (*File, error) {
	f := Default()
	c, err := strictconfig.Parse(file, text, &f)
	if err != nil {
		return nil, err
	}
	f.Fleet.check(c)
	CheckMembers(c, &f.Members)
	f.Changes.check(c)
	c.Require(len(f.AddressMappings) <= maxAddressMappings, "way", "more than %d mappings", maxAddressMappings)
	for i, mapping := range f.AddressMappings {
		checkAddress(c, mapping.To, fmt.Sprintf("way.%d.to", i))
		checkAddress(c, mapping.Through, fmt.Sprintf("way.%d.through", i))
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &f, nil
}

// check validates the values and sets Advertise if it is empty.
func (f *Fleet) check(c *strictconfig.Checker) {
	checkAddress(c, f.Listen, "fleet.listen")
	f.checkAdvertise(c)
	checkLabel(c, f.Label, "fleet.label")
	c.Require(len(f.Seeds) <= maxSeeds, "fleet.seeds", "more than %d seeds", maxSeeds)
	for _, seed := range f.Seeds {
		checkAddress(c, seed, "fleet.seeds")
	}
	key, err := base64.StdEncoding.DecodeString(f.Key)
	isKey := err == nil && (len(key) == 0 || len(key) == 16 || len(key) == 24 || len(key) == 32)
	c.Require(isKey, "fleet.key", "not the base64 encoding of 16, 24 or 32 bytes")
	isEngine := f.Engine == EngineTuned || f.Engine == EnginePlain
	c.Require(isEngine, "fleet.engine", "%q is neither %s nor %s", f.Engine, EngineTuned, EnginePlain)
}

// checkAdvertise checks that others can reach the advertised address. If that is Listen and cannot be parsed, the error
// is reported for Listen only.
func (f *Fleet) checkAdvertise(c *strictconfig.Checker) {
	isListen := f.Advertise == ""
	if isListen {
		f.Advertise = f.Listen
	}
	addr, err := netip.ParseAddrPort(f.Advertise)
	isReachable := err == nil && !addr.Addr().IsUnspecified() && addr.Port() != 0
	if err != nil && isListen {
		return
	}
	c.Require(isReachable, "fleet.advertise", "%q is not an address and port that others can reach", f.Advertise)
}

// CheckMembers checks the configuration of failure detection in any file that has it under the path "members".
func CheckMembers(c *strictconfig.Checker, m *Members) {
	c.InRange(m.PauseS, 0.2, 60, "members.pause_s")
	c.InRange(m.HeartbeatMs, 50, 5000, "members.hello_ms")
	fits := m.PauseS <= 0 || m.HeartbeatMs <= m.PauseS*500
	c.Require(fits, "members.hello_ms", "at least two heartbeats must fit into pause_s")
	c.InRange(m.RejoinS, 0, 600, "members.back_s")
	c.InRange(m.LoopS, 0.2, 60, "members.loop_s")
	c.InRange(m.ForgetS, m.PauseS+m.RejoinS, 86400, "members.forget_s")
	c.InRange(float64(m.MaxMembers), 1, 100_000, "members.most")
}

func (ch *Changes) check(c *strictconfig.Checker) {
	c.Require(len(ch.Servers) <= maxControlServers, "changes.at", "more than %d addresses", maxControlServers)
	for _, addr := range ch.Servers {
		checkAddress(c, addr, "changes.at")
	}
	c.InRange(ch.StaleS, 5, 86_400, "changes.stale_s")
}

// KeyBytes returns the encryption key for gossip, or nil for none.
func (f *Fleet) KeyBytes() []byte {
	key, _ := base64.StdEncoding.DecodeString(f.Key) // Parse has checked it
	if len(key) == 0 {
		return nil
	}
	return key
}

// StaleAfter returns StaleS as a duration.
func (ch *Changes) StaleAfter() time.Duration { return seconds(ch.StaleS) }

// Pause returns PauseS as a duration.
func (m *Members) Pause() time.Duration { return seconds(m.PauseS) }

// HeartbeatInterval returns HeartbeatMs as a duration.
func (m *Members) HeartbeatInterval() time.Duration { return seconds(m.HeartbeatMs / 1000) }

// RejoinDelay returns RejoinS as a duration.
func (m *Members) RejoinDelay() time.Duration { return seconds(m.RejoinS) }

// LoopTimeout returns LoopS as a duration.
func (m *Members) LoopTimeout() time.Duration { return seconds(m.LoopS) }

// ForgetAfter returns ForgetS as a duration.
func (m *Members) ForgetAfter() time.Duration { return seconds(m.ForgetS) }
