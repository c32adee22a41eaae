package rig

import (
	"errors"
	"io"
	"testing"
	"time"
)

var errDiskFull = errors.New("disk full")

// onceFullWriter fails at its first write only.
type onceFullWriter struct{ failed bool }

func (w *onceFullWriter) Write(b []byte) (int, error) {
	if !w.failed {
		w.failed = true
		return 0, errDiskFull
	}
	return len(b), nil
}

// A sample that could not be written is an error of the process, however its input ends.
func TestErrorOfASampleIsReturnedAtTheEnd(t *testing.T) {
	for _, inputErr := range []error{nil, io.ErrUnexpectedEOF} {
		ticks := make(chan time.Time)
		inputEnd := make(chan error)
		go func() {
			ticks <- time.Now()
			inputEnd <- inputErr
		}()
		samples := 0
		err := writeSamples(&onceFullWriter{}, ticks, inputEnd, func() Sample {
			samples++
			return Sample{}
		})
		if !errors.Is(err, errDiskFull) || inputErr != nil && !errors.Is(err, inputErr) || samples != 2 {
			t.Errorf("input error %v: %d samples, error %v", inputErr, samples, err)
		}
	}
}
