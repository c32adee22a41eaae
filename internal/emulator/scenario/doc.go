// Package scenario reads rehearsals: TOML files that define a fleet, the requests of clients, the times of faults,
// and the expected results. It derives what the shells need from a scenario: the world's plan, the traffic and the
// settings of nodes. Nemesis and Soaks generate random scenarios from a seed.
//
// The names in the files (legs, grades, come_back_ms) are a stable format; the struct tags in this package map them to
// the usual terms.
package scenario
