package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	opsBy       = 2 * time.Second // for an answer: a node gives it within one
	longestSaid = 1 << 20         // bytes of one: some figures for each service grade
)

// errNo says that the node was reached and said no; scripts tell it by the exit code.
var errNo = errors.New("the node says no")

// opsCalls are what a node's operators can ask of it.
var opsCalls = []struct{ name, method, path, short string }{
	{"status", http.MethodGet, "/status", "Whether it takes clients"},
	{"metrics", http.MethodGet, "/status/metrics", "Its figures"},
	{"standby", http.MethodPut, "/standby", "Have it take nobody new and give back its clients"},
	{"active", http.MethodPut, "/active", "Have it take clients again"},
}

func opsCommand() *cobra.Command {
	var at string
	c := &cobra.Command{Use: "ops", Short: "Ask or tell a running node, at its operators' address",
		Long: "Exits with 0 for yes, 2 where the node says no, and 1 where it can't be asked.",
		RunE: func(_ *cobra.Command, args []string) error { // else a call with a slip in it would show the help and exit with yes
			return fmt.Errorf("ops %q: the calls are status, metrics, standby and active", strings.Join(args, " "))
		}}
	c.PersistentFlags().StringVar(&at, "at", os.Getenv("RELAY_OPS"), "the node's operators' address and port")
	for _, call := range opsCalls {
		c.AddCommand(&cobra.Command{Use: call.name, Short: call.short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return askNode(c.OutOrStdout(), at, call.method, call.path)
		}})
	}
	return c
}

func askNode(out io.Writer, at, method, path string) error {
	if _, err := netip.ParseAddrPort(at); err != nil {
		return fmt.Errorf("--at %q is not an address and a port", at)
	}
	q, err := http.NewRequest(method, "http://"+at+path, nil)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: opsBy, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return fmt.Errorf("the node cannot be asked: %w", err)
	}
	defer a.Body.Close()
	said, err := io.ReadAll(io.LimitReader(a.Body, longestSaid))
	if err != nil {
		return fmt.Errorf("the node's answer broke off: %w", err)
	}
	if a.StatusCode/100 != 2 {
		return fmt.Errorf("%w: %s", errNo, string(said[:max(0, len(said)-1)]))
	}
	_, err = out.Write(said)
	return err
}
