// Package strictconfig decodes the TOML files that operators write, and refuses what it does not understand: a field
// that does not exist, or a value that cannot be used, is reported in one line with the file's line.
//
// Parse decodes a file into a struct and returns a Checker. The caller states its further requirements with
// Checker.Require and Checker.InRange, each for the path of a field, and takes the result from Checker.Err. A path
// has the names of tables and fields with dots between them; a table of an array has its number, from 0, behind the
// array's name: listener.0.route.2.path.
package strictconfig
