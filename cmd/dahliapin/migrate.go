package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"dahliapin/internal/config/migration"
	"dahliapin/internal/durable"
	"dahliapin/node"
)

func migrateCommand() *cobra.Command {
	var dryRun, replace bool
	c := &cobra.Command{
		Use: "migrate OLD NEW", Args: cobra.ExactArgs(2),
		Short: "Convert the configuration of a node in a shared pool into one for a node in each client process",
		RunE: func(c *cobra.Command, args []string) error {
			return migrateFile(c.OutOrStdout(), args[0], args[1], dryRun, replace)
		},
	}
	c.Flags().BoolVar(&dryRun, "dry-run", false, "list what would change, and write nothing")
	c.Flags().BoolVar(&replace, "replace", false, "overwrite an existing file")
	return c
}

// migrateFile converts the file from into the file to, and prints remarks on what the operator has to check.
func migrateFile(out io.Writer, from, to string, dryRun, replace bool) error {
	old, err := os.ReadFile(from)
	if err != nil {
		return fmt.Errorf("cannot read the old configuration: %w", err)
	}
	text, remarks, err := migration.Convert(old)
	if err != nil {
		return fmt.Errorf("cannot convert %s: %w", from, err)
	}
	oldInfo, err := os.Stat(from)
	if err != nil {
		return err
	}
	if err := checkTarget(to, oldInfo, replace); err != nil {
		return err
	}
	for _, remark := range remarks {
		fmt.Fprintln(out, remark)
	}
	if _, err := node.ParseConfig(text); err != nil {
		fmt.Fprintln(out, "not usable as it is:", err)
	}
	if dryRun {
		fmt.Fprintln(out, "nothing written")
		return nil
	}
	return writeAtomically(to, text, oldInfo.Mode().Perm(), replace)
}

// checkTarget returns an error if the target is the old file, or exists and may not be replaced.
func checkTarget(to string, oldInfo os.FileInfo, replace bool) error {
	existing, err := os.Stat(to)
	if err != nil { // it does not exist, or writing it will report the error
		return nil
	}
	if os.SameFile(oldInfo, existing) {
		return errors.New("the new file is the old one: choose another path")
	}
	if !replace {
		return fmt.Errorf("%s already exists: choose another path, or give --replace", to)
	}
	return nil
}

// writeAtomically writes a temporary file in the target's folder and renames it, so that a partial file is never seen,
// also after a power failure. Once it returns without an error, the file is durable. Without replace, it links the file
// instead: unlike a rename, a link fails if the target has been created meanwhile.
func writeAtomically(path string, text []byte, mode os.FileMode, replace bool) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return fmt.Errorf("cannot write the new configuration: %w", err)
	}
	defer os.Remove(file.Name())
	err = errors.Join(file.Chmod(mode), writeSynced(file, text))
	switch {
	case err != nil:
	case replace:
		err = os.Rename(file.Name(), path)
	default:
		err = os.Link(file.Name(), path)
	}
	if err == nil {
		err = durable.SyncDir(filepath.Dir(path))
	}
	if err != nil {
		return fmt.Errorf("cannot write the new configuration: %w", err)
	}
	return nil
}
