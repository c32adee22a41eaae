// Package settings decodes the settings of a deployment: its service classes, tenants, zones, limits and costs.
//
// The same JSON object reaches the adapter on the simulator's wire and a node in its configuration file. Decode
// checks it and returns Settings, of which Settings.Policy goes to the decisions and the rest to the proxy. The
// result does not refer to the parsed object, so that the parser may be reused.
//
// The protocol's own words (service grades, benefit, legs and so on) end here: each of its keys stands in keys.go
// as a constant beside the term that the code uses for it.
//
// Settings is read-only once it is decoded, except that NameTable.LoadReport writes into a buffer of the table.
// A NameTable therefore belongs to one goroutine.
package settings
