// Package report counts what happens in a run of the emulator, compares it with what the scenario expects, and
// writes the result as text and as JSON.
//
// The shell of a run (the simulation, or real time) and its observers fill a Log while the run lasts. New makes a
// Report of the log, the world's counts and the checker's findings when the run has ended. A Log is not safe for
// concurrent use.
package report
