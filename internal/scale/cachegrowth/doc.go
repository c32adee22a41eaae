// Package cachegrowth measures how the resource usage of one node grows with the number of caches.
//
// A size is a number of caches. Each size runs through a set of days, each with one kind of fault. On each Day, a
// process of the command serve, limited to a share of a core, serves emulated clients. The caches, the origin and
// discovery are emulated as well. All caches of a zone share a listener, so that thousands of caches need only a few
// descriptors.
//
// A Report compares the usage of the node on each day with that on the same day at the first size. The operators set
// the limits (GrowthLimit): a factor and an allowance, which may grow with the number of caches.
package cachegrowth
