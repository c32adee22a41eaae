// Package freshness decides, as RFC 9111 has it for a shared cache, whether a response that a server gives may be
// served: how old it is, how long it is fresh, and whether it may be served stale. It also makes the key under which a
// target is cached. It does no I/O and keeps no state; times are arguments. Section numbers in comments are those of
// RFC 9111 where no other is named.
package freshness
