package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"dahliapin/internal/emulator/onwire"
	"dahliapin/internal/emulator/outcome"
	"dahliapin/internal/emulator/script"
	"dahliapin/internal/emulator/virtual"
)

var errNotMet = errors.New("the rehearsal is not as expected")

func rehearse() *cobra.Command {
	var inVirtual bool
	var seed int64
	var out string
	c := &cobra.Command{Use: "rehearse SCRIPT", Short: "Play a script of failures against nodes, and say whether all came as expected",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := script.Read(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				s.Seed = seed
			}
			var r *outcome.Report
			if inVirtual {
				r, _, err = virtual.Play(s, "module", virtual.Module)
			} else {
				r, err = onSockets(c.Context(), s, nil)
			}
			if err != nil {
				return err
			}
			r.Print(c.OutOrStdout())
			if out != "" {
				if err := keep(out, r); err != nil {
					return err
				}
			}
			if !r.Good() {
				return errNotMet
			}
			return nil
		}}
	c.Flags().BoolVar(&inVirtual, "virtual", false, "in virtual time, without sockets")
	c.Flags().Int64Var(&seed, "seed", 0, "another seed than the script's")
	c.Flags().StringVar(&out, "out", "", "folder for report.json and records.jsonl")
	return c
}

// keep writes a report to a folder; each file is there whole or not at all.
func keep(dir string, r *outcome.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("the folder for reports cannot be made: %w", err)
	}
	report, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	var lines []byte
	for _, e := range r.Records {
		line, err := json.Marshal(e)
		if err != nil {
			return err
		}
		lines = append(append(lines, line...), '\n')
	}
	for name, text := range map[string][]byte{"report.json": append(report, '\n'), "records.jsonl": lines} {
		whole := filepath.Join(dir, name)
		if err := os.WriteFile(whole+".part", text, 0o644); err != nil {
			return fmt.Errorf("the report cannot be kept: %w", err)
		}
		if err := os.Rename(whole+".part", whole); err != nil {
			return fmt.Errorf("the report cannot be kept: %w", err)
		}
	}
	return nil
}

// onSockets plays a script against node processes of this very program. Nothing is left behind, however it ends.
func onSockets(ctx context.Context, s *script.Script, tell func(string)) (*outcome.Report, error) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "dahliapin-rehearsal-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	return onwire.Play(ctx, s, &onwire.Processes{Program: self, Dir: dir}, tell)
}
