package main

import (
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
)

const (
	maxLoadDuration = 10 * time.Minute // longer runs belong in a soak
	maxLoadRate     = 1e5              // requests a second
)

// loadOptions holds the flags of load.
type loadOptions struct {
	duration time.Duration
	rate     float64
	hasRate  bool   // whether --rate was given
	scenario string // name or file of the scenario whose traffic is sent
	protocol string // empty for the scenario's
}

func loadCommand() *cobra.Command {
	var options loadOptions
	c := &cobra.Command{
		Use:   "load ADDRESS",
		Short: "Send requests to a node at a fixed rate, and report latencies and errors",
		Long: "Sends the requests of a rehearsal's clients, without its failures, at a rate that does not wait for\n" +
			"answers. Latency counts from the time at which a request was due.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			options.hasRate = c.Flags().Changed("rate")
			return options.run(c, args[0])
		},
	}
	c.Flags().DurationVar(&options.duration, "for", 10*time.Second, "how long to send requests")
	c.Flags().Float64Var(&options.rate, "rate", 0, "requests a second, instead of the rehearsal's")
	c.Flags().StringVar(&options.protocol, "protocol", "", "meta or http, instead of the rehearsal's")
	c.Flags().StringVar(&options.scenario, "like", "demo",
		"name or file of the rehearsal whose service classes, keys and rate are used")
	return c
}

func (o *loadOptions) run(c *cobra.Command, addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%q is not a loopback address and port: load sends requests to loopback only", addr)
	}
	if o.duration <= 0 || o.duration > maxLoadDuration {
		return fmt.Errorf("--for %v is not from 1ns to %v", o.duration, maxLoadDuration)
	}
	s, err := findScenario(o.scenario)
	if err != nil {
		return err
	}
	traffic, err := o.traffic(s)
	if err != nil {
		return err
	}
	protocol := o.protocol
	if protocol == "" {
		protocol = s.Traffic.Protocol
	}
	if protocol != listeners.ProtocolMeta && protocol != listeners.ProtocolHTTP {
		return fmt.Errorf("--protocol %q is neither %s nor %s",
			protocol, listeners.ProtocolMeta, listeners.ProtocolHTTP)
	}
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result := loadgen.Run(ctx, addr, protocol == listeners.ProtocolHTTP, world.NewTraffic(traffic), o.duration)
	result.Print(c.OutOrStdout())
	if result.TooBusy() {
		return errors.New("result not judged: the machine was too busy")
	}
	return nil
}

// traffic returns the traffic plan of a scenario, at the rate of --rate if that was given.
func (o *loadOptions) traffic(s *scenario.Scenario) (world.TrafficPlan, error) {
	plan := s.TrafficPlan()
	if o.hasRate {
		isRate := o.rate > 0 && o.rate <= maxLoadRate // false for NaN
		if !isRate {
			return plan, fmt.Errorf("--rate %v is not above 0 and at most %d", o.rate, int(maxLoadRate))
		}
		plan.PerSecond = o.rate
	}
	plan.Seed = uint32(time.Now().UnixNano()) // a node must never see a request id twice
	return plan, nil
}
