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

func migrate() *cobra.Command {
	var dry, replace bool
	c := &cobra.Command{Use: "migrate OLD NEW", Args: cobra.ExactArgs(2),
		Short: "Turn a pool node's configuration into one for a node in each client process",
		RunE: func(c *cobra.Command, args []string) error {
			return migrateFile(c.OutOrStdout(), args[0], args[1], dry, replace)
		}}
	c.Flags().BoolVar(&dry, "dry-run", false, "list what would change and write nothing")
	c.Flags().BoolVar(&replace, "replace", false, "write over a file that is there")
	return c
}

func migrateFile(out io.Writer, from, to string, dry, replace bool) error {
	old, err := os.ReadFile(from)
	if err != nil {
		return fmt.Errorf("the old configuration cannot be read: %w", err)
	}
	text, remarks, err := migration.Convert(old)
	if err != nil {
		return fmt.Errorf("%s cannot be turned: %w", from, err)
	}
	was, err := os.Stat(from)
	if err != nil {
		return err
	}
	if there, err := os.Stat(to); err == nil {
		if os.SameFile(was, there) {
			return errors.New("the new file is the old one: name another")
		} else if !replace {
			return fmt.Errorf("%s is there already: name another, or give --replace", to)
		}
	}
	for _, r := range remarks {
		fmt.Fprintln(out, r)
	}
	if _, err := node.ParseConfig(text); err != nil {
		fmt.Fprintln(out, "not usable as it is:", err)
	}
	if dry {
		fmt.Fprintln(out, "nothing written")
		return nil
	}
	return writeWhole(to, text, was.Mode().Perm(), replace)
}

// writeWhole writes beside and renames, or links where nothing may be written over: never half a file.
func writeWhole(path string, text []byte, mode os.FileMode, replace bool) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return fmt.Errorf("the new configuration cannot be written: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	err = errors.Join(err, f.Chmod(mode), f.Sync(), f.Close())
	if err == nil && replace {
		err = os.Rename(f.Name(), path)
	} else if err == nil {
		err = os.Link(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("the new configuration cannot be written: %w", err)
	}
	return nil
}
