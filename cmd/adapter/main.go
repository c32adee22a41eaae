// Command adapter runs the decisions of nodes on the simulator's wire: batches of events on standard input, replies
// with actions on standard output, and what it ignores on standard error.
package main

import (
	"fmt"
	"os"

	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/wire/simwire"
	"dahliapin/policy"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout, os.Stderr, startNode); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// startNode makes the dispatcher of a node that starts.
func startNode(now policy.Instant, seed int64, settings policy.Settings, out *simwire.Writer) simwire.Node {
	return dispatch.New(now, seed, settings, out)
}
