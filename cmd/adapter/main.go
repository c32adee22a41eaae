// Command adapter runs node dispatchers over the simulator's wire protocol: it reads batches of events from standard
// input, writes replies with actions to standard output, and reports ignored input on standard error.
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

// startNode returns the dispatcher of a newly started node.
func startNode(now policy.Instant, seed int64, settings policy.Settings, out *simwire.Writer) simwire.Node {
	return dispatch.New(now, seed, settings, out)
}
