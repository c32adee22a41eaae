// Package fleetconfig reads the two configuration files of a fleet: that of a node (deploy/fleet.toml, [Read]) and that
// of a control server (deploy/control.toml, [ReadControl]).
//
// Numeric fields carry their unit in their names; methods return the same values as durations. Parsing starts from the
// defaults ([Default], [DefaultControl], [DefaultPurges]), rejects unknown fields and validates all values. The error
// is a strictconfig.FieldErrors, which gives the line of each error. The result is read-only.
package fleetconfig
