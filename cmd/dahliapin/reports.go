package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

const (
	outputFolderMode = 0o755
	partialSuffix    = ".part" // of a file that is being written
)

// makeReportFolder creates the folder for reports if it does not exist.
func makeReportFolder(dir string) error {
	if err := os.MkdirAll(dir, outputFolderMode); err != nil {
		return fmt.Errorf("cannot create the report folder: %w", err)
	}
	return nil
}

// writeReport writes a report and its records to a folder.
func writeReport(dir string, r *report.Report) error {
	if err := makeReportFolder(dir); err != nil {
		return err
	}
	summary, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	var records []byte
	for _, event := range r.Records {
		line, err := json.Marshal(event)
		if err != nil {
			return err
		}
		records = append(records, line...)
		records = append(records, '\n')
	}
	if err := writeComplete(filepath.Join(dir, "report.json"), append(summary, '\n')); err != nil {
		return err
	}
	return writeComplete(filepath.Join(dir, "records.jsonl"), records)
}

// writeJSON writes a value to a file as indented JSON.
func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return fmt.Errorf("cannot write the report: %w", err)
	}
	return writeComplete(path, append(text, '\n'))
}

// writeComplete writes a temporary file and renames it, so that the file exists whole or not at all.
func writeComplete(path string, text []byte) error {
	err := os.WriteFile(path+partialSuffix, text, outputFileMode)
	if err == nil {
		err = os.Rename(path+partialSuffix, path)
	}
	if err != nil {
		return fmt.Errorf("cannot write the report: %w", err)
	}
	return nil
}

// writeSchedule writes a schedule that broke a rule and the report on its run, and returns the path of the schedule.
func writeSchedule(dir, reportDir string, s *scenario.Scenario, r *report.Report) (path string, err error) {
	path = filepath.Join(dir, s.Name+".toml")
	text, err := s.Text()
	if err == nil {
		err = writeReport(reportDir, r)
	}
	if err == nil {
		err = os.WriteFile(path, text, outputFileMode)
	}
	if err != nil {
		return "", fmt.Errorf("cannot write the schedule: %w", err)
	}
	return path, nil
}
