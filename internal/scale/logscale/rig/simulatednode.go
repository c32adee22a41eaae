package rig

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/monotime"
)

const (
	sampleInterval   = time.Second      // interval between two samples
	staleAfter       = 30 * time.Second // time without contact to the leader after which a node counts as stale
	startSpread      = 2 * time.Second  // time over which a process spreads the starts of its nodes
	traceBufferBytes = 1 << 20          // buffer size of the trace writer
)

// Spec is the configuration of a process of simulated nodes.
type Spec struct {
	Label   string   `json:"label"`
	Servers []string `json:"at"` // addresses of the control servers
	Seed    uint32   `json:"seed"`
	First   uint32   `json:"first"` // number of the first node
	Nodes   int      `json:"nodes"` // number of nodes
	Trace   string   `json:"trace"` // path of the file for events of nodes
	Stats   string   `json:"stats"` // path of the file for samples
}

// Sample is a reading of the cumulative usage of a process of simulated nodes.
type Sample struct {
	At    monotime.Instant `json:"at"`
	CPU   float64          `json:"cpu_s"` // CPU time in seconds
	RSS   int64            `json:"rss"`   // resident memory in bytes
	Heap  uint64           `json:"heap"`  // allocated heap in bytes
	In    []uint64         `json:"in"`    // bytes received on streams, by node
	Out   []uint64         `json:"out"`   // bytes sent on streams, by node
	Moves uint64           `json:"moves"` // streams opened
	Gaps  uint64           `json:"gaps"`
	Stale int              `json:"stale"` // number of stale nodes
	Least uint64           `json:"least"` // lowest index applied by any node
}

// writer writes the events of many nodes to one trace.
type writer struct {
	mu sync.Mutex
	w  *bufio.Writer
}

func (w *writer) put(r logtrace.NodeEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = logtrace.Write(w.w, r) // after a write error the checker reports missing entries
}

// simulatedNode is a simulated node. It follows the log with the production code, but only records the entries that it
// applies.
type simulatedNode struct {
	applier    *replicatedlog.Applier
	trace      *writer
	number     uint32
	starting   bool   // Start is running, which applies the initial configuration
	configHash uint64 // hash of the initial configuration; 0 for none
}

// PresumePurged implements the target of an Applier. The node has no cached values to remove.
func (n *simulatedNode) PresumePurged(replicatedlog.Index) {}

// record writes the application of an entry to the trace. During Start it only remembers the hash of the initial
// configuration.
func (n *simulatedNode) record(
	what logtrace.NodeEventKind, at replicatedlog.Index, kind replicatedlog.Kind, body string,
) {
	mark := replicatedlog.Proposal{Kind: kind, Body: []byte(body)}.ContentHash()
	if n.starting {
		n.configHash = mark
		return
	}
	n.trace.put(logtrace.NodeEvent{At: gossip.BootTime(), Index: uint64(at), Mark: mark, Node: n.number, Kind: what})
}

// Purge records a purge.
func (n *simulatedNode) Purge(at replicatedlog.Index, key string) {
	n.record(logtrace.Applied, at, replicatedlog.Purge, key)
}

// Configure records a configuration.
func (n *simulatedNode) Configure(at replicatedlog.Index, text []byte) error {
	n.record(logtrace.Applied, at, replicatedlog.Config, string(text))
	return nil
}

// Start starts the node at an index under a configuration, like an Applier, and records the start.
func (n *simulatedNode) Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error {
	n.starting = true
	n.configHash = 0
	err := n.applier.Start(log, at, config)
	n.starting = false
	if err == nil {
		n.trace.put(logtrace.NodeEvent{
			At:    gossip.BootTime(),
			Index: uint64(at),
			Mark:  n.configHash,
			Node:  n.number,
			Kind:  logtrace.Began,
		})
	}
	return err
}

func (n *simulatedNode) Apply(raw []cbor.RawMessage) error       { return n.applier.Apply(raw) }
func (n *simulatedNode) CurrentProgress() replicatedlog.Progress { return n.applier.CurrentProgress() }

// onProgressSent records that the node has reported its progress to a control server.
func (n *simulatedNode) onProgressSent(at replicatedlog.Index) {
	n.trace.put(logtrace.NodeEvent{
		At:    gossip.BootTime(),
		Index: uint64(at),
		Node:  n.number,
		Kind:  logtrace.Acknowledged,
	})
}

// SimulatedNodeName returns the name of the simulated node with a number.
func SimulatedNodeName(number uint32) string { return fmt.Sprintf("hollow-%04d", number) }

// ServeSimulatedNodes runs the simulated nodes of a configuration file until the reader reaches its end.
func ServeSimulatedNodes(spec string, until io.Reader) error {
	text, err := os.ReadFile(spec)
	if err != nil {
		return err
	}
	var s Spec
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	traced, err := os.Create(s.Trace)
	if err != nil {
		return err
	}
	stats, err := os.Create(s.Stats)
	if err != nil {
		return err
	}
	to := &writer{w: bufio.NewWriterSize(traced, traceBufferBytes)}
	inputEnd := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, until)
		inputEnd <- err
	}()
	all := startFollowers(s, to)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	err = writeSamples(stats, ticker.C, inputEnd, func() Sample { return sample(all) })
	for _, f := range all {
		f.Close()
	}
	return errors.Join(err, to.w.Flush(), traced.Close(), stats.Close())
}

// writeSamples writes a sample at each tick and a last one at the end of the input. It returns the error of the input
// and that of the first sample that could not be written.
func writeSamples(to io.Writer, ticks <-chan time.Time, inputEnd <-chan error, read func() Sample) error {
	var inputErr, writeErr error
	for over := false; !over; {
		select {
		case <-ticks:
		case inputErr = <-inputEnd:
			over = true
		}
		writeErr = cmp.Or(writeErr, json.NewEncoder(to).Encode(read()))
	}
	return errors.Join(inputErr, writeErr)
}

// startFollowers starts all nodes of a process, spread evenly over startSpread.
func startFollowers(s Spec, to *writer) []*logfollower.Follower {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	var all []*logfollower.Follower
	for i := range s.Nodes {
		node := &simulatedNode{trace: to, number: s.First + uint32(i)}
		node.applier = replicatedlog.NewApplier(node)
		all = append(all, logfollower.Start(logfollower.Config{
			Name:           SimulatedNodeName(node.number),
			Process:        uint64(node.number) + 1,
			Label:          s.Label,
			Servers:        s.Servers,
			Seed:           s.Seed + node.number,
			StaleAfter:     staleAfter,
			Applier:        node,
			Log:            log,
			Now:            gossip.BootTime,
			OnProgressSent: node.onProgressSent,
		}))
		time.Sleep(startSpread / time.Duration(s.Nodes))
	}
	return all
}

// sample reads the usage of the current process and its nodes.
func sample(all []*logfollower.Follower) Sample {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s := Sample{
		At:    gossip.BootTime(),
		CPU:   ownCPUSeconds(),
		RSS:   residentBytes(os.Getpid()),
		Heap:  m.HeapAlloc,
		Least: 1 << 62,
	}
	for _, f := range all {
		now := f.Status()
		s.In = append(s.In, now.BytesIn)
		s.Out = append(s.Out, now.BytesOut)
		s.Moves += now.StreamsOpened
		s.Gaps += now.Gaps
		s.Least = min(s.Least, uint64(now.Applied))
		if now.Stale {
			s.Stale++
		}
	}
	return s
}

// ownCPUSeconds returns the CPU time of the current process in seconds.
func ownCPUSeconds() float64 {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// residentBytes returns the resident memory of a process in bytes, or 0 if the process has exited.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if f := strings.Fields(string(text)); err == nil && len(f) > 1 {
		pages, _ := strconv.ParseInt(f[1], 10, 64)
		return pages * int64(os.Getpagesize())
	}
	return 0
}

const ticksASecond = 100 // unit of CPU times in /proc on Linux, per second

// cpuSeconds returns the CPU time of a process in seconds, or 0 if the process has exited.
func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / ticksASecond
}
