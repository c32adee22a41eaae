package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/freeport"
)

const (
	label              = "scale-changes"  // label of the fleet
	controlServerCount = 4                // number of control servers: three voters and a learner
	readyTimeout       = 40 * time.Second // time in which all nodes must follow the log
)

// start starts all processes and waits until all nodes follow the log.
func (r *run) start() error {
	if err := r.reserveAddresses(); err != nil {
		return err
	}
	if err := r.openCaches(); err != nil {
		return err
	}
	for i := range controlServerCount {
		if err := r.writeControlFile(i); err != nil {
			return err
		}
		if err := r.startControl(i, "--new"); err != nil {
			return err
		}
	}
	r.client = controlclient.Client{Servers: r.nodes[:], Label: label}
	first := uint32(0)
	for region := range r.Regions {
		nodes := r.Nodes*(region+1)/r.Regions - r.Nodes*region/r.Regions
		if err := r.startSimulatedNodes(region, first, nodes); err != nil {
			return err
		}
		first += uint32(nodes)
	}
	for i := range r.Real {
		if err := r.startReal(i); err != nil {
			return err
		}
	}
	return r.awaitFollowers()
}

// reserveAddresses assigns regions and free addresses to the control servers.
func (r *run) reserveAddresses() error {
	for i := range controlServerCount {
		r.region[i] = i * r.Regions / controlServerCount
		var err error
		if r.peers[i], err = freeport.Free(); err != nil {
			return err
		}
		if r.nodes[i], err = freeport.Free(); err != nil {
			return err
		}
	}
	return nil
}

// writeControlFile writes the file of a control server, which reaches the others over the emulated network.
func (r *run) writeControlFile(i int) error {
	text := fmt.Sprintf("[control]\nid = %d\nlabel = %q\npeers = %q\nnodes = %q\ndata = %q\n",
		i+1, label, r.peers[i], r.nodes[i], r.path("data-%d", i))
	for j := range controlServerCount {
		addr, err := r.network.Listen(r.region[i], r.region[j], r.peers[j])
		if err != nil {
			return err
		}
		isLearner := j == controlServerCount-1
		text += fmt.Sprintf("[[machine]]\nid = %d\nname = \"control-%d\"\naddr = %q\nlearner = %t\n",
			j+1, j, addr, isLearner)
	}
	caches, err := r.cacheList(i)
	if err != nil {
		return err
	}
	return os.WriteFile(r.path("control-%d.toml", i), []byte(text+caches), 0o644)
}

// startSimulatedNodes starts a region's process of simulated nodes, which are numbered from first.
func (r *run) startSimulatedNodes(region int, first uint32, nodes int) error {
	servers, err := r.controlAddresses(region)
	if err != nil {
		return err
	}
	spec := Spec{
		Label:   label,
		Servers: servers,
		Seed:    r.Seed*1000 + 7,
		First:   first,
		Nodes:   nodes,
		Trace:   r.path("hollow-%d.trace", region),
		Stats:   r.path("hollow-%d.stats", region),
	}
	text, _ := json.Marshal(spec)
	path := r.path("hollow-%d.json", region)
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	p, err := r.launch(fmt.Sprintf("hollow-%d", region), append(r.SimulatedNodeArgs, path)...)
	if err != nil {
		return err
	}
	r.simulated = append(r.simulated, p)
	r.specs = append(r.specs, spec)
	return nil
}

// awaitFollowers waits until the leader knows all nodes and all nodes have every entry.
func (r *run) awaitFollowers() error {
	for by := time.Now().Add(readyTimeout); ; time.Sleep(statusPollInterval) {
		o, err := r.client.Overview()
		if err == nil && o.HasLeader && len(o.Nodes) == r.Nodes+r.Real && o.CaughtUp() {
			r.log("%d nodes follow", len(o.Nodes))
			return nil
		}
		if time.Now().After(by) {
			return r.notFollowingError(o, err)
		}
	}
}

// notFollowingError returns the error for nodes that do not follow the log in time, given the last overview and its
// error, if any.
func (r *run) notFollowingError(o controlclient.Overview, err error) error {
	missing := fmt.Errorf("after %v only %d of %d nodes follow the log, leader known %t, all caught up %t",
		readyTimeout, len(o.Nodes), r.Nodes+r.Real, o.HasLeader, o.CaughtUp())
	if err != nil {
		return fmt.Errorf("%w: %w", missing, err)
	}
	return missing
}

// startControl starts a control server. With the argument --new it creates a log.
func (r *run) startControl(i int, more ...string) (err error) {
	args := []string{"control", r.path("control-%d.toml", i), "--trace", r.path("control-%d.trace", i)}
	args = append(args, more...)
	r.control[i], err = r.launch(fmt.Sprintf("control-%d", i), args...)
	return err
}

// controlAddresses returns the addresses at which a region reaches the control servers.
func (r *run) controlAddresses(region int) ([]string, error) {
	var addresses []string
	for j := range controlServerCount {
		addr, err := r.network.Listen(region, r.region[j], r.nodes[j])
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, addr)
	}
	return addresses, nil
}

// startReal starts a real node that follows the log. The node has no gossip peers and no endpoint list.
func (r *run) startReal(i int) error {
	listen, err := freeport.Free()
	if err != nil {
		return err
	}
	gossip, err := freeport.Free()
	if err != nil {
		return err
	}
	servers, err := r.controlAddresses(i % r.Regions)
	if err != nil {
		return err
	}
	text := configuration(fmt.Sprintf("real-%04d", i), listen, 0)
	if err := os.WriteFile(r.path("real-%d.json", i), text, 0o644); err != nil {
		return err
	}
	at, _ := json.Marshal(servers)
	fleet := fmt.Sprintf("[fleet]\nlabel = %q\nlisten = %q\n[changes]\nat = %s\n", label, gossip, at)
	if err := os.WriteFile(r.path("real-%d.toml", i), []byte(fleet), 0o644); err != nil {
		return err
	}
	p, err := r.launch(fmt.Sprintf("real-%d", i),
		"serve", "--config", r.path("real-%d.json", i), "--fleet", r.path("real-%d.toml", i))
	r.real = append(r.real, p)
	return err
}

// configuration returns the configuration of a node, with a number in it, padded to configBytes.
func configuration(name, listen string, number int) []byte {
	const emptyNote = `"note":""`
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",`+
		`"limits":{"memory_mb":64,"sockets":400},"settings":{"service_grades":[{"name":"read","hard_stop_s":0.1}]},`+
		`"number":%d,`+emptyNote+`}`, name, listen, number)
	padding := strings.Repeat("x", max(0, configBytes-len(text)))
	return []byte(strings.Replace(text, emptyNote, `"note":"`+padding+`"`, 1))
}
