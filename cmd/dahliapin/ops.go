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
	adminTimeout    = 2 * time.Second // a node answers within one second
	maxAdminAnswer  = 1 << 20         // bytes; far above the metrics of all service classes
	adminAtFlagHelp = "address and port for operators of the node"
)

// errNegativeAnswer reports that the node was reached and answered no, or refused the call.
var errNegativeAnswer = errors.New("the node answered no")

// adminCalls lists the calls of a node's admin server.
var adminCalls = []struct{ name, method, path, short string }{
	{"status", http.MethodGet, "/status", "Show whether the node serves clients"},
	{"metrics", http.MethodGet, "/status/metrics", "Show the node's metrics"},
	{"standby", http.MethodPut, "/standby", "Make the node accept no new clients and close the connections it has"},
	{"active", http.MethodPut, "/active", "Make the node accept clients again"},
}

func opsCommand() *cobra.Command {
	var at string
	c := &cobra.Command{
		Use: "ops", Aliases: []string{"admin"},
		Short: "Query or control a running node, at its address for operators",
		Long:  "Exits with 0 for yes, 2 if the node answers no, and 1 if it cannot be reached.",
		// Without this, a mistyped call would show the help and exit with 0.
		RunE: func(_ *cobra.Command, args []string) error {
			return fmt.Errorf("ops %q: the calls are status, metrics, standby and active", strings.Join(args, " "))
		},
	}
	c.PersistentFlags().StringVar(&at, "at", os.Getenv(envAdmin), adminAtFlagHelp)
	for _, call := range adminCalls {
		c.AddCommand(&cobra.Command{
			Use: call.name, Short: call.short, Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return callNode(c.OutOrStdout(), at, call.method, call.path)
			},
		})
	}
	return c
}

// callNode calls a node's admin server and writes its answer.
func callNode(out io.Writer, addr, method, path string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("--at %q is not an address and a port", addr)
	}
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("cannot reach the node: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAdminAnswer))
	if err != nil {
		return fmt.Errorf("reading the node's answer: %w", err)
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%w: %s", errNegativeAnswer, answer[:max(0, len(answer)-1)]) // without the trailing newline
	}
	_, err = out.Write(answer)
	return err
}
