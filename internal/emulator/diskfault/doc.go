// Package diskfault makes system calls that change files fail, and computes what a crash between them leaves on disk.
// It is for tests: the code under test needs no hook for it.
//
// # Faults
//
// Run runs a function on a thread of its own, whose system calls that change files in one folder are first shown to a
// callback. The callback lets a call be carried out, or has it fail with an error number, after a part of a write was
// carried out or not at all. The kernel does this (a seccomp filter with user notification, on that thread only), so
// libraries that call it directly, as bbolt does, are covered without a change. It needs no privileges and Linux 5.19.
// Calls of other threads are not seen: the function must not leave its writes to other goroutines. A write of exactly
// eight bytes is not seen either, as the Go runtime wakes its poller by such.
//
// # Crashes
//
// A Recording has the calls of a run. From it, KilledAt and PowerLostAt compute the folder's contents after a crash at
// each call: after kill -9 everything that was written is there, with a part of the write in progress; after a loss of
// power, what was not synced may be there or not, each write by itself, and names that were made, changed or removed
// since the folder was last synced may be as before.
package diskfault
