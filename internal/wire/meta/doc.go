// Package meta reads and writes the meta commands of the memcache text protocol, which clients and caches use. It
// handles the syntax of commands and responses only.
//
// Readers take the bytes received so far and return the size of the first command or response in them; 0 means that
// more bytes are needed. Results refer to the given bytes. Writers append to a buffer and return it.
//
// The protocol's verbs, flags and items are used in this package only, as constants named with the terms used in the
// rest of the code.
package meta
