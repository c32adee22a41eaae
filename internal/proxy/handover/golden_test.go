package handover

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/golden"
)

// A process of an earlier version is replaced by one of this, and the other way round: both sides of the conversation are as recorded.
func TestTheConversationOfAHandoverIsAsRecorded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	path := filepath.Join(t.TempDir(), "offer")
	stages := make(chan Stage, 3)
	offer, err := Open(path, []net.Listener{listener}, func(s Stage) { stages <- s })
	if err != nil {
		t.Fatal(err)
	}
	defer offer.Close()
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	var got strings.Builder
	if _, err := c.Write([]byte(hello)); err != nil {
		t.Fatal(err)
	}
	text, rights := make([]byte, 1024), make([]byte, unix.CmsgSpace(16))
	n, k, _, _, err := c.ReadMsgUnix(text, rights)
	if err != nil {
		t.Fatal(err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:k])
	if err != nil || len(messages) != 1 {
		t.Fatal(messages, err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		t.Fatal(err)
	}
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
	said := strings.ReplaceAll(string(text[:n]), listener.Addr().String(), "ADDRESS")
	fmt.Fprintf(&got, "successor %q, answer %q with %d sockets, stage %d\n", hello, said, len(fds), <-stages)
	if _, err := c.Write([]byte(serving)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "successor %q, stage %d\n", serving, <-stages)
	_ = c.Close()
	fmt.Fprintf(&got, "successor gone, stage %d\n", <-stages)
	golden.Check(t, "conversation.txt", []byte(got.String()))
	takenFrom(t, path)
}

// takenFrom has this version take the place of one that says what is recorded.
func takenFrom(t *testing.T, path string) {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path + "2", Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	heard := make(chan string, 2)
	go func() {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		line, _ := r.ReadString('\n')
		heard <- line
		_, _, _ = c.WriteMsgUnix([]byte(""), nil, nil)
	}()
	if taken, err := Inherit(path + "2"); err == nil {
		t.Errorf("took %v of a process that hands over nothing", taken)
	}
	if line := <-heard; line != hello {
		t.Errorf("the successor said %q", line)
	}
}
