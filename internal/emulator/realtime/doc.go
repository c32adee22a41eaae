// Package realtime plays a scenario in real time, on real sockets: caches, origin, discovery and clients stand on loopback
// around nodes that are processes of their own, or embedded. All of it but the nodes is one model of the world under one
// lock, the Rig's.
package realtime
