// Package cachegrowth measures how the resource usage of one node grows with the number of caches.
//
// Each size runs through a set of days. A real process of the program's command serve, limited to a share of a core,
// serves emulated clients in front of emulated caches, an origin and discovery, which publishes endpoint list updates.
// All caches of one zone share a listener, so that thousands of caches need only a few descriptors.
//
// A Report compares the usage of a node on each Day with that on the same day at the first size. The limits
// (GrowthLimit) are set by the operators: a factor and an allowance, which may grow with the number of caches.
package cachegrowth
