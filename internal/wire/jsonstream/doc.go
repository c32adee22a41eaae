// Package jsonstream cuts one long member out of a JSON object without parsing the object into a tree, so that the
// elements of the member can be parsed one by one. The tree of a list of thousands of entries takes twenty times the
// memory of its text.
//
// The package does not fully validate the text: the caller parses the results, which detects malformed parts. If it is
// not certain that a parser of the whole text would find the same member, the functions return false, and the caller
// has to parse the whole text.
package jsonstream
