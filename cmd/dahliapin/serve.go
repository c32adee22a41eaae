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
	// signalQueueSize is how many signals, other than those that end the process, are queued while a file is read.
	signalQueueSize = 4

	outputFileMode = 0o644
)

// serveOptions holds the flags of serve.
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
		"file to append records of the node's actions on caches to, as JSON lines")
	c.Flags().StringVar(&options.trace, "trace", "",
		"file to append a line to for each membership event; needs --fleet")
	return c
}

// serve runs a node until it has shut down.
func (o *serveOptions) serve() error {
	// The signal handlers are installed before any file is read: without them, SIGHUP ends the process.
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
	go s.handleSignals(n, o.files.config)
	n.Serve()
	n.LogCounters()
	return n.Err()
}

// openOutputs opens the files that the node writes events and trace lines to.
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
		return errors.New("--trace records events of the fleet and needs --fleet")
	}
	file, err := openAppend(o.trace)
	if err != nil {
		return fmt.Errorf("cannot open the trace file: %w", err)
	}
	config.OnTrace = func(line []byte) { _, _ = file.Write(line) }
	return nil
}

func openAppend(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, outputFileMode)
}

// writeRecords appends the node's events to a file as JSON lines, with their times in Unix nanoseconds. It logs only
// the first failure in a row and the recovery.
func writeRecords(config *node.Config, path string) error {
	file, err := linefile.Open(path)
	if err != nil {
		return fmt.Errorf("cannot open the records file: %w", err)
	}
	file.OnFailing = func(err error) {
		logrus.WithError(err).Error("writing records failed; dropping them until it recovers")
	}
	file.OnRecovered = func(lost uint64) { logrus.WithField("lost", lost).Info("records are written again") }
	config.OnEvent = func(event node.Event, at time.Time) {
		event.At = policy.Instant(at.UnixNano())
		if line, err := json.Marshal(event); err == nil { // never fails: all fields are plain values
			file.Append(line)
		}
	}
	return nil
}

// signals passes on the signals that the process receives.
type signals struct {
	queued  chan os.Signal  // all signals but those that end the process
	started chan *node.Node // receives the node once it has started
}

// catchSignals installs the signal handlers. Signals that end the process have a channel and a goroutine of their own:
// handling the others may block on reading a file, and a signal whose channel is full is lost.
func catchSignals() *signals {
	s := &signals{queued: make(chan os.Signal, signalQueueSize), started: make(chan *node.Node)}
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.queued, syscall.SIGUSR1, syscall.SIGHUP)
	if os.Getenv(realtime.RehearsalEnv) != "" {
		signal.Notify(s.queued, syscall.SIGUSR2)
	}
	go func() {
		select {
		case <-terminate: // no client is served yet
			os.Exit(0)
		case n := <-s.started:
			<-terminate
			n.Shutdown()
		}
	}()
	return s
}

// handleSignals handles the queued signals until the process ends.
func (s *signals) handleSignals(n *node.Node, configPath string) {
	for sig := range s.queued {
		switch sig {
		case syscall.SIGUSR1:
			n.LogCounters()
		case syscall.SIGUSR2:
			n.BlockLoop()
		case syscall.SIGHUP:
			reload(n, configPath)
		}
	}
}

// reload reads the configuration again. An invalid one is logged and changes nothing.
func reload(n *node.Node, path string) {
	config, err := node.ReadConfig(path)
	if err != nil {
		logrus.WithError(err).Error("configuration reload failed; keeping the current configuration")
		return
	}
	n.Reload(config)
}
