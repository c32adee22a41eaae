// Package syscallfault makes system calls of a running process fail, for tests. It is no part of the product.
//
// A Tracer attaches to a process with ptrace and stops each of its threads at the entry and the exit of each system
// call. A call that an Injection applies to is not made: the kernel is told to skip it, and the process sees the error
// that the injection names. So it applies to calls that no seam in Go reaches: those of the runtime and of libraries.
//
// What it cannot do: a call that waits in the kernel is not ended with an error, only the next one fails; and an error
// that goes with a change in the kernel (a connection that is reset) comes without that change.
package syscallfault
