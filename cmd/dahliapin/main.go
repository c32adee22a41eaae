// Command dahliapin runs a router for fleets of cache servers: a node (serve), a control server (control), and the
// tools of their operators and developers. `dahliapin help` lists the commands; each is in a file of its own.
//
// A command exits with 0 for success, with 1 for a failure, and with 2 for outcomes that a script has to distinguish: a
// negative answer of a node, a fleet that is not up to date, or an invalid command line.
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
	exitFailed   = 1
	exitNegative = 2 // the command ran and its answer is negative, or the command line is invalid
)

// The environment variables that set defaults of flags. Operators' deployments depend on their names.
const (
	envConfig = "RELAY_CONFIG" // --config
	envAdmin  = "RELAY_OPS"    // --at of a node, and the admin address in the configuration
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

// exitCode returns the exit code for an error that a command returned.
func exitCode(err error) int {
	for _, negative := range []error{errNegativeAnswer, errUsage, errNotCaughtUp} {
		if errors.Is(err, negative) {
			return exitNegative
		}
	}
	return exitFailed
}

// printFurtherErrors prints the errors in a file after the first one, so that check reports all of them at once.
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

// usageErrorf returns an error about an invalid command line, which wraps errUsage.
func usageErrorf(format string, args ...any) error {
	return fmt.Errorf("%w: %w", errUsage, fmt.Errorf(format, args...))
}

// errUsage reports a command line with invalid arguments or flags. It has an exit code of its own.
var errUsage = errors.New("invalid command line")

// flagError returns a usage error for a flag that cannot be parsed.
func flagError(_ *cobra.Command, err error) error { return usageErrorf("%w", err) }

// noArguments rejects any argument as a usage error.
func noArguments(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageErrorf("%s takes no %q", c.Name(), args[0])
	}
	return nil
}
