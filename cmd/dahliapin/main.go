// Command dahliapin runs a router for fleets of cache servers: a node (serve), a control server (control), and the
// tools of their operators and developers. `dahliapin help` lists the commands; each is in a file of its own.
//
// A command's exit code is 0 for success, 1 for a failure, and 2 where a script has to tell an answer apart: a node
// that says no, a fleet that is not up to date, or a call that cannot be taken.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"dahliapin/internal/config/strictconfig"
)

var version = "0.1.0"

// The exit codes of failures.
const (
	exitFailed = 1
	exitSaidNo = 2 // the command ran, and its answer is no; or the call cannot be taken
)

// The environment's variables that stand for flags. The names are the operators' own, and kept.
const (
	envConfig = "RELAY_CONFIG" // --config
	envAdmin  = "RELAY_OPS"    // --at of a node, and the address for operators in the configuration
)

const programName = "dahliapin"

func main() {
	root := rootCommand()
	called, err := root.ExecuteC()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, programName+":", err)
	if called.Name() == checkName {
		printFurtherErrors(err)
	}
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	for _, saidNo := range []error{errSaidNo, errBadCall, errNotCaughtUp} {
		if errors.Is(err, saidNo) {
			return exitSaidNo
		}
	}
	return exitFailed
}

// printFurtherErrors prints all that is wrong with a file beside the first error, for an operator who checks it.
func printFurtherErrors(err error) {
	var all strictconfig.FieldErrors
	if !errors.As(err, &all) {
		return
	}
	for _, further := range all[1:] {
		fmt.Fprintln(os.Stderr, programName+":", further)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           programName,
		Short:         "A router for fleets of cache servers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	files := &configFiles{}
	root.PersistentFlags().StringVar(&files.config, "config", os.Getenv(envConfig), "file of the node's configuration")
	root.AddCommand(
		serveCommand(files), checkCommand(files), migrateCommand(), versionCommand(),
		opsCommand(), fleetCommand(), controlCommand(),
		rehearseCommand(), loadCommand(), demoCommand(), nemesisCommand(), soakCommand(),
		scaleChangesCommand(), scaleCommand(),
	)
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), programName, version, goVersion())
		},
	}
}

// goVersion returns the version of Go that the program was built with.
func goVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.GoVersion
	}
	return ""
}

// badCall returns an error about a call that cannot be taken, which is told apart by the exit code.
func badCall(format string, args ...any) error {
	return fmt.Errorf("%w: %w", errBadCall, fmt.Errorf(format, args...))
}

// errBadCall says that a call's words or flags cannot be taken.
var errBadCall = errors.New("the call can't be taken")

// badFlag reports a flag that cannot be parsed as a bad call.
func badFlag(_ *cobra.Command, err error) error { return badCall("%w", err) }

// noArguments refuses any argument as a bad call.
func noArguments(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return badCall("%s takes no %q", c.Name(), args[0])
	}
	return nil
}
