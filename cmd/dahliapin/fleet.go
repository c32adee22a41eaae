package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dahliapin/internal/membership/gossip"
	"dahliapin/node"
)

// fleetCalls lists the queries that a node answers about its fleet.
var fleetCalls = []struct {
	name, short string
	print       func(out io.Writer, answer []byte) error
}{
	{"status", "Show how the node takes part in the fleet", printFleetStatus},
	{"members", "Show the members that the node knows", printFleetMembers},
}

func fleetCommand() *cobra.Command {
	var at string
	var asJSON bool
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Show what a running node knows of the other nodes, and publish changes to all of them",
		Long:  "Exits with 0 for yes, 2 if the node is cut off or standalone, and 1 if it cannot be reached.",
		RunE: func(_ *cobra.Command, args []string) error {
			return fmt.Errorf("fleet %q: the calls are status, members, publish and changes", strings.Join(args, " "))
		},
	}
	c.PersistentFlags().StringVar(&at, "at", os.Getenv(envAdmin), adminAtFlagHelp)
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "print the answer as it is, in JSON")
	for _, call := range fleetCalls {
		c.AddCommand(&cobra.Command{
			Use: call.name, Short: call.short, Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				var answer bytes.Buffer
				err := callNode(&answer, at, http.MethodGet, "/fleet/"+call.name)
				if asJSON || err != nil {
					_, _ = c.OutOrStdout().Write(answer.Bytes())
					return err
				}
				return call.print(c.OutOrStdout(), answer.Bytes())
			},
		})
	}
	c.AddCommand(publishCommand(), changesCommand(&asJSON))
	return c
}

var errUnreadableAnswer = errors.New("cannot parse the node's answer")

// printFleetStatus prints a node's view of the fleet. Operators' tools match words in it, such as life and mark.
func printFleetStatus(out io.Writer, answer []byte) error {
	var s node.FleetStatus
	if json.Unmarshal(answer, &s) != nil {
		return errUnreadableAnswer
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s (process %s, life %d): view %d, mark %s, %d members, %d suspected, cut off: %t\n",
		s.Node, s.Process, s.Incarnation, s.View, s.Fingerprint, s.Members, s.Suspected, s.MayBePartitioned)
	fmt.Fprintf(&text, "%d datagrams in (%d bytes), %d out (%d bytes), %d streams in; ",
		s.DatagramsIn, s.BytesIn, s.DatagramsOut, s.BytesOut, s.StreamsIn)
	fmt.Fprintf(&text, "foreign %d, unread %d, dropped %d\n", s.Foreign, s.Unreadable, s.Dropped)
	if c := s.Changes; c != nil {
		fmt.Fprintf(&text, "changes: applied up to %d of %d, configuration %d, refused %d %s, %d purges, ",
			c.Applied, c.LastKnown, c.Config, c.Refused, c.Reason, c.Purges)
		fmt.Fprintf(&text, "all up to %d presumed purged; at %s, heard %.1f s ago, stale: %t, %d gaps\n",
			c.PresumedPurged, c.Server, c.SinceLeaderS, c.Stale, c.Gaps)
	}
	_, err := out.Write(text.Bytes())
	return err
}

// printFleetMembers prints a table of the members. Operators' tools match its headings, such as life and standing.
func printFleetMembers(out io.Writer, answer []byte) error {
	var members []gossip.MemberStatus
	if json.Unmarshal(answer, &members) != nil {
		return errUnreadableAnswer
	}
	table := newTable(out)
	fmt.Fprintln(table, "node\tlife\tstanding\theard by\tmissed by\taddress\tprocess")
	for _, m := range members {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%d\t%s\t%s\n",
			m.Node, m.Incarnation, m.Status, m.HeardBy, m.MissedBy, m.Addr, m.Process)
	}
	return table.Flush()
}

// newTable returns a writer that aligns tab-separated columns.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }
