// Package jsonstream cuts one long member out of a JSON object without building a tree of it, so that its elements
// can be parsed one by one: parsed as a whole, a list of thousands of entries takes twenty times its own size.
//
// It reads no more of the text than it has to. What it returns is to be parsed, which finds what is malformed within.
// Where it cannot tell for sure that a parser of the whole would find the same member, it says so, and the caller
// parses the whole.
package jsonstream
