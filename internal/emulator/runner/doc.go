// Package runner carries out a scenario's events on a world. It is used by both shells of the emulator: the simulation in
// virtual time and the real processes on sockets. A Rig is what a shell has to offer for that.
package runner
