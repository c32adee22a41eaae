package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"dahliapin/internal/durable"
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

// writeComplete writes a temporary file and renames it, so that the file exists whole or not at all, also after a power
// failure. Once it returns without an error, the file is durable.
func writeComplete(path string, text []byte) error {
	file, err := os.OpenFile(path+partialSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, outputFileMode)
	if err == nil {
		err = writeSynced(file, text)
	}
	if err == nil {
		err = os.Rename(path+partialSuffix, path)
	}
	if err == nil {
		err = durable.SyncDir(filepath.Dir(path))
	}
	if err != nil {
		return fmt.Errorf("cannot write the report: %w", err)
	}
	return nil
}

// writeSynced writes a text to an open file, makes it durable and closes the file.
func writeSynced(file *os.File, text []byte) error {
	_, err := file.Write(text)
	return errors.Join(err, file.Sync(), file.Close())
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
