// Package scenario reads rehearsals: TOML files that define a fleet, the requests of clients, the times of faults and
// the expected results. From a scenario it derives the inputs of an emulation: the plan of the world, the traffic and
// the settings of nodes. Nemesis and Soaks generate random scenarios from seeds.
//
// The names in the files, such as most_legs, grade and come_back_ms, are a stable format. The struct tags in this
// package map them to the terms used in the code.
package scenario
