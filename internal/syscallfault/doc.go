// Package syscallfault injects failures into the system calls of a running process. It is used by tests only.
//
// A Tracer attaches to a process with ptrace and stops each of its threads at the entry and the exit of each system
// call. The kernel skips a call selected by the Injection, and the process sees the error that the rule names. This
// reaches calls that cannot be intercepted in Go, such as those of the runtime and of libraries.
//
// There are two limitations. A call that already blocks in the kernel is not interrupted; only the next one fails. And
// an error that normally accompanies a state change in the kernel, such as a connection reset, occurs without it.
package syscallfault
