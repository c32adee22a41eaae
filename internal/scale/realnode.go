package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/membership/gossip"
)

const (
	// adminTimeout is the timeout of requests to a real node's admin server.
	adminTimeout = 5 * time.Second
	// maxStatusBytes is the maximum size of a node's status response.
	maxStatusBytes = 8 << 20
	// nodeMemoryMB and nodeSockets are the limits in a real node's configuration.
	nodeMemoryMB = 192
	nodeSockets  = 1024
)

// RealNode is a complete node in its own process.
type RealNode struct {
	*Child
	Place Place
	admin string // address of its admin server
}

// StartRealNode starts a node with the command serve. Without a fleet file the node is isolated.
func (r *Rig) StartRealNode(at Place, fleet *fleetconfig.File, nodes int, seed int64) (*RealNode, error) {
	host, _, err := net.SplitHostPort(at.Addr)
	if err != nil {
		return nil, err
	}
	clients, err := freeAddress(host)
	if err != nil {
		return nil, err
	}
	admin, err := freeAddress(host)
	if err != nil {
		return nil, err
	}
	configuration, err := nodeConfiguration(at, clients, admin, nodes, seed)
	if err != nil {
		return nil, err
	}
	base := filepath.Join(r.Dir, at.Name)
	cmd := exec.Command(r.Program, "serve", "--config", base+".json")
	if fleet != nil {
		if err := writeFleetFile(base+".toml", *fleet, at.Addr); err != nil {
			return nil, err
		}
		cmd.Args = append(cmd.Args, "--fleet", base+".toml")
	}
	if err := os.WriteFile(base+".json", configuration, 0o600); err != nil {
		return nil, err
	}
	cmd.Env = append(os.Environ(), "TMPDIR="+r.Dir)
	child, err := StartChild(cmd, base+".log")
	if err != nil {
		return nil, err
	}
	return &RealNode{Child: child, Place: at, admin: admin}, nil
}

// freeAddress returns an address of a host at which no process currently listens.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// nodeConfiguration returns the configuration file of a real node.
func nodeConfiguration(at Place, clients, admin string, nodes int, seed int64) ([]byte, error) {
	s, err := scenario.Parse("scale.toml", []byte(minimalScenario))
	if err != nil {
		return nil, err
	}
	s.Fleet.Nodes = nodes
	return json.Marshal(map[string]any{
		"ops":       admin,
		"name":      at.Name,
		"listen":    clients,
		"discovery": at.List,
		"seed":      fmt.Sprintf("%x", seed),
		"limits":    map[string]int{"memory_mb": nodeMemoryMB, "sockets": nodeSockets},
		"settings":  s.Settings(s.Fleet.Zones[0]),
	})
}

// writeFleetFile writes the fleet file of a node, with its address.
func writeFleetFile(path string, fleet fleetconfig.File, addr string) error {
	fleet.Fleet.Listen = addr
	fleet.Fleet.Advertise = addr
	text, err := toml.Marshal(fleet)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// minimalScenario is the smallest scenario from which the settings of a node can be derived. Its traffic is not sent.
const minimalScenario = `about = "a node without clients"
seconds = 1
[fleet]
nodes = 1
caches = 1
[traffic]
per_second = 1
keys = 1
[[grade]]
name = "read"
share = 1
benefit = 1
soft_ms = 150
hard_ms = 500
work_ms = 2
tries = 3
`

var adminClient = http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// status requests the node's view of the fleet from its admin server.
func (n *RealNode) status() (status, error) {
	response, err := adminClient.Get("http://" + n.admin + "/fleet/status")
	if err != nil {
		return status{}, err
	}
	defer response.Body.Close()
	var s gossip.Status
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&s); err != nil {
		return status{}, err
	}
	return status{
		Name:             n.Place.Name,
		Members:          s.Members,
		Fingerprint:      s.Fingerprint,
		MayBePartitioned: s.MayBePartitioned,
		Flows:            s.Flows,
		Dropped:          s.Dropped,
	}, nil
}

// Close stops the node with SIGTERM.
func (n *RealNode) Close() { n.Stop(func() { _ = n.cmd.Process.Signal(syscall.SIGTERM) }) }
