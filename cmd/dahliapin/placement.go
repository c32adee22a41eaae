package main

import (
	"github.com/spf13/cobra"

	"dahliapin/internal/scale"
)

// The bounds of placement's flags.
const (
	maxPlacedCaches = 10_000
	maxPlacedKeys   = 10_000_000 // takes about a minute
	maxPlacedNodes  = 100_000
	maxCrossingCost = 100 // as a share of a request
)

// placementOptions holds the flags of placement.
type placementOptions struct {
	caches        int
	keys          int
	nodes         int
	crossZoneCost float64
}

// placementCommand returns the command that computes how replicas are placed in zones and regions.
func placementCommand() *cobra.Command {
	var o placementOptions
	c := &cobra.Command{
		Use:   "placement [FILE.toml]",
		Short: "Show how many attempts cross zones, and how many keys lose two replicas with one zone",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			file, err := scale.ReadFile(firstOf(args))
			isCost := o.crossZoneCost >= 0 && o.crossZoneCost <= maxCrossingCost // false for NaN
			switch {
			case err != nil:
				return usageErrorf("%w", err)
			case o.caches < 1 || o.caches > maxPlacedCaches:
				return usageErrorf("--caches %d is not from 1 to %d", o.caches, maxPlacedCaches)
			case o.keys < 1 || o.keys > maxPlacedKeys:
				return usageErrorf("--keys %d is not from 1 to %d", o.keys, maxPlacedKeys)
			case o.nodes < 1 || o.nodes > maxPlacedNodes:
				return usageErrorf("--nodes %d is not from 1 to %d", o.nodes, maxPlacedNodes)
			case !isCost:
				return usageErrorf("--crossing-price %v is not from 0 to %d", o.crossZoneCost, maxCrossingCost)
			}
			result := scale.PlaceKeys(file.Places, o.caches, o.keys, o.nodes, o.crossZoneCost)
			result.Print(c.OutOrStdout())
			return nil
		},
	}
	c.SetFlagErrorFunc(flagError)
	c.Flags().IntVar(&o.caches, "caches", 50, "number of caches, zone by zone")
	c.Flags().IntVar(&o.keys, "keys", 50_000, "number of keys that are requested, evenly from all zones")
	c.Flags().IntVar(&o.nodes, "nodes", 480, "number of nodes of the fleet")
	c.Flags().Float64Var(&o.crossZoneCost, "crossing-price", 0.2,
		"cost of an attempt that crosses zones, as a share of a request; 0 for none")
	return c
}
