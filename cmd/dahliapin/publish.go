package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/node"
)

const (
	publishTimeout    = 30 * time.Second // for changes to be ordered; electing a new leader takes some seconds
	maxControlServers = 16               // in --at
)

// controlFlags are the flags for the control servers of a fleet.
type controlFlags struct {
	at    string
	label string
}

func (f *controlFlags) add(c *cobra.Command, atHelp string) {
	c.Flags().StringVar(&f.at, "at", "", atHelp)
	c.Flags().StringVar(&f.label, "label", "", "label of the fleet")
}

func (f *controlFlags) client() (controlclient.Client, error) {
	client := controlclient.Client{Servers: strings.Split(f.at, ","), Label: f.label}
	for _, addr := range client.Servers {
		if _, err := netip.ParseAddrPort(addr); err != nil || len(client.Servers) > maxControlServers {
			return client, fmt.Errorf("--at %q is not a comma-separated list of 1 to %d addresses and ports of "+
				"control servers", f.at, maxControlServers)
		}
	}
	return client, nil
}

// publishOptions holds the flags of publish.
type publishOptions struct {
	control controlFlags
	keys    []string // to purge
	file    string   // of a configuration; empty for none
	timeout time.Duration
}

func publishCommand() *cobra.Command {
	var p publishOptions
	c := &cobra.Command{
		Use:   "publish --at ADDR[,ADDR] (--purge KEY [KEY...] | --config FILE)",
		Short: "Publish purges, or a configuration, to every node of the fleet",
		Long: "Prints the index of each change once it is on disk at a majority of the voting control servers.\n" +
			"Exits with 0 then, and with 1 if it is not known to be.",
		RunE: func(c *cobra.Command, args []string) error {
			client, err := p.control.client()
			if err != nil {
				return err
			}
			proposals, err := p.proposals(args)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), p.timeout)
			defer cancel()
			indexes, err := client.Publish(ctx, proposals)
			for _, index := range indexes {
				fmt.Fprintln(c.OutOrStdout(), index)
			}
			return err
		},
	}
	p.control.add(c, "addresses at which control servers listen for nodes, separated by commas; tried in turn")
	c.Flags().StringArrayVar(&p.keys, "purge", nil,
		"a key to purge from all caches, which may contain commas; more may follow as arguments")
	c.Flags().StringVar(&p.file, "config", "",
		"a node's configuration, for every node; each keeps its own name, address and limits")
	c.Flags().DurationVar(&p.timeout, "by", publishTimeout, "how long to retry")
	return c
}

// proposals returns the changes to publish: purges, whose further keys may be given as arguments, or a configuration.
func (p *publishOptions) proposals(args []string) ([]replicatedlog.Proposal, error) {
	hasKeys := len(p.keys) > 0
	if hasKeys == (p.file != "") || len(args) > 0 && !hasKeys {
		return nil, errors.New("either --purge with keys or --config with a file is needed")
	}
	if p.file != "" {
		return p.configuration()
	}
	var proposals []replicatedlog.Proposal
	for _, key := range append(p.keys, args...) {
		proposals = append(proposals, controlclient.NewProposal(replicatedlog.Purge, []byte(key)))
	}
	return proposals, nil
}

// configuration returns the proposal of the configuration file, after checking that nodes can parse it.
func (p *publishOptions) configuration() ([]replicatedlog.Proposal, error) {
	text, err := os.ReadFile(p.file)
	if err == nil {
		_, err = node.ParseConfig(text)
	}
	if err != nil {
		return nil, fmt.Errorf("not published: %w", err)
	}
	return []replicatedlog.Proposal{controlclient.NewProposal(replicatedlog.Config, text)}, nil
}
