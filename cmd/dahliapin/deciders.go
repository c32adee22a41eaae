package main

import (
	"dahliapin/internal/emulator/baselines"
	"dahliapin/internal/emulator/simulation"
)

// decider finds the module or a baseline by its name.
func decider(name string) (simulation.Maker, error) {
	if name == "module" {
		return simulation.Module, nil
	}
	m, err := baselines.Make(name)
	return simulation.Maker(m), err
}
