// Package listeners decodes the operator's TOML file: further listeners of a node and the protocol spoken at each,
// which HTTP requests belong to which service class, which caches speak HTTP, and the degradation levels.
//
// Read and Parse check the file against the deployment's settings and return File, which is read-only from then on.
// What is wrong is told with the line of the file (see strictconfig). The file's own words, such as grade for a
// service class, stand in the field tags beside the terms of the code, and in the paths of the checks.
package listeners
