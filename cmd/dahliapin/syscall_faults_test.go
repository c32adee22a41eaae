//go:build linux && (amd64 || arm64)

package main

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/syscallfault"
)

var (
	allFaults = flag.Bool("all-syscall-faults", false, "run each system call fault with each schedule, in spans of 2 s")
	faultLike = flag.String("syscall-fault", "", "run only the faults whose names contain this")
)

const (
	faultProcesses    = 4                      // traced at the same time
	shortSpan         = 150 * time.Millisecond // during which each call fails
	longSpan          = 2 * time.Second
	interruptGap      = time.Millisecond // between two injected interrupts: real signals do not arrive continuously
	maxFaultsPerSec   = 500              // most retries of a failing call per second
	callsPerRequest   = 3                // of one kind, at one site
	idleWindow        = 100 * time.Millisecond
	shortFormFraction = 7    // one in 7 points runs under the race detector
	allPoints         = 1    // each point runs
	maxIdleCalls      = 1000 // most system calls of an idle process within idleWindow
)

// site is the kind of socket that a descriptor belongs to.
type site string

// anySite stands for all descriptors, and for calls without one.
const anySite site = "any"

// The sites of a node.
const (
	clientListener site = "listener"
	client         site = "client"
	cacheConn      site = "cache"
	originConn     site = "origin"
	discoveryConn  site = "discovery"
	opsListener    site = "operators' listener"
	opsConn        site = "operator"
)

// isOf reports whether a socket of the node belongs to the site.
func (n *faultNode) isOf(s site, socket syscallfault.Socket) bool {
	switch s {
	case clientListener:
		return socket.Listening && socket.LocalPort == n.ports[client]
	case opsListener:
		return socket.Listening && socket.LocalPort == n.ports[opsConn]
	case gossipListener:
		return socket.Listening && socket.LocalPort == n.ports[gossipIn]
	case gossipDatagrams:
		return socket.Datagram && socket.LocalPort == n.ports[gossipIn]
	case client, opsConn, gossipIn:
		return !socket.Listening && !socket.Datagram && socket.LocalPort == n.ports[s]
	default:
		return socket.PeerPort == n.ports[s]
	}
}

// schedule is the pattern by which calls fail.
type schedule string

const (
	once       schedule = "once"
	everyTenth schedule = "each tenth"
	everyOther schedule = "each second" // in place of everyTenth, for calls that are rare
	forSpan    schedule = "for a span"
)

// fault is one test point: an error of a call at a site, by a schedule.
type fault struct {
	call  syscallfault.Call
	site  site
	errno unix.Errno // 0 stands for a buffer of one byte
	when  schedule
}

func (f *fault) String() string {
	errno := unix.ErrnoName(f.errno)
	if f.errno == 0 {
		errno = "short"
	}
	return fmt.Sprintf("%s %s %s %s", f.call.Name, f.site, errno, f.when)
}

// rule returns the injection rule of the fault for a process, whose isOf reports whether a socket belongs to a site.
func (f *fault) rule(isOf func(site, syscallfault.Socket) bool) syscallfault.Rule {
	rule := syscallfault.Rule{Call: f.call, Errno: f.errno}
	if f.site != anySite {
		rule.Match = func(socket syscallfault.Socket) bool { return isOf(f.site, socket) }
	}
	switch f.when {
	case once:
		rule.Schedule.Limit = 1
	case everyTenth:
		rule.Schedule.Every = 10
	case everyOther:
		rule.Schedule.Every = 2
	case forSpan:
		rule.Schedule.Duration = span()
	}
	// Retrying these at once is correct: EINTR stands for a signal, and ECONNABORTED for a connection that is gone.
	if f.errno == unix.EINTR || f.errno == unix.ECONNABORTED {
		rule.Schedule.MinInterval = interruptGap
	}
	return rule
}

func span() time.Duration {
	if *allFaults {
		return longSpan
	}
	return shortSpan
}

// mayEndClients reports whether the fault may close a client's connection, so that no answer can be sent.
func (f *fault) mayEndClients() bool {
	if f.site != client || f.errno == 0 || f.errno == unix.EINTR {
		return false
	}
	return f.call.Name != syscallfault.Duplicate.Name && f.call.Name != syscallfault.SetOption.Name
}

// load returns how long clients send requests during the fault.
func (f *fault) load() time.Duration {
	if f.when == forSpan {
		return faultLoad + span()
	}
	return faultLoad
}

// callFaults is a call with the sites at which it is made to fail, and the errors that it may return there.
type callFaults struct {
	call   syscallfault.Call
	sites  []site
	errnos []unix.Errno
}

// schedulesAt returns the schedules by which calls fail at a site. Some sites have few calls during a fault: those of a
// handover make each call once or twice.
func schedulesAt(at site) []schedule {
	switch at {
	case gossipListener, gossipIn, gossipOut:
		return []schedule{once, everyOther, forSpan}
	case handoverOld, handoverNew:
		return []schedule{once, forSpan}
	}
	return []schedule{once, everyTenth, forSpan}
}

// streamSites are the sites of a process that serves and opens streams.
type streamSites struct {
	listeners   []site
	connections []site
	written     []site // connections that the process writes to
	servers     []site // connections that the process opens
}

// streamFaults lists the errors that each call at the sites may return, as Linux documents them. EAGAIN of a read or
// write is left out: it promises that the kernel will report readiness later, which does not happen for an injected
// error.
func streamFaults(at streamSites) []callFaults {
	return []callFaults{
		{syscallfault.Accept, at.listeners, []unix.Errno{
			unix.EINTR, unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM,
			unix.ENETDOWN, unix.EHOSTUNREACH, unix.ETIMEDOUT,
		}},
		{syscallfault.NewSocket, []site{anySite}, []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}},
		{syscallfault.Connect, at.servers, []unix.Errno{
			unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EAGAIN, unix.ENOBUFS, unix.ENETUNREACH, unix.EHOSTUNREACH,
			unix.ETIMEDOUT, unix.ECONNREFUSED,
		}},
		{syscallfault.EpollWait, []site{anySite}, []unix.Errno{unix.EINTR}},
		{syscallfault.EpollAdd, at.connections, []unix.Errno{unix.ENOMEM, unix.ENOSPC}},
		{syscallfault.Read, at.connections, []unix.Errno{
			0, unix.EINTR, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENOMEM,
		}},
		{syscallfault.Write, at.written, []unix.Errno{
			0, unix.EINTR, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENOBUFS, unix.ENOMEM,
		}},
		{syscallfault.SetOption, at.connections, []unix.Errno{unix.ENOBUFS, unix.ENOMEM}},
		{syscallfault.GetOption, at.servers, []unix.Errno{unix.ENOBUFS}},
		{syscallfault.LocalName, at.servers, []unix.Errno{unix.ENOBUFS}},
		{syscallfault.RemoteName, at.servers, []unix.Errno{unix.ENOTCONN, unix.ENOBUFS}},
	}
}

// nodeFaults lists the errors that each call of a node may return.
func nodeFaults() []callFaults {
	connections := []site{client, cacheConn, originConn, discoveryConn, opsConn}
	return append(
		streamFaults(streamSites{
			listeners:   []site{clientListener, opsListener},
			connections: connections,
			written:     connections,
			servers:     []site{cacheConn, originConn, discoveryConn},
		}),
		callFaults{syscallfault.Duplicate, []site{client, cacheConn, originConn, discoveryConn},
			[]unix.Errno{unix.EMFILE}},
		callFaults{syscallfault.Receive, []site{client, cacheConn, originConn}, []unix.Errno{
			unix.EINTR, unix.ECONNRESET, unix.ETIMEDOUT, unix.ENOMEM,
		}},
	)
}

// faults returns the test points of a table. The daily form runs one in fraction errors at each call and site, with one
// of the schedules, in turn. The short form, for the race detector, runs one in shortFormFraction.
func faults(table []callFaults, fraction int) (all []fault) {
	if testing.Short() {
		fraction = shortFormFraction
	}
	number := 0
	for _, f := range table {
		for _, at := range f.sites {
			schedules := schedulesAt(at)
			for _, errno := range f.errnos {
				number++
				for i, when := range schedules {
					today := number%len(schedules) == i && number%fraction == 0
					if *allFaults || today || *faultLike != "" {
						all = append(all, fault{f.call, at, errno, when})
					}
				}
			}
		}
	}
	return slices.DeleteFunc(all, func(f fault) bool { return !contains(f.String(), *faultLike) })
}

// faultCount counts the outcomes of the test points.
type faultCount struct {
	mu          sync.Mutex
	ran, broken int
	notInjected []string // the points at which no call failed
}

// add records the outcome of a test point, at which injected calls failed.
func (c *faultCount) add(t *testing.T, f *fault, injected int, failures []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran++
	if injected == 0 {
		c.notInjected = append(c.notInjected, f.String())
	}
	if len(failures) > 0 {
		c.broken++
		t.Errorf("%s (%d failed): %q", f, injected, failures)
	}
}

// notInjectedDivisor is the divisor of the number of points at which no call may fail: one in 10, as a process makes
// some calls only rarely.
const notInjectedDivisor = 10

// TestSyscallFaults injects each error that Linux documents at each of a node's system calls. Each request must get one
// answer, no request that was sent to a server may be answered as rejected, nothing may spin, no descriptor may leak,
// and the node must serve as before.
func TestSyscallFaults(t *testing.T) {
	runFaults(t, faultProcesses, allPoints, nodeFaults(), func(t testing.TB) faultTarget { return startFaultNode(t, faultNodeOptions{}) })
}

// faultTarget is a traced process, with the processes that it talks to.
type faultTarget interface {
	// runWithFault injects a fault under load, and returns how many calls failed and what broke.
	runWithFault(*fault) (injected int, failures []string)
	end()
}

// runFaults runs one in fraction test points of a table, spread over that many processes.
func runFaults(
	t *testing.T, processes, fraction int, table []callFaults, start func(testing.TB) faultTarget,
) {
	all := faults(table, fraction)
	points := make(chan fault, len(all))
	for _, f := range all {
		points <- f
	}
	close(points)
	var count faultCount
	t.Run("processes", func(t *testing.T) {
		for i := range processes {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				target := start(t)
				for f := range points {
					injected, failures := target.runWithFault(&f)
					count.add(t, &f, injected, failures)
					if len(failures) > 0 { // a process that stays broken would fail the next points, too
						target.end()
						target = start(t)
					}
				}
			})
		}
	})
	t.Logf("%d of %d points ran, %d failed; no call failed at: %q",
		count.ran, len(all), count.broken, count.notInjected)
	if count.ran == 0 && !t.Failed() {
		t.Skip("cannot trace here") // no process may be traced; any other error would have failed the test
	}
	// Guards against an injector that injects nothing, with which every point would pass.
	if count.ran < len(all) || len(count.notInjected)*notInjectedDivisor > len(all) {
		t.Errorf("%d of %d points ran, and no call failed at %d of these: %q",
			count.ran, len(all), len(count.notInjected), count.notInjected)
	}
}
