// Package settings decodes the settings of a deployment: its service classes, tenants, zones, limits and costs.
//
// The adapter receives the settings as a JSON object from the simulator; a node reads the same object from its
// configuration file. Decode validates the object and returns Settings: Settings.Policy is for the policy, the rest is
// for the proxy. The result does not refer to the parsed object, so the parser may be reused.
//
// The protocol's names (service grades, benefit, legs and so on) are used in this package only: keys.go defines a
// constant for each key, named with the term used in the rest of the code.
//
// Settings is read-only after decoding, except that NameTable.LoadReport writes into a buffer of the table. A
// NameTable must therefore be used by one goroutine only.
package settings
