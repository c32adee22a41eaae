package main

import (
	"dahliapin/internal/baselines"
	"dahliapin/internal/emulator/virtual"
)

// decider finds the module or a baseline by its name.
func decider(name string) (virtual.Maker, error) {
	if name == "module" {
		return virtual.Module, nil
	}
	m, err := baselines.Make(name)
	return virtual.Maker(m), err
}
