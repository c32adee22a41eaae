// Package runner carries out a scenario's events on a world. Both shells of the emulator use it: the simulation in
// virtual time, and real processes on sockets. Each shell implements Rig.
package runner
