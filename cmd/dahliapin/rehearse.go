package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"dahliapin/internal/emulator/realtime"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/simulation"
	"dahliapin/rehearsals"
)

var errNotMet = errors.New("the rehearsal is not as expected")

func rehearse() *cobra.Command {
	var inVirtual bool
	var seed int64
	var out, by string
	c := &cobra.Command{Use: "rehearse SCRIPT", Short: "Play a script of failures against nodes, and say whether all came as expected",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := find(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				s.Seed = seed
			}
			var r *report.Report
			if inVirtual {
				var make simulation.Maker
				if make, err = decider(by); err == nil {
					r, _, err = simulation.Play(s, by, make)
				}
			} else if by != "module" {
				err = errors.New("baselines play in virtual time only: add --virtual")
			} else {
				r, err = onSockets(c.Context(), s, progress())
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
	c.Flags().StringVar(&by, "decider", "module", "who decides: module, or a baseline in virtual time: random, ring")
	c.Flags().StringVar(&out, "out", "", "folder for report.json and records.jsonl")
	return c
}

// find reads a script from a file, or takes one of those that come with the program.
func find(name string) (*scenario.Scenario, error) {
	if text, ok := rehearsals.Text(name); ok {
		return scenario.Parse(name+".toml", text)
	}
	s, err := scenario.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("there is no file %s, nor a rehearsal of that name: %s", name, strings.Join(rehearsals.Names(), ", "))
	}
	return s, err
}

// progress writes a line that is written over, where there is somebody to see it.
func progress() func(string) {
	if at, err := os.Stderr.Stat(); err != nil || at.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(line string) { fmt.Fprintf(os.Stderr, "\r\x1b[K%s", line) }
}

// keep writes a report to a folder; each file is there whole or not at all.
func keep(dir string, r *report.Report) error {
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
func onSockets(ctx context.Context, s *scenario.Scenario, tell func(string)) (*report.Report, error) {
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
	return realtime.Play(ctx, s, &realtime.Processes{Program: self, Dir: dir}, tell)
}
