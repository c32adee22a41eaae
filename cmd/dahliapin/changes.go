package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/control/controlclient"
	changes "dahliapin/internal/control/replicatedlog"
	"dahliapin/node"
)

const (
	publishBy    = 30 * time.Second // for changes to be ordered: a leader is elected anew within some
	mostToAsk    = 16               // control machines in --at
	shownLacking = 40               // nodes that lack something, a line each
)

// errLacks says that not every node has all; scripts tell it by the exit code.
var errLacks = errors.New("not every node has all changes, not all purges are done at every cache, or no leader is heard")

func callerOf(at, label string) (controlclient.Client, error) {
	c := controlclient.Client{Servers: strings.Split(at, ","), Label: label}
	for _, a := range c.Servers {
		if _, err := netip.ParseAddrPort(a); err != nil || len(c.Servers) > mostToAsk {
			return c, fmt.Errorf("--at %q is not one to %d addresses and ports of control machines, with commas", at, mostToAsk)
		}
	}
	return c, nil
}

// publishCommand has changes ordered.
func publishCommand() *cobra.Command {
	var at, label, file string
	var keys []string
	var by time.Duration
	c := &cobra.Command{Use: "publish --at ADDR[,ADDR] (--purge KEY[,KEY] | --config FILE)", Short: "Have purges or a configuration ordered for every node",
		Long: "Prints the index of each, once it is on disk at a majority of the control machines that vote.\nExits with 0 then, and 1 where it is not known to be.",
		RunE: func(c *cobra.Command, args []string) error {
			caller, err := callerOf(at, label)
			if err != nil {
				return err
			}
			var all []changes.Proposal
			for _, key := range append(keys, args...) {
				all = append(all, controlclient.NewProposal(changes.Purge, []byte(key)))
			}
			if (len(keys) > 0) == (file != "") || len(args) > 0 && len(keys) == 0 {
				return errors.New("either --purge with keys or --config with a file is needed")
			}
			if file != "" {
				text, err := os.ReadFile(file)
				if err == nil {
					_, err = node.ParseConfig(text)
				}
				if err != nil {
					return fmt.Errorf("not published: %w", err)
				}
				all = append(all, controlclient.NewProposal(changes.Config, text))
			}
			ctx, done := context.WithTimeout(c.Context(), by)
			defer done()
			indexes, err := caller.Publish(ctx, all)
			for _, i := range indexes {
				fmt.Fprintln(c.OutOrStdout(), i)
			}
			return err
		}}
	c.Flags().StringVar(&at, "at", "", "control machines, as nodes reach them, with commas: asked one after the other")
	c.Flags().StringVar(&label, "label", "", "of the fleet")
	c.Flags().StringArrayVar(&keys, "purge", nil, "a key that caches are no longer to serve; more may follow as words")
	c.Flags().StringVar(&file, "config", "", "a node's configuration, for every node; each keeps its own name, address and limits")
	c.Flags().DurationVar(&by, "by", publishBy, "how long to try")
	return c
}

// changesCommand tells who has applied what.
func changesCommand(plain *bool) *cobra.Command {
	var at, label string
	c := &cobra.Command{Use: "changes --at ADDR[,ADDR]", Short: "Tell up to where each node has applied the log of changes, and purges are done at each cache", Args: cobra.NoArgs,
		Long: "Exits with 0 where every node that was heard has all and all purges are done at every cache, 2 where one lacks something, refused a\n" +
			"configuration or is not heard, and 1 where no control machine can be asked.",
		RunE: func(c *cobra.Command, _ []string) error {
			caller, err := callerOf(at, label)
			if err != nil {
				return err
			}
			o, err := caller.Overview()
			if err != nil {
				return err
			}
			if *plain {
				err = json.NewEncoder(c.OutOrStdout()).Encode(o)
			} else {
				err = showChanges(c.OutOrStdout(), o)
			}
			if err == nil && !o.CaughtUp() {
				return errLacks
			}
			return err
		}}
	c.Flags().StringVar(&at, "at", "", "control machines, as nodes reach them, with commas: all are asked at once")
	c.Flags().StringVar(&label, "label", "", "of the fleet")
	return c
}

func showChanges(to io.Writer, o controlclient.Overview) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "newest entry %d, a leader is heard: %t\n\ncontrol\trole\tlast\tkept after\tconfig\tbytes out\tforeign\tturned away\theard\n", o.Last, o.HasLeader)
	for _, m := range o.Servers {
		role := "voter"
		switch {
		case m.Learner:
			role = "learner"
		case m.IsLeader:
			role = fmt.Sprintf("leader, term %d", m.Term)
		}
		heard := fmt.Sprintf("%.1f s ago", m.LastSeenS)
		if m.Silent {
			heard += ", silent"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", m.Name, role, m.Last, m.Floor, m.Config, m.BytesOut, m.Invalid, m.Rejected, heard)
	}
	var lacking []controlclient.NodeStatus
	for _, n := range o.Nodes {
		if n.Missing > 0 || n.Silent || n.NotStarted || n.Refused > 0 {
			lacking = append(lacking, n)
		}
	}
	fmt.Fprintf(w, "\n%d nodes, %d of them have all\n", len(o.Nodes), len(o.Nodes)-len(lacking))
	if len(lacking) > 0 {
		fmt.Fprintln(w, "node\tapplied\tlacks\tconfig\tat control\theard")
	}
	for i, n := range lacking {
		if i == shownLacking {
			fmt.Fprintf(w, "and %d more: --json has all\n", len(lacking)-i)
			break
		}
		heard := fmt.Sprintf("%.1f s ago", n.LastSeenS)
		if n.Silent {
			heard += ", silent"
		}
		if n.Refused > 0 {
			heard += fmt.Sprintf(", refused %d: %s", n.Refused, n.Reason)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", n.Node, n.Applied, n.Missing, n.Config, n.Server, heard)
	}
	showCaches(w, o)
	return w.Flush()
}

// showCaches tells which caches lack purges, where control machines carry them out.
func showCaches(w io.Writer, o controlclient.Overview) {
	if o.Unlisted {
		fmt.Fprintln(w, "\npurges are to be carried out at caches, and there is no list of them")
	}
	if len(o.Caches) == 0 {
		return
	}
	lacking := slices.DeleteFunc(slices.Clone(o.Caches), func(c controlclient.CacheStatus) bool { return c.Missing == 0 })
	fmt.Fprintf(w, "\n%d caches, purges are done at %d of them\n", len(o.Caches), len(o.Caches)-len(lacking))
	if len(lacking) > 0 {
		fmt.Fprintln(w, "cache\tdone\tlacks\tlate\tdeleted once\tmachines")
	}
	for i, c := range lacking {
		if i == shownLacking {
			fmt.Fprintf(w, "and %d more: --json has all\n", len(lacking)-i)
			break
		}
		var why []string
		for _, m := range c.Servers {
			if m.Reason != "" && !m.Silent {
				why = append(why, fmt.Sprintf("%d: %s, %.1f s", m.Server, m.Reason, m.UnansweredS))
			}
		}
		if c.Flushing {
			why = append(why, "to be flushed: what it lacks is not kept")
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", c.Cache, c.Done, c.Missing, c.Overdue, c.FirstDeleted, strings.Join(why, "; "))
	}
}
