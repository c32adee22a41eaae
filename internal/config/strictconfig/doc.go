// Package strictconfig decodes the TOML files that operators write, and rejects unknown fields and invalid values. Each
// is reported as one line of text with its line in the file.
//
// Parse decodes a file into a struct and returns a Checker. The caller adds its own requirements with Checker.Require
// and Checker.InRange, each for the path of a field, and gets the result from Checker.Err. A path joins the names of
// tables and fields with dots; a table of an array is given by its index, from 0, after the array's name:
// listener.0.route.2.path.
package strictconfig
