package rig

import (
	"errors"
	"strings"
	"testing"

	"dahliapin/internal/control/controlclient"
)

// The error names the nodes that are missing, and the error of the overview if there is one.
func TestErrorOfNodesThatDoNotFollow(t *testing.T) {
	r := &run{Plan: Plan{Nodes: 9, Real: 1}}
	unreachable := errors.New("unreachable")
	for _, cause := range []error{nil, unreachable} {
		err := r.notFollowingError(controlclient.Overview{}, cause)
		if !errors.Is(err, cause) && cause != nil || strings.Contains(err.Error(), "%!") ||
			!strings.Contains(err.Error(), "0 of 10 nodes") {
			t.Errorf("cause %v: %q", cause, err)
		}
	}
}
