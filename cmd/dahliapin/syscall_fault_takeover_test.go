//go:build linux && (amd64 || arm64)

package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/syscallfault"
)

// The sites of a handover.
const (
	handoverOld site = "predecessor's handover"
	handoverNew site = "successor's handover"
)

// The load and the bounds of a handover.
const (
	handoverClients   = 4
	handoverFaultTime = 2 * time.Second       // after which a handover that does not complete is repeated without the fault
	answeredAfter     = 20                    // requests that must be answered after each handover
	handoverSettles   = 50 * time.Millisecond // after a handover, until the successor has noticed a failed read
)

// predecessorExit is in the line that a successor logs once its predecessor has ended.
const predecessorExit = "predecessor process has exited"

// takeoverFaults lists the errors that each call of a handover between two processes may return, as Linux documents
// them, beside those of accept.
func takeoverFaults() []callFaults {
	old, successor := []site{handoverOld}, []site{handoverNew}
	both := []site{handoverOld, handoverNew}
	return []callFaults{
		{syscallfault.SendMessage, old, []unix.Errno{
			unix.EINTR, unix.ECONNRESET, unix.EPIPE, unix.ENOBUFS, unix.ENOMEM, unix.ETOOMANYREFS,
		}},
		{syscallfault.Read, old, []unix.Errno{0, unix.EINTR, unix.ECONNRESET, unix.ENOMEM}},
		{syscallfault.EpollAdd, both, []unix.Errno{unix.ENOMEM, unix.ENOSPC}},
		{syscallfault.GetOption, both, []unix.Errno{unix.ENOBUFS}},
		{syscallfault.Connect, successor, []unix.Errno{
			unix.EINTR, unix.EAGAIN, unix.ECONNREFUSED, unix.ENOBUFS, unix.EACCES, unix.ETIMEDOUT,
		}},
		{syscallfault.ReceiveMessage, successor, []unix.Errno{
			unix.EINTR, unix.ECONNRESET, unix.ENOMEM, unix.ENOBUFS,
		}},
		{syscallfault.Write, successor, []unix.Errno{
			0, unix.EINTR, unix.ECONNRESET, unix.EPIPE, unix.ENOBUFS, unix.ENOMEM,
		}},
		{syscallfault.Read, successor, []unix.Errno{unix.EINTR, unix.ECONNRESET, unix.ENOMEM}},
	}
}

// TestTakeoverSyscallFaults injects each error that Linux documents at each system call of a handover between two
// processes of a node. Either the successor takes over or the old process goes on serving; no request is lost, and the
// next handover succeeds.
func TestTakeoverSyscallFaults(t *testing.T) {
	runFaults(t, faultProcesses, shortFormFraction, takeoverFaults(), func(t testing.TB) faultTarget { return startFaultTakeover(t) })
}

// faultTakeover is a node whose processes replace each other under load.
type faultTakeover struct {
	*upgradeHarness
	test    testing.TB
	now     *harnessProcess // the process that serves
	stopped bool
	sockets int // Unix sockets that a process has open while there is no handover
}

// startFaultTakeover starts the first process of a node, and clients.
func startFaultTakeover(t testing.TB) *faultTakeover {
	s := &faultTakeover{upgradeHarness: newUpgradeHarness(t), test: t}
	s.now = s.start()
	s.waitForLine(s.now, "msg=serving")
	traceProcess(t, s.now.Process.Pid) // skips the test if that is not permitted
	next := s.start()
	s.waitForLine(next, "msg=serving")
	if failures := s.replaceBy(next); len(failures) > 0 {
		t.Fatal(failures)
	}
	// It logs the end of its predecessor before it offers its sockets.
	if !eventually(recoverWithin, func() bool { return listeningUnixSockets(s.now.Process.Pid) > 0 }) {
		t.Fatal("the process does not offer its sockets")
	}
	s.sockets = unixSockets(s.now.Process.Pid)
	s.startClients(handoverClients)
	t.Cleanup(s.end)
	return s
}

func (s *faultTakeover) end() {
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.done)
	s.clients.Wait()
	_ = s.now.Process.Kill()
}

// replaceBy ends the process that serves, as its successor serves as well, and returns what is not as expected.
func (s *faultTakeover) replaceBy(next *harnessProcess) (failures []string) {
	_ = s.now.Process.Signal(syscall.SIGTERM)
	if !s.now.hasLogged("counters, stopped", recoverWithin) {
		failures = append(failures, "the predecessor does not end")
	}
	if !next.hasLogged(predecessorExit, recoverWithin) {
		failures = append(failures, "the successor does not notice that the predecessor has ended")
	}
	s.now = next
	return failures
}

// isHandover reports whether a socket is the connection between the two processes.
func isHandover(socket syscallfault.Socket) bool { return socket.Unix && !socket.Listening }

// runWithFault injects a fault into a handover, or into further ones until a call has failed, and carries out another
// one without a fault.
func (s *faultTakeover) runWithFault(f *fault) (injected int, failures []string) {
	completed := true
	for began := time.Now(); completed && injected == 0 && len(failures) == 0 && time.Since(began) < maxLoad; {
		injected, completed, failures = s.handOverWithFault(f)
	}
	failures = append(failures, s.isServed()...)
	s.now.seen = nil
	last := s.start()
	if !s.takesOver(last) {
		failures = append(failures, "the next handover does not complete")
		return injected, failures
	}
	failures = append(failures, s.replaceBy(last)...)
	return injected, append(failures, s.isServed()...)
}

// handOverWithFault injects a fault into a handover, and returns how many calls failed, whether the handover completed
// all the same, and what broke.
func (s *faultTakeover) handOverWithFault(f *fault) (injected int, completed bool, failures []string) {
	rule := f.rule(func(_ site, socket syscallfault.Socket) bool { return isHandover(socket) })
	var injection *syscallfault.Injection
	var traced *tracedProcess
	if f.site == handoverOld {
		traced = traceProcess(s.test, s.now.Process.Pid)
		injection = traced.tracer.Inject(rule)
	}
	s.now.seen = nil // lines about earlier successors
	next, release := s.startHeld()
	if f.site == handoverNew {
		traced = traceProcess(s.test, next.Process.Pid)
		injection = traced.tracer.Inject(rule)
	}
	release()
	completed = s.takesOver(next)
	if completed { // the processes may make their last calls after they have logged the end of the handover
		eventually(handoverSettles, func() bool { return injection.Injected() > 0 })
	}
	traced.tracer.Clear()
	if completed {
		if f.errno == unix.ENOMEM && f.site == handoverNew && next.hasLogged(predecessorExit, handoverSettles) {
			failures = append(failures, "the successor uses the full limits although the predecessor runs")
		}
		failures = append(failures, s.replaceBy(next)...)
	} else {
		_ = next.Process.Signal(syscall.SIGTERM) // it may serve although its predecessor does not know
		if !next.endsWithin(recoverWithin) {
			failures = append(failures, "a successor does not end")
		}
	}
	injected = injection.Injected()
	return injected, completed, append(failures, f.checkRepeats(injected, 0)...)
}

// takesOver reports whether a successor serves, and whether its predecessor knows that, in time.
func (s *faultTakeover) takesOver(next *harnessProcess) bool {
	return next.hasLogged("msg=serving", handoverFaultTime) &&
		s.now.hasLogged("successor process is serving", handoverFaultTime)
}

// isServed returns the failures if requests were lost, or are no longer answered, or if the process that serves has lost
// descriptors of the handover.
func (s *faultTakeover) isServed() (failures []string) {
	before := s.answered.Load()
	if !eventually(recoverWithin, func() bool { return s.answered.Load() >= before+answeredAfter }) {
		failures = append(failures, "clients are no longer answered")
	}
	if !eventually(recoverWithin, func() bool { return unixSockets(s.now.Process.Pid) <= s.sockets }) {
		failures = append(failures, fmt.Sprintf("%d Unix sockets are open, %d before",
			unixSockets(s.now.Process.Pid), s.sockets))
	}
	if lost := s.lost.Swap(0); lost > 0 {
		failures = append(failures, fmt.Sprintf("%d requests lost, the first: %v", lost, s.first.Load()))
	}
	return failures
}

// unixSockets returns how many Unix sockets a process has open.
func unixSockets(pid int) int { return len(unixSocketFlags(pid)) }

// listeningUnixSockets returns how many of the Unix sockets of a process listen.
func listeningUnixSockets(pid int) (count int) {
	const acceptsConnections = "00010000"
	for _, flags := range unixSocketFlags(pid) {
		if flags == acceptsConnections {
			count++
		}
	}
	return count
}

// unixSocketFlags returns the flags of each Unix socket that a process has open, as in /proc/net/unix.
func unixSocketFlags(pid int) (flags []string) {
	const flagsColumn, inodeColumn = 3, 6
	table, _ := os.ReadFile("/proc/net/unix")
	byInode := map[string]string{}
	for line := range strings.Lines(string(table)) {
		if columns := strings.Fields(line); len(columns) > inodeColumn {
			byInode[columns[inodeColumn]] = columns[flagsColumn]
		}
	}
	directory := fmt.Sprintf("/proc/%d/fd/", pid)
	entries, _ := os.ReadDir(directory)
	for _, entry := range entries {
		link, _ := os.Readlink(directory + entry.Name())
		inode, isSocket := strings.CutPrefix(strings.TrimSuffix(link, "]"), "socket:[")
		if socketFlags, isUnix := byInode[inode]; isSocket && isUnix {
			flags = append(flags, socketFlags)
		}
	}
	return flags
}

// endsWithin reports whether a process ends before the time has passed.
func (p *harnessProcess) endsWithin(d time.Duration) bool {
	for timeout := time.After(d); ; {
		select {
		case _, ok := <-p.logged:
			if !ok {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// hasLogged reports whether a process has logged a line that contains want, or does so before the time has passed.
func (p *harnessProcess) hasLogged(want string, within time.Duration) bool {
	if slices.ContainsFunc(p.seen, func(line string) bool { return contains(line, want) }) {
		return true
	}
	for timeout := time.After(within); ; {
		select {
		case line, ok := <-p.logged:
			if !ok {
				return false
			}
			p.seen = append(p.seen, line)
			if contains(line, want) {
				return true
			}
		case <-timeout:
			return false
		}
	}
}
