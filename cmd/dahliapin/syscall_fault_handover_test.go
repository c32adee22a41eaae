//go:build linux && (amd64 || arm64)

package main

import (
	"testing"

	"golang.org/x/sys/unix"

	"dahliapin/internal/syscallfault"
)

// TestHandoverSucceedsAfterFailedAccepts guards against a process that could not be replaced any more after its accept
// of the successor's connection had failed once.
func TestHandoverSucceedsAfterFailedAccepts(t *testing.T) {
	s := newUpgradeHarness(t)
	old := s.start()
	s.waitForLine(old, "msg=serving")
	injection := traceProcess(t, old.Process.Pid).tracer.Inject(syscallfault.Rule{
		Call: syscallfault.Accept, Errno: unix.EMFILE, Schedule: syscallfault.Schedule{Limit: 3},
		Match: func(socket syscallfault.Socket) bool { return socket.Listening && socket.LocalPort == 0 },
	})
	successor := s.start()
	s.waitForLine(successor, "taking over from the running process")
	s.waitForLine(successor, "msg=serving")
	if injection.Injected() == 0 {
		t.Error("no accept call failed")
	}
}
