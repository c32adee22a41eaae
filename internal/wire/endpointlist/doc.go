// Package endpointlist reads lists of endpoints in discovery's form: a JSON object with the entries and the version.
//
// A Reader reads one list after the other; the List that it returns is valid as long as the text is, and until the
// Reader reads another. A long list is parsed entry by entry, as the tree of a whole list of thousands of entries
// takes twenty times its text, and the parser would keep that memory. List.Each parses each entry again for its
// caller; what an entry means is the caller's to decode.
//
// The protocol's names of the list's own members end here: they stand in the constants of reader.go.
package endpointlist
