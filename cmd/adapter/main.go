// Command adapter runs nodes' decisions on the simulator's wire: batches on standard input, replies on
// standard output.
package main

import (
	"fmt"
	"os"

	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/wire/simwire"
	"dahliapin/policy"
)

func main() {
	err := simwire.Serve(os.Stdin, os.Stdout, os.Stderr,
		func(now policy.Instant, seed int64, rules policy.Settings, out *simwire.Writer) simwire.Node {
			return dispatch.New(now, seed, rules, out)
		})
	if err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
