package rig

import (
	"errors"
	"testing"

	"golang.org/x/sys/unix"

	"dahliapin/internal/emulator/logtrace"
)

// A file of published changes that is not whole is an error of the run.
func TestErrorOfThePublishedChangesIsReturned(t *testing.T) {
	r := &run{published: []logtrace.PublishedChange{{Index: 1}, {Index: 2}}}
	if err := r.writePublished("/dev/full"); !errors.Is(err, unix.ENOSPC) {
		t.Errorf("on a full disk: %v", err)
	}
	if err := r.writePublished(t.TempDir() + "/orders.jsonl"); err != nil {
		t.Error(err)
	}
}
