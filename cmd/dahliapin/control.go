package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlserver"
	"dahliapin/internal/control/purge"
	changes "dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/membership/gossip"
)

// controlCommand runs one control machine of the log of changes.
func controlCommand() *cobra.Command {
	var first bool
	var traced string
	c := &cobra.Command{Use: "control FILE.toml", Short: "Run one control machine of the fleet's log of changes until SIGTERM", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return control(args[0], first, traced) }}
	c.Flags().BoolVar(&first, "new", false, "the first start of a voter: its data folder may be empty")
	c.Flags().StringVar(&traced, "trace", "", "file to which a line of what is on this machine's disk is added, for a judge")
	return c
}

func control(path string, first bool, traced string) error {
	f, err := fleetconfig.ReadControl(path)
	if err != nil {
		return err
	}
	b := controlserver.Config{File: f, New: first, Log: logrus.StandardLogger(), Now: gossip.BootTime}
	if traced != "" {
		keep, end, err := keptTrace(traced)
		if err != nil {
			return err
		}
		defer end()
		b.OnPersisted = keep
		count, end, err := countedTrace(traced)
		if err != nil {
			return err
		}
		defer end()
		b.OnPurgeProgress = count
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	m, err := controlserver.Open(b)
	if err != nil {
		return err
	}
	select {
	case <-ends:
	case <-m.Done():
	}
	m.Close()
	return m.Fault()
}

// countedTrace writes a line of each cache at which purges count as done up to a later index, beside the other trace.
func countedTrace(path string) (count func(purge.CacheID, purge.Cursor), end func(), err error) {
	f, err := os.OpenFile(path+".caches", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, fmt.Errorf("the trace cannot be kept: %w", err)
	}
	var mu sync.Mutex
	out := json.NewEncoder(f)
	return func(id purge.CacheID, c purge.Cursor) {
		mu.Lock()
		defer mu.Unlock()
		_ = out.Encode(logtrace.Cached{At: gossip.BootTime(), Cache: string(id), What: logtrace.Counted, Index: uint64(c.Done)})
	}, func() { _ = f.Close() }, nil
}

// keptTrace writes a line of each write to disk.
func keptTrace(path string) (keep func([]changes.Proposal), end func(), err error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, fmt.Errorf("the trace cannot be kept: %w", err)
	}
	var mu sync.Mutex
	w := bufio.NewWriter(f)
	keep = func(all []changes.Proposal) {
		l := logtrace.Kept{At: gossip.BootTime()}
		for _, p := range all {
			l.Marks = append(l.Marks, p.ContentHash())
		}
		if text, err := json.Marshal(l); err == nil {
			mu.Lock()
			defer mu.Unlock()
			_, _ = w.Write(append(text, '\n'))
			_ = w.Flush()
		}
	}
	return keep, func() { _ = f.Close() }, nil
}
