package handover

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// waitTimeout is the time within which an expected event must happen.
const waitTimeout = 10 * time.Second

// offerListener opens an Offer of a new listener at path.
func offerListener(t *testing.T, path string) (net.Listener, chan Stage, *Offer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	stages := make(chan Stage, 9)
	offer, err := Open(path, []net.Listener{listener}, func(s Stage) { stages <- s })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(offer.Close)
	return listener, stages, offer
}

// inherit inherits the only listener that is offered at path.
func inherit(t *testing.T, path string) *Inherited {
	t.Helper()
	inherited, err := Inherit(path)
	if err != nil || inherited == nil || len(inherited.Listeners) != 1 {
		t.Fatal(inherited, err)
	}
	return inherited
}

func expectStage(t *testing.T, stages chan Stage, want Stage) {
	t.Helper()
	select {
	case got := <-stages:
		if got != want {
			t.Fatalf("stage %v, want %v", got, want)
		}
	case <-time.After(waitTimeout):
		t.Fatalf("stage %v was not reached", want)
	}
}

// makeLongDir creates a directory whose path is too long for a Unix socket.
func makeLongDir(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", maxPathSize/4))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// A successor may end before it serves clients. The old process then continues to serve and can be replaced again.
// While there is a successor, a third process receives no sockets.
func TestOneSuccessorAtATimeAndOfferOutlivesIt(t *testing.T) {
	path := Path(makeLongDir(t), "127.0.0.1:7")
	_, stages, _ := offerListener(t, path)
	for range 2 {
		successor := inherit(t, path)
		expectStage(t, stages, SocketsSent)
		expectStage(t, stages, StateRequested)
		if third, err := Inherit(path); err == nil {
			t.Error("a third process received the sockets while there was a successor", third)
		}
		successor.Close()
		expectStage(t, stages, SuccessorGone)
	}
	inherit(t, path).Close()
	expectStage(t, stages, SocketsSent)
}

// Connections that are queued when the old process closes its listener must not be reset. As both processes hold the
// same socket, the successor accepts them.
func TestQueuedConnectionsPassToSuccessor(t *testing.T) {
	path := Path(makeLongDir(t), "127.0.0.1:7")
	listener, stages, offer := offerListener(t, path)
	successor := inherit(t, path)
	defer successor.Close()
	expectStage(t, stages, SocketsSent)
	expectStage(t, stages, StateRequested)
	successor.NotifyServing()
	expectStage(t, stages, SuccessorServing)

	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	gone := make(chan bool)
	go func() {
		successor.Wait(func([]byte) {})
		close(gone)
	}()
	listener.Close()
	offer.Close()
	select {
	case <-gone:
	case <-time.After(waitTimeout):
		t.Fatal("the successor did not detect that the old process has ended")
	}
	accepted, err := successor.Listeners[listener.Addr().String()].Accept()
	if err != nil {
		t.Fatal("the queued connection was lost", err)
	}
	accepted.Close()
}

// A node must start normally if there is no process to replace: the directory or the socket is missing, the socket was
// left behind by a killed process, or the file is no socket.
func TestInheritWithoutOfferReturnsNil(t *testing.T) {
	dir := t.TempDir()
	killed := killedSocket(t, dir)
	regularFile := filepath.Join(dir, "rubbish.sock")
	if err := os.WriteFile(regularFile, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	missingDir := filepath.Join(dir, "none", strings.Repeat("long", maxPathSize/4))
	for _, test := range []struct{ name, path string }{
		{"no file", filepath.Join(dir, "none.sock")},
		{"killed process", killed},
		{"no socket", regularFile},
		{"no directory", Path(missingDir, "127.0.0.1:7")},
	} {
		t.Run(test.name, func(t *testing.T) {
			if inherited, err := Inherit(test.path); inherited != nil || err != nil {
				t.Error(inherited, err)
			}
		})
	}
}

func TestInheritFailsIfOldProcessHangs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hangs.sock")
	silent, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if inherited, err := Inherit(path); inherited != nil || err == nil {
		t.Error("inherited from a process that sends nothing")
	}
}

func TestOpenReplacesSocketOfKilledProcess(t *testing.T) {
	offerListener(t, killedSocket(t, t.TempDir()))
}

// killedSocket creates a socket file without a listening process, as a killed process leaves it behind.
func killedSocket(t *testing.T, dir string) string {
	t.Helper()
	path := filepath.Join(dir, "killed.sock")
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	socket.SetUnlinkOnClose(false)
	socket.Close()
	return path
}
