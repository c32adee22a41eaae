// Command dahliapin runs one router on sockets.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"dahliapin/internal/config/strictconfig"
	"dahliapin/internal/emulator/realtime"
	"dahliapin/node"
	"dahliapin/policy"
)

var version = "0.1.0"

func main() {
	var config, record, operator, charter, traced string
	root := &cobra.Command{Use: "dahliapin", Short: "A router for fleets of cache servers", SilenceUsage: true,
		SilenceErrors: true}
	root.PersistentFlags().StringVar(&config, "config", os.Getenv("RELAY_CONFIG"), "the configuration's file")
	server := &cobra.Command{Use: "serve", Short: "Run one node until SIGTERM; SIGHUP reads its configuration again", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(config, record, operator, charter, traced) }}
	server.Flags().StringVar(&traced, "trace", "", "file to which a line of each thing done in the fleet is added")
	server.Flags().StringVar(&record, "records", "", "file to which records of what is done to caches are added, as JSON lines")
	checking := &cobra.Command{Use: "check", Short: "Say whether a configuration can be used", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := posting(config, operator, charter)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: can be used; listens on %s\n", p.Name, p.Listen)
			}
			return err
		}}
	for _, c := range []*cobra.Command{server, checking} {
		c.Flags().StringVar(&operator, "operator", "", "file of further listeners, caches that speak HTTP, and service levels")
		c.Flags().StringVar(&charter, "fleet", "", "file by which the node joins the others; without it, it knows of none")
	}
	root.AddCommand(server, checking,
		migrate(), rehearse(), loadCommand(), demo(), opsCommand(), fleetCommand(), nemesis(), soakCommand(), controlCommand(), scaleChanges(), scaleCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "dahliapin", version, built()) }},
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "dahliapin:", err)
		var all strictconfig.FieldErrors
		if errors.As(err, &all) && checking.CalledAs() != "" { // who checks a file wants to know of all at once
			for _, f := range all[1:] {
				fmt.Fprintln(os.Stderr, "dahliapin:", f)
			}
		}
		if errors.Is(err, errNo) || errors.Is(err, errCall) || errors.Is(err, errLacks) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func built() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.GoVersion
	}
	return ""
}

// posting reads a configuration, and what an operator adds to it.
func posting(config, operator, charter string) (*node.Config, error) {
	p, err := node.ReadConfig(config)
	if at := os.Getenv("RELAY_OPS"); err == nil && at != "" {
		err = p.SetAdminAddr(at)
	}
	if err == nil && operator != "" {
		err = p.LoadListenersFile(operator)
	}
	if err == nil && charter != "" {
		err = p.LoadFleetFile(charter)
	}
	return p, err
}

// reload reads the configuration again; one that can't be used changes nothing.
func reload(n *node.Node, config string) {
	p, err := node.ReadConfig(config)
	if err != nil {
		logrus.WithError(err).Error("configuration not taken, the last one stays")
		return
	}
	n.Reload(p)
}

// keepRecords adds records to a file, a line each, with their time as Unix nanoseconds.
func keepRecords(p *node.Config, path string) error {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("records cannot be kept: %w", err)
	}
	failed := false
	p.OnEvent = func(e node.Event, at time.Time) {
		e.At = policy.Instant(at.UnixNano())
		line, err := json.Marshal(e)
		if err == nil {
			_, err = f.Write(append(line, '\n'))
		}
		if err != nil && !failed {
			logrus.WithError(err).Error("records are not kept any more")
		}
		failed = failed || err != nil
	}
	return nil
}

func serve(config, record, operator, charter, traced string) error {
	// caught before anything is read: SIGHUP would end the process then. The end has a channel of its own, as the others may have to
	// wait for a file, and what comes while a channel is full is lost
	ends, calls := make(chan os.Signal, 1), make(chan os.Signal, 4)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(calls, syscall.SIGUSR1, syscall.SIGHUP)
	if os.Getenv(realtime.Rehearsed) != "" {
		signal.Notify(calls, syscall.SIGUSR2)
	}
	made := make(chan *node.Node)
	go func() {
		select {
		case <-ends: // nobody is served yet
			os.Exit(0)
		case n := <-made:
			<-ends
			n.Shutdown()
		}
	}()
	p, err := posting(config, operator, charter)
	if err != nil {
		return err
	}
	if record != "" {
		if err := keepRecords(p, record); err != nil {
			return err
		}
	}
	if traced != "" {
		if charter == "" {
			return errors.New("--trace is of what is done in the fleet: it needs --fleet")
		}
		f, err := os.OpenFile(traced, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("the trace cannot be kept: %w", err)
		}
		p.OnTrace = func(line []byte) { _, _ = f.Write(line) }
	}
	node.ApplyLimits(p)
	n, err := node.New(p, logrus.StandardLogger())
	if err != nil {
		return err
	}
	made <- n
	go func() {
		for s := range calls {
			switch s {
			case syscall.SIGUSR1:
				n.LogCounters()
			case syscall.SIGUSR2:
				n.BlockLoop()
			case syscall.SIGHUP:
				reload(n, config)
			}
		}
	}()
	n.Serve()
	n.LogCounters()
	return n.Err()
}
