// Package realtime runs a scenario in real time on loopback sockets. It emulates caches, the origin, discovery and
// clients around nodes, which run as separate processes or embedded in this one. The state of everything except the
// nodes is a single model, the world, which the lock of the Rig guards.
package realtime
