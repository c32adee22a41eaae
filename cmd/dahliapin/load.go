package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/loadgen"
	"dahliapin/rehearsals"
)

const mostLoad = 10 * time.Minute // of one run: it is a tool for looks, not a soak

func loadCommand() *cobra.Command {
	var long time.Duration
	var rate float64
	var like, protocol string
	c := &cobra.Command{Use: "load ADDRESS", Short: "Ask a node at a stated rate, open loop, and tell what came",
		Long: "Asks as the clients of a rehearsal's script do, without its events. Times count from when a try was due.",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			addr, err := netip.ParseAddrPort(args[0])
			if err != nil || !addr.Addr().IsLoopback() {
				return fmt.Errorf("%q is no loopback address and port: this tool asks nobody else", args[0])
			}
			if long <= 0 || long > mostLoad {
				return fmt.Errorf("--for %v is not from 1ns to %v", long, mostLoad)
			}
			s, err := find(like)
			if err != nil {
				return err
			}
			asks := s.TrafficPlan()
			if c.Flags().Changed("rate") {
				if asks.PerSecond = rate; !(rate > 0 && rate <= 1e5) {
					return fmt.Errorf("--rate %v is not above 0 and at most 100000", rate)
				}
			}
			if protocol == "" {
				protocol = s.Traffic.Protocol
			}
			if protocol != listeners.Meta && protocol != listeners.HTTP {
				return fmt.Errorf("--protocol %q is neither %s nor %s", protocol, listeners.Meta, listeners.HTTP)
			}
			asks.Seed = uint32(time.Now().UnixNano()) // names of requests are never to come twice at one node
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			r := loadgen.Run(ctx, args[0], protocol == listeners.HTTP, world.NewTraffic(asks), long)
			r.Print(c.OutOrStdout())
			if r.TooBusy() {
				return errors.New("not judged")
			}
			return nil
		}}
	c.Flags().DurationVar(&long, "for", 10*time.Second, "how long")
	c.Flags().Float64Var(&rate, "rate", 0, "requests a second, instead of the script's")
	c.Flags().StringVar(&protocol, "protocol", "", "meta or http, instead of the script's")
	c.Flags().StringVar(&like, "like", "demo", "whose grades, keys and rate: a rehearsal's name or file")
	return c
}

func demo() *cobra.Command {
	var long time.Duration
	var nodes int
	c := &cobra.Command{Use: "demo", Short: "Show a node at work: fleet, origin, discovery and traffic on free loopback ports",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if long < time.Second || long > time.Hour {
				return fmt.Errorf("--for %v is not from 1s to 1h", long)
			}
			if nodes != 1 {
				return demoTogether(c, nodes)
			}
			text, _ := rehearsals.Text("demo")
			s, err := scenario.Parse("demo.toml", text)
			if err != nil {
				return err
			}
			s.Seconds = long.Seconds()
			s.Repeat() // its troubles come round for as long as it runs
			out := c.OutOrStdout()
			fmt.Fprintf(out, "%s\nA node of this program, %d caches, an origin and discovery, all on loopback, for %v; Ctrl-C ends it.\n", s.About, s.Fleet.Caches, long)
			return shown(c, s)
		}}
	c.Flags().DurationVar(&long, "for", 20*time.Second, "how long; with several nodes the troubles say")
	c.Flags().IntVar(&nodes, "nodes", 1, "how many nodes; several know one another, and one is killed, one cut off")
	return c
}

const (
	fewestTogether = 3 // of fewer none can tell who is cut off
	mostTogether   = 12
)

// demoTogether shows nodes that know one another, with troubles between them.
func demoTogether(c *cobra.Command, nodes int) error {
	if nodes < fewestTogether || nodes > mostTogether {
		return fmt.Errorf("--nodes %d is not 1, nor from %d to %d", nodes, fewestTogether, mostTogether)
	}
	text, _ := rehearsals.Text("members-first")
	s, err := scenario.Parse("members-first.toml", text)
	if err != nil {
		return err
	}
	s.Fleet.Nodes = nodes
	out := c.OutOrStdout()
	fmt.Fprintf(out, "%s\n%d node processes of this program and a go-between for each pair, all on loopback, for %g s; Ctrl-C ends it.\n", s.About, nodes, s.Seconds)
	return shown(c, s)
}

// shown plays a script on sockets and tells what happens, until its end or Ctrl-C.
func shown(c *cobra.Command, s *scenario.Scenario) error {
	out := c.OutOrStdout()
	r, err := onSockets(c.Context(), s, func(line string) { fmt.Fprintln(out, line) })
	if errors.Is(err, context.Canceled) {
		fmt.Fprintln(out, "ended")
		return nil
	}
	if err != nil {
		return err
	}
	r.Print(out)
	return nil
}
