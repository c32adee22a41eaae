// Package fleetconfig reads the two files that operators write about a fleet: that of a node that knows the others
// (deploy/fleet.toml, [Read]), and that of a control server (deploy/control.toml, [ReadControl]).
//
// Fields have the names of the file with their unit; methods give the same values as durations. Reading starts from
// the defaults ([Default], [DefaultControl], [DefaultPurges]), refuses fields that it doesn't know, and checks all
// values: the error is a strictconfig.FieldErrors that names each fault with its line. A file that was read is not
// changed any more.
package fleetconfig
