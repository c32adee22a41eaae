// Package meta reads and writes the meta commands of the memcache text protocol, as clients and caches speak them. It
// knows the form of commands and answers, and decides nothing.
//
// Readers take the bytes received so far and return how many of them the first command or answer has; 0 asks for more
// bytes. What they return lies in the bytes that were given. Writers append to a buffer and return it.
//
// The protocol's own words end here: verbs, flags and items stand once, as constants beside the terms of the code.
package meta
