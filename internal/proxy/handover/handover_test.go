package handover

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

const patience = 10 * time.Second

func offer(t *testing.T, path string) (net.Listener, chan Stage, *Offer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	heard := make(chan Stage, 9)
	o, err := Open(path, []net.Listener{l}, func(s Stage) { heard <- s })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return l, heard, o
}

func expect(t *testing.T, heard chan Stage, want Stage) {
	t.Helper()
	select {
	case got := <-heard:
		if got != want {
			t.Fatalf("heard %v, want %v", got, want)
		}
	case <-time.After(patience):
		t.Fatalf("never heard %v", want)
	}
}

// What waits in the old process's queue when it closes would be reset; by the same socket it is the newcomer's. A newcomer that goes
// before its time leaves the old one as it was, and only one at a time may come.
func TestWhatWaitsForTheOldProcessIsTheNewOnes(t *testing.T) {
	folder := t.TempDir() + "/" + strings.Repeat("long", longestPath/4) // more than the name of a socket may have
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	path := Path(folder, "127.0.0.1:7")
	l, heard, o := offer(t, path)
	for range 2 { // the first goes before it serves
		n, err := Inherit(path)
		if err != nil || n == nil || len(n.Listeners) != 1 {
			t.Fatal(n, err)
		}
		expect(t, heard, SocketsSent)
		if third, err := Inherit(path); err == nil {
			t.Error("a third came while the second had not served", third)
		}
		n.Close()
		expect(t, heard, SuccessorGone)
	}
	n, err := Inherit(path)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	expect(t, heard, SocketsSent)
	n.Serving()
	expect(t, heard, SuccessorServing)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	gone := make(chan bool)
	go func() { n.Wait(); close(gone) }()
	l.Close()
	o.Close()
	select {
	case <-gone:
	case <-time.After(patience):
		t.Fatal("the old one's end was not noticed")
	}
	in, err := n.Listeners[l.Addr().String()].Accept()
	if err != nil {
		t.Fatal("what waited is lost", err)
	}
	in.Close()
}

// A folder that is missing or holds a killed process's rubbish, and an old process that hangs, leave a node to start as any.
func TestWhereNothingCanBeTakenItIsSaidInTime(t *testing.T) {
	folder := t.TempDir()
	if n, err := Inherit(folder + "/none.sock"); n != nil || err != nil {
		t.Error(n, err)
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: folder + "/killed.sock", Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	l.Close()
	if n, err := Inherit(folder + "/killed.sock"); n != nil || err != nil {
		t.Error(n, err)
	}
	os.WriteFile(folder+"/rubbish.sock", []byte("x"), 0o600)
	if n, err := Inherit(folder + "/rubbish.sock"); n != nil || err != nil {
		t.Error(n, err)
	}
	hangs, err := net.Listen("unix", folder+"/hangs.sock")
	if err != nil {
		t.Fatal(err)
	}
	defer hangs.Close()
	if n, err := Inherit(folder + "/hangs.sock"); n != nil || err == nil {
		t.Error("took from one that says nothing")
	}
	if n, err := Inherit(Path(folder+"/none/"+strings.Repeat("long", longestPath/4), "127.0.0.1:7")); n != nil || err != nil {
		t.Error(n, err)
	}
	offer(t, folder+"/killed.sock") // over the rubbish
}
