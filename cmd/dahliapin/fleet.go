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

// fleetCommand asks a running node what it knows of the others.
func fleetCommand() *cobra.Command {
	var at string
	var plain bool
	c := &cobra.Command{Use: "fleet", Short: "Ask a running node, at its operators' address, what it knows of the others",
		Long: "Exits with 0 for yes, 2 where the node is cut off or knows of no others, and 1 where it can't be asked.",
		RunE: func(_ *cobra.Command, args []string) error {
			return fmt.Errorf("fleet %q: the calls are status, members, publish and changes", strings.Join(args, " "))
		}}
	c.PersistentFlags().StringVar(&at, "at", os.Getenv("RELAY_OPS"), "the node's operators' address and port")
	c.PersistentFlags().BoolVar(&plain, "json", false, "as the node says it")
	for _, call := range []struct {
		name, short string
		show        func(io.Writer, []byte) error
	}{{"status", "How it stands in the fleet", showStatus}, {"members", "Whom it knows", showMembers}} {
		c.AddCommand(&cobra.Command{Use: call.name, Short: call.short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			var said bytes.Buffer
			err := askNode(&said, at, http.MethodGet, "/fleet/"+call.name)
			if plain || err != nil {
				_, _ = c.OutOrStdout().Write(said.Bytes())
				return err
			}
			return call.show(c.OutOrStdout(), said.Bytes())
		}})
	}
	c.AddCommand(publishCommand(), changesCommand(&plain))
	return c
}

var errAnswer = errors.New("the node's answer can't be read")

func showStatus(to io.Writer, text []byte) error {
	var s node.FleetStatus
	if json.Unmarshal(text, &s) != nil {
		return errAnswer
	}
	_, err := fmt.Fprintf(to, "%s (process %s, life %d): view %d, mark %s, %d members, %d suspected, cut off: %t\n%d datagrams in (%d bytes), %d out (%d bytes), %d streams in; foreign %d, unread %d, dropped %d\n",
		s.Node, s.Process, s.Incarnation, s.View, s.Mark, s.Members, s.Suspected, s.CutOff, s.In, s.InBytes, s.Out, s.OutBytes, s.Streams, s.Foreign, s.Unread, s.Dropped)
	if c := s.Changes; c != nil && err == nil {
		_, err = fmt.Fprintf(to, "changes: applied up to %d of %d, configuration %d, refused %d %s, %d purges, all up to %d presumed purged; at %s, heard %.1f s ago, stale: %t, %d gaps\n",
			c.Applied, c.LastKnown, c.Config, c.Refused, c.Reason, c.Purges, c.PresumedPurged, c.Server, c.SinceLeaderS, c.Stale, c.Gaps)
	}
	return err
}

func showMembers(to io.Writer, text []byte) error {
	var all []gossip.MemberStatus
	if json.Unmarshal(text, &all) != nil {
		return errAnswer
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "node\tlife\tstanding\theard by\tmissed by\taddress\tprocess")
	for _, m := range all {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%s\t%s\n", m.Node, m.Incarnation, m.Status, m.Hears, m.Misses, m.Addr, m.Process)
	}
	return w.Flush()
}
