//go:build linux && (amd64 || arm64)

package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"dahliapin/internal/syscallfault"
)

// idleConnectionsEnd is how long it takes at most until idle connections of a traced process are closed.
const idleConnectionsEnd = time.Second

// tracedProcess is a process whose system calls can be made to fail.
type tracedProcess struct {
	pid         int
	tracer      *syscallfault.Tracer
	descriptors int // most that are open while the process is idle; no limit until they are counted
}

// traceProcess traces a process. It skips the test only if the kernel does not permit tracing.
func traceProcess(t testing.TB, pid int) *tracedProcess {
	t.Helper()
	tracer, err := syscallfault.Attach(pid)
	if errors.Is(err, syscallfault.ErrNotPermitted) {
		t.Skip("cannot trace here: ", err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return &tracedProcess{pid: pid, tracer: tracer, descriptors: math.MaxInt}
}

// countIdleDescriptors counts the descriptors that are open once idle connections are closed.
func (p *tracedProcess) countIdleDescriptors(t testing.TB) {
	t.Helper()
	time.Sleep(idleConnectionsEnd)
	var err error
	if p.descriptors, err = p.openDescriptors(); err != nil {
		t.Fatal(err)
	}
}

func (p *tracedProcess) openDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	return len(entries), err
}

// expectation is a condition that has to hold soon after a fault, with the failure that is reported if it does not.
type expectation struct {
	failure string
	holds   func() bool
}

// recoversTo returns the failures of the expectations, and what else is not as it was before the fault.
func (p *tracedProcess) recoversTo(expected ...expectation) (failures []string) {
	last := 0
	expected = append(slices.Clone(expected),
		expectation{"the process has ended", func() bool {
			open, err := p.openDescriptors() // none, if the process has ended and its parent has not waited for it
			return err == nil && open > 0
		}},
		expectation{"descriptors are leaked", func() bool {
			last, _ = p.openDescriptors()
			return last <= p.descriptors
		}},
		expectation{"it keeps making system calls while idle", func() bool {
			before := p.tracer.Calls()
			time.Sleep(idleWindow)
			return p.tracer.Calls()-before <= maxIdleCalls
		}})
	for _, e := range expected {
		if !eventually(recoverWithin, e.holds) {
			failures = append(failures, e.failure)
		}
	}
	if last > p.descriptors {
		failures = append(failures, fmt.Sprintf("%d descriptors, %d before", last, p.descriptors))
		p.descriptors = last
	}
	return failures
}

// loadLasts returns a function that reports whether the load of a fault goes on: for the given time, or longer until a
// call has failed.
func loadLasts(length time.Duration, injection *syscallfault.Injection) func() bool {
	began := time.Now()
	return func() bool {
		notInjected := injection != nil && injection.Injected() == 0
		return time.Since(began) < length || notInjected && time.Since(began) < maxLoad
	}
}

// checkRepeats returns a failure if the failing call was repeated more often than the load explains.
func (f *fault) checkRepeats(injected int, requests int64) (failures []string) {
	most := maxFaultsPerSec*f.load().Seconds() + float64(callsPerRequest*requests)
	if f.errno != 0 && float64(injected) > most {
		failures = append(failures, fmt.Sprintf("the failing call was repeated %d times in %v", injected, f.load()))
	}
	return failures
}
