package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"dahliapin/internal/control/controlclient"
)

// maxShownLacking is the maximum number of nodes, and of caches, that are listed as lacking something.
const maxShownLacking = 40

// errNotCaughtUp reports that a node lacks changes, that a cache lacks purges, or that there is no leader.
var errNotCaughtUp = errors.New(
	"not every node has all changes, not all purges are done at every cache, or there is no leader")

// changesCommand returns the command that shows how far each node has applied the replicated log.
func changesCommand(asJSON *bool) *cobra.Command {
	var control controlFlags
	c := &cobra.Command{
		Use:   "changes --at ADDR[,ADDR]",
		Short: "Show how far each node has applied the log of changes, and each cache its purges",
		Long: "Exits with 0 if every node has all changes and all purges are done at every cache; with 2 if\n" +
			"one lacks something, refused a configuration or does not answer; and with 1 if no control\n" +
			"server can be reached.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := control.client()
			if err != nil {
				return err
			}
			overview, err := client.Overview()
			if err != nil {
				return err
			}
			if *asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(overview)
			} else {
				err = printChanges(c.OutOrStdout(), overview)
			}
			if err == nil && !overview.CaughtUp() {
				return errNotCaughtUp
			}
			return err
		},
	}
	control.add(c, "addresses at which control servers listen for nodes, separated by commas; asked in parallel")
	return c
}

func printChanges(out io.Writer, o controlclient.Overview) error {
	table := newTable(out)
	fmt.Fprintf(table, "newest entry %d, a leader is heard: %t\n\n", o.Last, o.HasLeader)
	printServers(table, o)
	printNodes(table, o)
	printCaches(table, o)
	return table.Flush()
}

func printServers(table io.Writer, o controlclient.Overview) {
	fmt.Fprintln(table, "control\trole\tlast\tkept after\tconfig\tbytes out\tforeign\tturned away\theard")
	for _, s := range o.Servers {
		role := "voter"
		switch {
		case s.Learner:
			role = "learner"
		case s.IsLeader:
			role = fmt.Sprintf("leader, term %d", s.Term)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
			s.Name, role, s.Last, s.Floor, s.Config, s.BytesOut, s.Invalid, s.Rejected,
			formatLastSeen(s.LastSeenS, s.Silent))
	}
}

// formatLastSeen formats the time since a process was last heard from.
func formatLastSeen(seconds float64, isSilent bool) string {
	text := fmt.Sprintf("%.1f s ago", seconds)
	if isSilent {
		text += ", silent"
	}
	return text
}

// printNodes prints the nodes that lack something.
func printNodes(table io.Writer, o controlclient.Overview) {
	lacking := slices.DeleteFunc(slices.Clone(o.Nodes), func(n controlclient.NodeStatus) bool {
		return n.Missing == 0 && !n.Silent && !n.NotStarted && n.Refused == 0
	})
	fmt.Fprintf(table, "\n%d nodes, %d of them have all\n", len(o.Nodes), len(o.Nodes)-len(lacking))
	if len(lacking) > 0 {
		fmt.Fprintln(table, "node\tapplied\tlacks\tconfig\tat control\theard")
	}
	for _, n := range lacking[:min(len(lacking), maxShownLacking)] {
		state := formatLastSeen(n.LastSeenS, n.Silent)
		if n.Refused > 0 {
			state += fmt.Sprintf(", refused %d: %s", n.Refused, n.Reason)
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\n", n.Node, n.Applied, n.Missing, n.Config, n.Server, state)
	}
	printMore(table, len(lacking))
}

// printMore prints how many of the nodes or caches that lack something are not shown.
func printMore(table io.Writer, lacking int) {
	if lacking > maxShownLacking {
		fmt.Fprintf(table, "and %d more: --json has all\n", lacking-maxShownLacking)
	}
}

// printCaches prints the caches that lack purges, if control servers carry purges out at caches.
func printCaches(table io.Writer, o controlclient.Overview) {
	if o.NoCacheList {
		fmt.Fprintln(table, "\npurges are to be carried out at caches, and there is no list of them")
	}
	if len(o.Caches) == 0 {
		return
	}
	hasAll := func(c controlclient.CacheStatus) bool { return c.Missing == 0 }
	lacking := slices.DeleteFunc(slices.Clone(o.Caches), hasAll)
	fmt.Fprintf(table, "\n%d caches, purges are done at %d of them\n", len(o.Caches), len(o.Caches)-len(lacking))
	if len(lacking) > 0 {
		fmt.Fprintln(table, "cache\tdone\tlacks\tlate\tdeleted once\tcontrol servers")
	}
	for _, c := range lacking[:min(len(lacking), maxShownLacking)] {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\n",
			c.Cache, c.Done, c.Missing, c.Overdue, c.QuickDeleted, lackingReasons(&c))
	}
	printMore(table, len(lacking))
}

// lackingReasons returns what the control servers report about a cache that lacks purges.
func lackingReasons(c *controlclient.CacheStatus) string {
	var reasons []string
	for _, at := range c.Servers {
		if at.Reason != "" && !at.Silent {
			reasons = append(reasons, fmt.Sprintf("%d: %s, %.1f s", at.Server, at.Reason, at.UnansweredS))
		}
	}
	if c.Flushing {
		reasons = append(reasons, "to be flushed: what it lacks is not kept")
	}
	return strings.Join(reasons, "; ")
}
