package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/emulator/scenario"
	"dahliapin/rehearsals"
)

const (
	minDemoDuration = time.Second
	maxDemoDuration = time.Hour
	minDemoFleet    = 3 // nodes: with fewer, no node can determine which of them is partitioned
	maxDemoFleet    = 12
)

func demoCommand() *cobra.Command {
	var duration time.Duration
	var nodes int
	c := &cobra.Command{
		Use:   "demo",
		Short: "Show a node at work, with caches, an origin, discovery and traffic on free loopback ports",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if duration < minDemoDuration || duration > maxDemoDuration {
				return fmt.Errorf("--for %v is not from 1s to 1h", duration)
			}
			if nodes == 1 {
				return demoNode(c, duration)
			}
			return demoFleet(c, nodes)
		},
	}
	c.Flags().DurationVar(&duration, "for", 20*time.Second,
		"how long; a fleet runs until its scheduled failures are over")
	c.Flags().IntVar(&nodes, "nodes", 1,
		"number of nodes; several form a fleet, of which one is killed and one cut off")
	return c
}

// demoNode runs one node, and repeats the scenario's failures for the whole duration.
func demoNode(c *cobra.Command, duration time.Duration) error {
	s, err := parseRehearsal("demo")
	if err != nil {
		return err
	}
	s.Seconds = duration.Seconds()
	s.Repeat()
	fmt.Fprintf(c.OutOrStdout(), "%s\nA node of this program, %d caches, an origin and discovery, all on loopback, "+
		"for %v; Ctrl-C ends it.\n", s.About, s.Fleet.Caches, duration)
	return show(c, s)
}

// demoFleet runs a fleet of nodes, with failures of the nodes and of the network between them.
func demoFleet(c *cobra.Command, nodes int) error {
	if nodes < minDemoFleet || nodes > maxDemoFleet {
		return fmt.Errorf("--nodes %d is not 1, nor from %d to %d", nodes, minDemoFleet, maxDemoFleet)
	}
	s, err := parseRehearsal("members-first")
	if err != nil {
		return err
	}
	s.Fleet.Nodes = nodes
	fmt.Fprintf(c.OutOrStdout(), "%s\n%d node processes of this program and a proxy for each pair, "+
		"all on loopback, for %g s; Ctrl-C ends it.\n", s.About, nodes, s.Seconds)
	return show(c, s)
}

// parseRehearsal parses a rehearsal that is built into the program.
func parseRehearsal(name string) (*scenario.Scenario, error) {
	text, _ := rehearsals.Text(name)
	return scenario.Parse(name+".toml", text)
}

// show runs a scenario against node processes and prints its progress, until its end or Ctrl-C.
func show(c *cobra.Command, s *scenario.Scenario) error {
	out := c.OutOrStdout()
	result, err := runOnSockets(c.Context(), s, func(line string) { fmt.Fprintln(out, line) })
	if errors.Is(err, context.Canceled) {
		fmt.Fprintln(out, "ended")
		return nil
	}
	if err != nil {
		return err
	}
	result.Print(out)
	return nil
}
