// Package realtime plays a scenario in real time on loopback sockets. It emulates caches, origin, discovery and
// clients around nodes that run as processes of their own, or embedded. Everything but the nodes is one model of the
// world, guarded by the lock of the Rig.
package realtime
