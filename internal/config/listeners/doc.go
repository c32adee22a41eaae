// Package listeners decodes the operator's listeners file, which is TOML. It configures the additional listeners of a
// node and their protocols, the service classes of HTTP requests, the caches that speak HTTP, and the degradation
// levels.
//
// Read and Parse validate the file against the deployment's settings and return a File, which is read-only. Errors
// carry the line in the file (see strictconfig). The file's own terms, such as grade for a service class, occur only in
// the field tags and in the paths that the checks report.
package listeners
