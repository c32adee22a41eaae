package handover

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// patience is how long a test waits for what must happen.
const patience = 10 * time.Second

// offerListener offers a new listener at a path.
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

// inherit takes over the one listener that is offered at a path.
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
	case <-time.After(patience):
		t.Fatalf("stage %v was never reached", want)
	}
}

// longFolder makes a folder whose path is longer than the name of a Unix socket may be.
func longFolder(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), strings.Repeat("long", maxPathSize/4))
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	return folder
}

// A successor may go before it serves. The old process goes on as before, and can be replaced again; while there is a
// successor, a third process gets nothing.
func TestOneSuccessorAtATimeAndItMayGo(t *testing.T) {
	path := Path(longFolder(t), "127.0.0.1:7")
	_, stages, _ := offerListener(t, path)
	for range 2 {
		successor := inherit(t, path)
		expectStage(t, stages, SocketsSent)
		if third, err := Inherit(path); err == nil {
			t.Error("a third got the sockets while the second had not served", third)
		}
		successor.Close()
		expectStage(t, stages, SuccessorGone)
	}
	inherit(t, path).Close()
	expectStage(t, stages, SocketsSent)
}

// Connections that wait in the old process's queue when it closes would be reset. As both hold the same socket, they
// are the successor's.
func TestConnectionsThatWaitAreTheSuccessors(t *testing.T) {
	path := Path(longFolder(t), "127.0.0.1:7")
	listener, stages, offer := offerListener(t, path)
	successor := inherit(t, path)
	defer successor.Close()
	expectStage(t, stages, SocketsSent)
	successor.NotifyServing()
	expectStage(t, stages, SuccessorServing)

	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	gone := make(chan bool)
	go func() {
		successor.Wait()
		close(gone)
	}()
	listener.Close()
	offer.Close()
	select {
	case <-gone:
	case <-time.After(patience):
		t.Fatal("the old process's end was not noticed")
	}
	accepted, err := successor.Listeners[listener.Addr().String()].Accept()
	if err != nil {
		t.Fatal("the connection that waited is lost", err)
	}
	accepted.Close()
}

// Where no process can be replaced, a node starts as any: the folder is missing, or holds the socket of a killed
// process or something else.
func TestWithoutAnOfferNothingIsInherited(t *testing.T) {
	folder := t.TempDir()
	killed := killedSocket(t, folder)
	rubbish := filepath.Join(folder, "rubbish.sock")
	if err := os.WriteFile(rubbish, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	missingFolder := filepath.Join(folder, "none", strings.Repeat("long", maxPathSize/4))
	for _, test := range []struct{ name, path string }{
		{"no file", filepath.Join(folder, "none.sock")},
		{"killed process", killed},
		{"no socket", rubbish},
		{"no folder", Path(missingFolder, "127.0.0.1:7")},
	} {
		t.Run(test.name, func(t *testing.T) {
			if inherited, err := Inherit(test.path); inherited != nil || err != nil {
				t.Error(inherited, err)
			}
		})
	}
}

func TestOldProcessThatHangsIsGivenUp(t *testing.T) {
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

func TestOfferReplacesTheSocketOfAKilledProcess(t *testing.T) {
	offerListener(t, killedSocket(t, t.TempDir()))
}

// killedSocket leaves a socket behind as a killed process does.
func killedSocket(t *testing.T, folder string) string {
	t.Helper()
	path := filepath.Join(folder, "killed.sock")
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	socket.SetUnlinkOnClose(false)
	socket.Close()
	return path
}
