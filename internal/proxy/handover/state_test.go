package handover

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// waitForStates calls Wait in a goroutine and returns the states that it receives. The channel is closed at its end.
func waitForStates(i *Inherited) chan []byte {
	states := make(chan []byte, 99)
	go func() {
		i.Wait(func(state []byte) { states <- state })
		close(states)
	}()
	return states
}

func receiveState(t *testing.T, states chan []byte) []byte {
	t.Helper()
	select {
	case state, ok := <-states:
		if !ok {
			t.Fatal("the connection has ended")
		}
		return state
	case <-time.After(waitTimeout):
		t.Fatal("no state received")
	}
	return nil
}

// Guards against a successor that has not received what its predecessor knows, at first or after a change. A state that
// the successor is too slow to receive may be replaced by a later one, but the last one must arrive. Each successor
// requests anew, and a state that is set without one is dropped.
func TestSuccessorReceivesTheLastState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "offer")
	_, stages, offer := offerListener(t, path)
	offer.SendState([]byte("nobody receives this"))
	for range 2 {
		successor := inherit(t, path)
		if !successor.SendsState {
			t.Fatal("the old process does not announce its state")
		}
		expectStage(t, stages, SocketsSent)
		expectStage(t, stages, StateRequested)
		offer.SendState([]byte("first"))
		states := waitForStates(successor)
		if got := receiveState(t, states); string(got) != "first" {
			t.Errorf("received %q", got)
		}
		last := bytes.Repeat([]byte("last"), 1<<20)
		for n := range 20 {
			offer.SendState(bytes.Repeat([]byte{byte(n)}, 1<<20))
		}
		offer.SendState(last)
		for !bytes.Equal(receiveState(t, states), last) {
		}
		successor.Close()
		expectStage(t, stages, SuccessorGone)
	}
}

// A process of an earlier version sends the addresses without an announcement. Its successor must not request a state.
func TestPredecessorOfEarlierVersionSendsNoState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "offer")
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	lines := make(chan string, 9)
	go func() {
		c, err := socket.AcceptUnix()
		if err != nil {
			return
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		line, _ := reader.ReadString('\n')
		lines <- line
		_ = withDescriptors([]net.Listener{listener}, nil, func(fds []int) error {
			return sendWithRights(c, listener.Addr().String(), fds)
		})
		line, _ = reader.ReadString('\n')
		lines <- line
	}()
	inherited, err := Inherit(path)
	if err != nil || inherited == nil || inherited.SendsState || len(inherited.Listeners) != 1 {
		t.Fatal(inherited, err)
	}
	if err := inherited.NotifyServing(); err != nil {
		t.Fatal(err)
	}
	if first, second := <-lines, <-lines; first != socketRequest || second != servingNotice {
		t.Errorf("the successor sent %q and %q", first, second)
	}
	inherited.Close()
}

// What is no state must neither be taken for one nor exhaust the memory.
func TestMalformedStateIsRejected(t *testing.T) {
	for _, text := range []string{"x\n", "-1\n", fmt.Sprintf("%d\n", maxStateSize+1), "\n", "5 \nstate"} {
		if state, err := readState(bufio.NewReader(strings.NewReader(text))); !errors.Is(err, errMalformedState) {
			t.Errorf("%q: %q, %v", text, state, err)
		}
	}
	for _, text := range []string{"", "5", "5\nstat", strings.Repeat("1", 9999)} {
		if state, err := readState(bufio.NewReader(strings.NewReader(text))); err == nil {
			t.Errorf("%.20q: %q", text, state)
		}
	}
}
