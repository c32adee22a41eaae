//go:build review

// Command 8 has a learner of the log of changes begin anew with an empty folder.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	s "dahliapin/review/standins"
)

const (
	servers = 4 // three voters and a learner, as in deploy/control.toml
	learner = 4
	label   = "quiz-production"
)

func main() { os.Exit(run()) }

func run() int {
	defer s.KillAll()
	rec := s.OpenRecord()
	dir := s.Folder()

	var peers, nodes []string
	machines := ""
	for i := 1; i <= servers; i++ {
		peers = append(peers, s.FreePort())
		nodes = append(nodes, s.FreePort())
		machines += fmt.Sprintf("[[machine]]\nid = %d\nname = \"control-%d\"\naddr = \"%s\"\nlearner = %t\n", i, i, peers[i-1],
			i == learner)
	}
	at := strings.Join(nodes, ",")
	var running [servers + 1]*s.Process
	start := func(i int, log, flags string) {
		file := filepath.Join(dir, fmt.Sprintf("control-%d.toml", i))
		text := fmt.Sprintf("[control]\nid = %d\nlabel = \"%s\"\npeers = \"%s\"\nnodes = \"%s\"\ndata = \"%s\"\n%s", i, label,
			peers[i-1], nodes[i-1], folder(dir, i), machines)
		s.Must(os.WriteFile(file, []byte(text), 0o644))
		running[i] = s.Start("exec bin/dahliapin control "+file+flags, filepath.Join(dir, log))
		rec.Line("control-%d started%s", i, flags)
	}
	for i := 1; i <= servers; i++ {
		flags := " --new"
		if i == learner {
			flags = ""
		}
		start(i, fmt.Sprintf("control-%d.log", i), flags)
	}
	publish := func(key string) bool {
		out, ok := s.Output(dir, "bin/dahliapin fleet publish --at "+at+" --label "+label+" --purge "+key)
		rec.Line("publish %s: %s, exit 0: %t", key, strings.TrimSpace(out), ok)
		return ok
	}
	for i := range 20 {
		if !publish(fmt.Sprintf("pub:%d", i)) {
			return s.NotRun
		}
	}
	if !reaches(rec, dir, at, 20, 5*time.Second) {
		rec.Say("the learner did not get the log at first")
		return s.NotRun
	}

	running[learner].Signal(syscall.SIGTERM)
	<-running[learner].Done
	rec.Line("the learner was ended: %v", running[learner].Err)
	if s.Trouble() {
		s.Must(os.RemoveAll(folder(dir, learner)))
		rec.Line("its folder is gone")
	}
	// It is started three times at most, as a process manager would.
	ends := 0
	for try := range 3 {
		log := fmt.Sprintf("learner-again-%d.log", try)
		start(learner, log, "")
		if !publish(fmt.Sprintf("later:%d", try)) {
			return s.NotRun
		}
		select {
		case <-running[learner].Done:
			ends++
			text, _ := os.ReadFile(filepath.Join(dir, log))
			rec.Say("the learner ended by itself: %v", running[learner].Err)
			rec.Line("its log:\n%s", text)
		case <-time.After(10 * time.Second):
		}
		if running[learner].Alive() {
			break
		}
	}
	has := reaches(rec, dir, at, 21, 5*time.Second)
	rec.Say("the learner ended by itself %d times, lives: %t, has the log: %t", ends, running[learner].Alive(), has)
	switch {
	case ends > 0:
		return s.Broken
	case !has: // the page sets no time for that, so it is not judged
		return s.NotRun
	}
	return s.Held
}

func folder(dir string, i int) string { return filepath.Join(dir, fmt.Sprintf("data-%d", i)) }

// reaches reports whether the learner, heard just now, has the log up to an index within some time.
func reaches(rec *s.Record, dir, at string, index int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		out, _ := s.Output(dir, "bin/dahliapin fleet changes --json --at "+at+" --label "+label+" 2>/dev/null")
		var overview struct {
			Machines []struct {
				ID     int     `json:"id"`
				Last   int     `json:"last"`
				HeardS float64 `json:"heard_s"`
			} `json:"machines"`
		}
		if json.Unmarshal([]byte(out), &overview) != nil {
			continue
		}
		for _, m := range overview.Machines {
			if m.ID == learner && m.Last >= index && m.HeardS < 1 {
				rec.Line("the learner has %d, heard %.1f s ago", m.Last, m.HeardS)
				return true
			}
		}
	}
	return false
}
