// Package endpointlist reads endpoint lists in discovery's format: a JSON object with the entries and the version.
//
// A Reader reads one list after the other. A List is valid until its text changes or the Reader reads another list. A
// long list is parsed entry by entry: the tree of a list of thousands of entries takes twenty times the memory of its
// text, which the parser would retain. List.Each parses each entry again; the caller decodes its content.
//
// The protocol's names for the members of the list object are used in this package only, as constants in reader.go.
package endpointlist
