package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dahliapin/node"
)

const checkName = "check"

// configFiles holds the paths of a node's configuration files.
type configFiles struct {
	config   string // the configuration
	operator string // further listeners, HTTP caches and degradation levels; empty for none
	fleet    string // the fleet; empty for a standalone node
}

// addFlags adds the flags for the files beside the configuration.
func (f *configFiles) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.operator, "operator", "",
		"file of further listeners, caches that speak HTTP, and degradation levels, at which load is shed")
	c.Flags().StringVar(&f.fleet, "fleet", "",
		"configuration file of the fleet that the node joins; without it, the node is standalone")
}

// read reads the configuration and applies the environment and the other files to it.
func (f *configFiles) read() (*node.Config, error) {
	config, err := node.ReadConfig(f.config)
	if err != nil {
		return config, err
	}
	if addr := os.Getenv(envAdmin); addr != "" {
		if err := config.SetAdminAddr(addr); err != nil {
			return config, err
		}
	}
	if f.operator != "" {
		if err := config.LoadListenersFile(f.operator); err != nil {
			return config, err
		}
	}
	if f.fleet != "" {
		if err := config.LoadFleetFile(f.fleet); err != nil {
			return config, err
		}
	}
	return config, nil
}

func checkCommand(files *configFiles) *cobra.Command {
	c := &cobra.Command{
		Use: checkName, Short: "Check whether a node's configuration can be used", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := files.read()
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: can be used; listens on %s\n", config.Name, config.Listen)
			return nil
		},
	}
	files.addFlags(c)
	return c
}
