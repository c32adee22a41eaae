package controlwire

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// streamReceiving returns a stream, limited to MaxFrameBytes, on which the given bytes and then the end arrive.
func streamReceiving(t *testing.T, sent []byte) *Stream {
	t.Helper()
	sender, receiver := net.Pipe()
	t.Cleanup(func() { _ = receiver.Close() })
	go func() {
		_, _ = sender.Write(sent)
		_ = sender.Close()
	}()
	return NewStream(receiver, MaxFrameBytes)
}

func TestPrefaceOfAnotherProtocolOrFleetIsRejected(t *testing.T) {
	const label = "fleet"
	changed := func(at int) []byte {
		preface := Preface(StreamFollower, label)
		preface[at]++
		return preface
	}
	kind, err := streamReceiving(t, Preface(StreamFollower, label)).AcceptPreface(label)
	if err != nil || kind != StreamFollower {
		t.Errorf("own preface: %c, %v", kind, err)
	}
	for name, preface := range map[string][]byte{
		"another protocol": changed(0),
		"another version":  changed(2),
		"another fleet":    Preface(StreamFollower, "another"),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := streamReceiving(t, preface).AcceptPreface(label); !errors.Is(err, ErrMalformed) {
				t.Errorf("error %v, want ErrMalformed", err)
			}
		})
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	table := Message{Kind: KindStatusTable, Nodes: make([]NodeReport, MaxNodes+1)}
	tooManyNodes, err := EncodeFrame(table, MaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		sent []byte
		want error
	}{
		"length above the limit": {binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1), ErrMalformed},
		"not CBOR":               {[]byte{0, 0, 0, 1, 0xff}, ErrMalformed},
		"no version":             {[]byte{0, 0, 0, 1, 0xa0}, ErrMalformed},
		"too many nodes":         {tooManyNodes, ErrMalformed},
		"truncated":              {[]byte{0, 0, 0, 9, 0xa0}, io.ErrUnexpectedEOF},
		"truncated long frame":   {append([]byte{0, 1, 0, 0}, 0xa0), io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := streamReceiving(t, c.sent).Receive(time.Second); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
	tooLong := Message{Batch: make([]byte, MaxFrameBytes)}
	if _, err := EncodeFrame(tooLong, MaxFrameBytes); !errors.Is(err, ErrMalformed) {
		t.Errorf("encoding a frame above the limit: %v", err)
	}
}

func TestReconnectDelayGrowsToAMaximum(t *testing.T) {
	const first = 100 * time.Millisecond
	for _, c := range []struct {
		attempt int
		random  float64
		want    time.Duration
	}{
		{0, 1, first},
		{1, 1, 2 * first},
		{1, 0.5, first},
		{3, 0, 0},
		{5, 1, maxReconnectDelay},
		{1000, 1, maxReconnectDelay},
	} {
		if got := ReconnectDelay(first, c.attempt, c.random); got != c.want {
			t.Errorf("attempt %d, random %v: %v, want %v", c.attempt, c.random, got, c.want)
		}
	}
}
