// Package runner carries out a scenario's events on a world. Both rigs of the emulator use it: the simulation in
// virtual time and the one that runs real processes on sockets. Each implements Rig.
package runner
