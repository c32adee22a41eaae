// Package report counts what happens in a run of the emulator, compares it with what the scenario expects, and
// writes the result as text and as JSON.
//
// The environment of a run, which is the simulation in virtual time or a rig in real time, and its observers fill a
// Log during the run. After the run, New creates a Report from the log, the world's counts and the checker's findings.
// A Log is not safe for concurrent use.
package report
