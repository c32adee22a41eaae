// Package diskfault injects failures into the system calls that change files, and computes what a crash at each of them
// leaves on disk. It is for tests: the code under test needs no hook for it.
//
// # Faults
//
// Run runs a function on its own thread and passes each system call of that thread that changes a file in one folder to
// a callback. The callback lets the call proceed, or makes it fail with an error number, for a write optionally after a
// part of it was written. The calls are intercepted in the kernel by a seccomp filter with user notification on that
// thread, so that libraries which make system calls directly, such as bbolt, are covered without changes. This requires
// Linux 5.19 and no privileges.
//
// Calls of other threads are not intercepted, so the function must not leave its writes to other goroutines. Neither
// are writes of exactly eight bytes, by which the Go runtime wakes its network poller.
//
// # Crashes
//
// A Recording holds the calls of a run. From it, KilledAt and PowerLostAt compute the contents that the folder may have
// after a crash at each call. After kill -9 all earlier writes are present, and the write in progress may be partial.
// After a power loss each write since the file's last sync is present or lost independently of the others, and files
// that were created, renamed or removed since the folder's last sync may have their old names.
package diskfault
