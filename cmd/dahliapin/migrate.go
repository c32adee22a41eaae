package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"dahliapin/internal/config/migration"
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

// migrateFile converts a file into another one, and prints what the operator has to look at.
func migrateFile(out io.Writer, from, to string, dryRun, replace bool) error {
	old, err := os.ReadFile(from)
	if err != nil {
		return fmt.Errorf("the old configuration cannot be read: %w", err)
	}
	text, remarks, err := migration.Convert(old)
	if err != nil {
		return fmt.Errorf("%s cannot be turned: %w", from, err)
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

// checkTarget refuses to write over the old file, or over any other one unless it may be replaced.
func checkTarget(to string, oldInfo os.FileInfo, replace bool) error {
	existing, err := os.Stat(to)
	if err != nil { // there is none, or writing will tell what is wrong
		return nil
	}
	if os.SameFile(oldInfo, existing) {
		return errors.New("the new file is the old one: name another")
	}
	if !replace {
		return fmt.Errorf("%s is there already: name another, or give --replace", to)
	}
	return nil
}

// writeAtomically writes a file beside its place and moves it there, so that there is never half a file. It is linked
// where it may not replace another one: a link fails if there is one by now.
func writeAtomically(path string, text []byte, mode os.FileMode, replace bool) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return fmt.Errorf("the new configuration cannot be written: %w", err)
	}
	defer os.Remove(file.Name())
	_, err = file.Write(text)
	err = errors.Join(err, file.Chmod(mode), file.Sync(), file.Close())
	switch {
	case err != nil:
	case replace:
		err = os.Rename(file.Name(), path)
	default:
		err = os.Link(file.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("the new configuration cannot be written: %w", err)
	}
	return nil
}
