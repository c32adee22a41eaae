package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/scale"
)

const (
	mostCaches = 10_000
	mostKeys   = 10_000_000 // a minute or so
)

// errOver says that something is over its budget; the last line printed has named it.
var errOver = errors.New("not all is within the budget")

// scaleCommand measures what the control part of a fleet costs at its size.
func scaleCommand() *cobra.Command {
	p := scale.Plan{}
	var out string
	var kept bool
	var mostMB int
	var budget scale.Budget
	c := &cobra.Command{Use: "scale [FILE.toml]", Short: "Measure what knowing one another costs a fleet at its size, by nodes without clients beside real ones",
		Long: "Exits with 0 where all is within the budget, 1 where something is not (named in the last line), and 2 for a bad call.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 1 {
				return fmt.Errorf("%w: scale takes one file, and no %q", errCall, args[1])
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) (err error) {
			file := ""
			if len(args) > 0 {
				file = args[0]
			}
			if p.File, err = scale.ReadFile(file); err != nil {
				return fmt.Errorf("%w: %w", errCall, err)
			}
			for flag, set := range map[string]func(){"core": func() { p.File.Budget.CorePercent = budget.CorePercent },
				"memory": func() { p.File.Budget.MemoryMB = budget.MemoryMB }, "kb": func() { p.File.Budget.KBPerS = budget.KBPerS }} {
				if c.Flags().Changed(flag) {
					set()
				}
			}
			if err := p.Check(); err != nil {
				return fmt.Errorf("%w: %w", errCall, err)
			}
			if mostMB < 1 || mostMB > scale.MostMB {
				return fmt.Errorf("%w: --most-mb %d is not from 1 to %d", errCall, mostMB, scale.MostMB)
			}
			if out == "" {
				return fmt.Errorf("%w: scale needs --out", errCall)
			}
			return measure(c.Context(), c.OutOrStdout(), &p, out, kept, mostMB)
		}}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errCall, err) })
	c.Flags().IntVar(&p.Nodes, "nodes", 480, "the stated size")
	c.Flags().IntSliceVar(&p.Sizes, "sizes", nil, "sizes that are measured; an eighth, a quarter, half and the whole of the stated one unless given")
	c.Flags().IntVar(&p.Real, "real", 8, "of each size, nodes that are processes of their own")
	c.Flags().DurationVar(&p.Window, "for", time.Minute, "for how long each size is measured while nothing happens, at the least")
	c.Flags().Int64Var(&p.Seed, "seed", 1, "of all chance between regions")
	c.Flags().StringVar(&out, "out", "", "folder for report.json, and size-N.json of each size")
	c.Flags().BoolVar(&kept, "kept", false, "take sizes that stand in the folder already from there")
	c.Flags().IntVar(&mostMB, "most-mb", scale.MostMB, "that all its processes may take: it ends once they take more")
	c.Flags().Float64Var(&budget.CorePercent, "core", 0, "budget: percent of a core a node, instead of the file's")
	c.Flags().Float64Var(&budget.MemoryMB, "memory", 0, "budget: MB a node, resident")
	c.Flags().Float64Var(&budget.KBPerS, "kb", 0, "budget: thousands of bytes a second a node, sent and received")
	c.AddCommand(&cobra.Command{Use: "hollow", Hidden: true, Args: cobra.NoArgs, Short: "Run hollow nodes as told on standard input",
		RunE: func(c *cobra.Command, _ []string) error { return scale.Attend(c.InOrStdin(), c.OutOrStdout()) }})
	c.AddCommand(placement())
	return c
}

// placement says what it comes to that caches stand in zones and regions.
func placement() *cobra.Command {
	var caches, keys, nodes int
	var price float64
	c := &cobra.Command{Use: "placement [FILE.toml]", Short: "Say how many attempts cross zones, and how many keys lose two holders with one zone",
		Args: cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
			name := ""
			if len(args) > 0 {
				name = args[0]
			}
			file, err := scale.ReadFile(name)
			switch {
			case err != nil:
				return fmt.Errorf("%w: %w", errCall, err)
			case caches < 1 || caches > mostCaches:
				return fmt.Errorf("%w: --caches %d is not from 1 to %d", errCall, caches, mostCaches)
			case keys < 1 || keys > mostKeys:
				return fmt.Errorf("%w: --keys %d is not from 1 to %d", errCall, keys, mostKeys)
			}
			x := scale.PlaceKeys(file.Places, caches, keys, nodes, price)
			x.Print(c.OutOrStdout())
			return nil
		}}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errCall, err) })
	c.Flags().IntVar(&caches, "caches", 50, "caches, zone by zone")
	c.Flags().IntVar(&keys, "keys", 50_000, "keys that are asked for, evenly from all zones")
	c.Flags().IntVar(&nodes, "nodes", 480, "nodes of the fleet")
	c.Flags().Float64Var(&price, "crossing-price", 0.2, "of a leg that crosses zones, as a share of a request; 0 for none")
	return c
}

// measure runs a plan with processes of this very program, and keeps what comes of it.
func measure(ctx context.Context, to io.Writer, p *scale.Plan, out string, kept bool, mostMB int) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return fmt.Errorf("the folder for reports cannot be made: %w", err)
	}
	dir, err := os.MkdirTemp("", "dahliapin-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	of := func(nodes int) string { return filepath.Join(out, fmt.Sprintf("size-%d.json", nodes)) }
	rig := &scale.Rig{Program: self, Dir: dir, Tell: progress(), MostMB: mostMB}
	r, err := rig.Run(ctx, p, func(nodes int) *scale.Size {
		text, err := os.ReadFile(of(nodes))
		var s scale.Size
		if !kept || err != nil || json.Unmarshal(text, &s) != nil || s.Nodes != nodes {
			return nil
		}
		return &s
	}, func(s *scale.Size) error { return keepJSON(of(s.Nodes), s) })
	if err != nil {
		return err
	}
	if err := keepJSON(filepath.Join(out, "report.json"), r); err != nil {
		return err
	}
	if err := r.Print(to); err != nil {
		return err
	}
	if !r.Good() {
		return errOver
	}
	return nil
}

// keepJSON writes a file, which is there whole or not at all.
func keepJSON(path string, what any) error {
	text, err := json.MarshalIndent(what, "", " ")
	if err == nil {
		err = os.WriteFile(path+".part", append(text, '\n'), 0o644)
	}
	if err == nil {
		err = os.Rename(path+".part", path)
	}
	if err != nil {
		return fmt.Errorf("the report cannot be kept: %w", err)
	}
	return nil
}
