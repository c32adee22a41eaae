// Package scenario reads rehearsals: TOML files that state a fleet, what clients ask, which faults happen when, and what is
// expected of it all. It makes of a scenario what the shells need: the world's plan, the traffic, the settings of nodes.
// Nemesis and Soak draw scenarios by a seed.
//
// The names in the files are a format of our own and stay as they are (legs, grades, come_back_ms); they are mapped to the
// field's terms by the tags of the types here.
package scenario
