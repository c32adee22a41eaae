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
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/membership/gossip"
)

// cacheTraceSuffix is appended to a control server's trace path to name the trace of purges at its caches.
const cacheTraceSuffix = ".caches"

// controlCommand returns the command that runs one control server of the replicated log.
func controlCommand() *cobra.Command {
	var firstStart bool
	var trace string
	c := &cobra.Command{
		Use:   "control FILE.toml",
		Short: "Run one control server of the fleet's replicated log until SIGTERM",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return runControlServer(args[0], firstStart, trace) },
	}
	c.Flags().BoolVar(&firstStart, "new", false, "accept an empty data directory; only for the first start of a voter")
	c.Flags().StringVar(&trace, "trace", "",
		"file to append a line to for each write to this server's disk, for tests that check the log")
	return c
}

func runControlServer(path string, firstStart bool, trace string) error {
	file, err := fleetconfig.ReadControl(path)
	if err != nil {
		return err
	}
	config := controlserver.Config{
		File:       file,
		FirstStart: firstStart,
		Log:        logrus.StandardLogger(),
		Now:        gossip.BootTime,
	}
	if trace != "" {
		traceFile, err := openTrace(trace)
		if err != nil {
			return err
		}
		defer traceFile.Close()
		config.OnPersisted = traceWrites(traceFile)

		cacheFile, err := openTrace(trace + cacheTraceSuffix)
		if err != nil {
			return err
		}
		defer cacheFile.Close()
		config.OnPurgeProgress = tracePurges(cacheFile)
	}
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	server, err := controlserver.Open(config)
	if err != nil {
		return err
	}
	select {
	case <-terminate:
	case <-server.Done():
	}
	server.Close()
	return server.Err()
}

func openTrace(path string) (*os.File, error) {
	file, err := openAppend(path)
	if err != nil {
		return nil, fmt.Errorf("cannot open the trace file: %w", err)
	}
	return file, nil
}

// tracePurges returns a callback that writes a line whenever a cache's purges are done up to a later index.
func tracePurges(file *os.File) func(purge.CacheID, purge.Cursor) {
	var mu sync.Mutex
	encoder := json.NewEncoder(file)
	return func(id purge.CacheID, cursor purge.Cursor) {
		mu.Lock()
		defer mu.Unlock()
		_ = encoder.Encode(logtrace.CacheEvent{
			At: gossip.BootTime(), Cache: string(id), Kind: logtrace.Confirmed, Index: uint64(cursor.Done),
		})
	}
}

// traceWrites returns a callback that writes a line for each write to disk.
func traceWrites(file *os.File) func([]replicatedlog.Proposal) {
	var mu sync.Mutex
	writer := bufio.NewWriter(file)
	return func(proposals []replicatedlog.Proposal) {
		line := logtrace.DurableEntries{At: gossip.BootTime()}
		for _, p := range proposals {
			line.Marks = append(line.Marks, p.ContentHash())
		}
		text, err := json.Marshal(line)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		_, _ = writer.Write(append(text, '\n'))
		_ = writer.Flush()
	}
}
