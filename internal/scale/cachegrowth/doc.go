// Package cachegrowth measures what one node needs where there are many times the cache servers.
//
// Each size is played day by day: a real process of the program's command serve, held to a share of a core, serves
// emulated clients before emulated caches, an origin and discovery, which tells changes of the endpoint list. All
// caches of one zone share a listener, so that thousands of them cost this machine a few descriptors.
//
// A Report compares what a node needed in each Day with what it needed on the same day at the first size. The limits
// (Growth) are the operators': a factor and an allowance, which may grow with the number of caches.
package cachegrowth
