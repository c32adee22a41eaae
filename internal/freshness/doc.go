// Package freshness implements the freshness rules of RFC 9111 for a shared cache: the age of a response, its freshness
// lifetime, and whether it may be served fresh or stale. It also computes the key under which a target is cached. It
// does no I/O and keeps no state; the caller passes in all times. Section numbers in comments refer to RFC 9111 unless
// another RFC is named.
package freshness
