package handover

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/golden"
)

// A process of this version must be able to replace one of an earlier version, and the other way round, so the messages
// of both sides must match the recorded ones.
func TestProtocolMatchesGoldenFile(t *testing.T) {
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
	if _, err := c.Write([]byte(socketRequest)); err != nil {
		t.Fatal(err)
	}
	addresses, sockets := receiveSockets(t, c)
	answer := strings.ReplaceAll(addresses, listener.Addr().String(), "ADDRESS")
	fmt.Fprintf(&got, "successor %q, answer %q with %d sockets, stage %d\n", socketRequest, answer, sockets, <-stages)
	if _, err := c.Write([]byte(stateRequest)); err != nil {
		t.Fatal(err)
	}
	text, channels := receiveSockets(t, c)
	fmt.Fprintf(&got, "successor %q, answer %q with %d sockets, stage %d\n", stateRequest, text, channels, <-stages)
	offer.SendState([]byte("STATE"))
	state := make([]byte, len("5\nSTATE"))
	if _, err := io.ReadFull(c, state); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "state %q\n", state)
	if _, err := c.Write([]byte(servingNotice)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "successor %q, stage %d\n", servingNotice, <-stages)
	_ = c.Close()
	fmt.Fprintf(&got, "successor gone, stage %d\n", <-stages)
	golden.Check(t, "conversation.txt", []byte(got.String()))
}

// receiveSockets receives the old process's response, and closes the sockets that it contains.
func receiveSockets(t *testing.T, c *net.UnixConn) (text string, sockets int) {
	t.Helper()
	buffer := make([]byte, 1024)
	rights := make([]byte, unix.CmsgSpace(16))
	textSize, rightsSize, _, _, err := c.ReadMsgUnix(buffer, rights)
	if err != nil {
		t.Fatal(err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:rightsSize])
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
	return string(buffer[:textSize]), len(fds)
}

// The successor sends the recorded request, and returns an error if the response contains no sockets.
func TestInheritSendsRequestAndRequiresSockets(t *testing.T) {
	path := filepath.Join(t.TempDir(), "offer")
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	lines := make(chan string, 2)
	go func() {
		c, err := socket.AcceptUnix()
		if err != nil {
			return
		}
		defer c.Close()
		line, _ := bufio.NewReader(c).ReadString('\n')
		lines <- line
		_, _, _ = c.WriteMsgUnix([]byte(""), nil, nil)
	}()
	if inherited, err := Inherit(path); err == nil {
		t.Errorf("inherited %v from a process that sent no sockets", inherited)
	}
	if line := <-lines; line != socketRequest {
		t.Errorf("the successor sent %q", line)
	}
}
