package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"dahliapin/internal/emulator/realtime"
	"dahliapin/internal/linefile"
	"dahliapin/node"
	"dahliapin/policy"
)

const (
	// signalQueueSize is how many signals other than the end may wait while a file is read.
	signalQueueSize = 4

	outputFileMode = 0o644
)

// serveOptions are what serve was called with.
type serveOptions struct {
	files   *configFiles
	records string // file for events; empty for none
	trace   string // file for the membership's trace; empty for none
}

func serveCommand(files *configFiles) *cobra.Command {
	options := serveOptions{files: files}
	c := &cobra.Command{
		Use: "serve", Short: "Run one node until SIGTERM; SIGHUP reads its configuration again", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return options.serve() },
	}
	files.addFlags(c)
	c.Flags().StringVar(&options.records, "records", "",
		"file to append records to of what the node does to caches, as JSON lines")
	c.Flags().StringVar(&options.trace, "trace", "", "file to append a line to for each event in the fleet")
	return c
}

// serve runs a node until it has ended.
func (o *serveOptions) serve() error {
	// Signals are caught before anything is read: SIGHUP would end the process until then.
	s := catchSignals()
	config, err := o.files.read()
	if err != nil {
		return err
	}
	if err := o.openOutputs(config); err != nil {
		return err
	}
	node.ApplyLimits(config)
	n, err := node.New(config, logrus.StandardLogger())
	if err != nil {
		return err
	}
	s.started <- n
	go s.handleCalls(n, o.files.config)
	n.Serve()
	n.LogCounters()
	return n.Err()
}

// openOutputs opens the files that the node writes.
func (o *serveOptions) openOutputs(config *node.Config) error {
	if o.records != "" {
		if err := writeRecords(config, o.records); err != nil {
			return err
		}
	}
	if o.trace == "" {
		return nil
	}
	if o.files.fleet == "" {
		return errors.New("--trace is of what is done in the fleet: it needs --fleet")
	}
	file, err := openAppend(o.trace)
	if err != nil {
		return fmt.Errorf("the trace cannot be kept: %w", err)
	}
	config.OnTrace = func(line []byte) { _, _ = file.Write(line) }
	return nil
}

func openAppend(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, outputFileMode)
}

// writeRecords appends the node's events to a file, a JSON line each, with their time as Unix nanoseconds. That they
// cannot be written any more is logged once, and once that they can again.
func writeRecords(config *node.Config, path string) error {
	file, err := linefile.Open(path)
	if err != nil {
		return fmt.Errorf("records cannot be kept: %w", err)
	}
	file.OnFailing = func(err error) { logrus.WithError(err).Error("records are not kept any more") }
	file.OnRecovered = func(lost uint64) { logrus.WithField("lost", lost).Info("records are kept again") }
	config.OnEvent = func(event node.Event, at time.Time) {
		event.At = policy.Instant(at.UnixNano())
		if line, err := json.Marshal(event); err == nil { // always: all of its fields are plain
			file.Append(line)
		}
	}
	return nil
}

// signals are the signals that the process gets.
type signals struct {
	calls   chan os.Signal  // all but those that end the process
	started chan *node.Node // takes the node once it has started
}

// catchSignals catches signals from now on. Those that end the process have a channel and a goroutine of their own:
// the others may have to wait for a file, and a signal that finds its channel full is lost.
func catchSignals() *signals {
	s := &signals{calls: make(chan os.Signal, signalQueueSize), started: make(chan *node.Node)}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.calls, syscall.SIGUSR1, syscall.SIGHUP)
	if os.Getenv(realtime.RehearsalEnv) != "" {
		signal.Notify(s.calls, syscall.SIGUSR2)
	}
	go func() {
		select {
		case <-ends: // no client is served yet
			os.Exit(0)
		case n := <-s.started:
			<-ends
			n.Shutdown()
		}
	}()
	return s
}

// handleCalls carries out signals until the process ends.
func (s *signals) handleCalls(n *node.Node, configPath string) {
	for call := range s.calls {
		switch call {
		case syscall.SIGUSR1:
			n.LogCounters()
		case syscall.SIGUSR2:
			n.BlockLoop()
		case syscall.SIGHUP:
			reload(n, configPath)
		}
	}
}

// reload reads the configuration again. One that cannot be used changes nothing.
func reload(n *node.Node, path string) {
	config, err := node.ReadConfig(path)
	if err != nil {
		logrus.WithError(err).Error("configuration not taken, the last one stays")
		return
	}
	n.Reload(config)
}
