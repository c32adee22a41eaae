//go:build review

package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1
	NoRun  = 2 // the case could not run
)

// Case is one run of a case: its record, its temporary folder and whether the disruption is left out.
type Case struct {
	*Record
	Dir      string
	Trouble  bool
	mu       sync.Mutex
	breaches int
}

var started struct {
	mu    sync.Mutex
	nodes []*Node
}

// Main runs a case in the folder in which the program was started, and ends the process with its exit code.
func Main(run func(c *Case) error) {
	record, err := OpenRecord("record.txt")
	if err != nil {
		fmt.Println(err)
		os.Exit(NoRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(NoRun)
	}
	c := &Case{Record: record, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0"}
	end := func(code int) {
		started.mu.Lock()
		for _, n := range started.nodes {
			n.Kill()
		}
		record.Close()
		os.RemoveAll(dir)
		os.Exit(code)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.Say("ended from outside")
		end(NoRun)
	}()
	c.Line("disruption: %v", c.Trouble)
	err = run(c)
	switch {
	case c.breaches > 0: // what was seen stands, whatever came later
		c.Say("the rule was broken %d times", c.breaches)
		end(Broken)
	case err != nil:
		c.Say("the case could not run: %v", err)
		for _, n := range started.nodes {
			log, _ := os.ReadFile(filepath.Join(n.Dir, "node.log"))
			fmt.Println(string(log))
		}
		end(NoRun)
	}
	c.Say("the rule held")
	end(Held)
}

// Breach records that the rule was broken. Only the first ones are printed; all are in the record.
func (c *Case) Breach(format string, args ...any) {
	c.mu.Lock()
	c.breaches++
	n := c.breaches
	c.mu.Unlock()
	if n <= 5 {
		c.Say("BROKEN: "+format, args...)
	} else {
		c.Line("BROKEN: "+format, args...)
	}
}
