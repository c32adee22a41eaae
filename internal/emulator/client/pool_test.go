package client

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/emulator/checker"
)

// answerServer answers the first request of each connection correctly, and each further one with the given text, after
// which it closes the connection, by a reset if reset is true. It counts the requests.
type answerServer struct {
	text     string
	reset    bool
	requests chan string // IDs
}

func (s *answerServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		id := strings.TrimPrefix(strings.Fields(line)[3], "O")
		s.requests <- id
		if first {
			_, _ = io.WriteString(conn, "VA 2 O"+id+"\r\nok\r\n")
			continue
		}
		_, _ = io.WriteString(conn, s.text)
		if tcp, ok := conn.(*net.TCPConn); ok && s.reset {
			time.Sleep(50 * time.Millisecond) // the client reads what has arrived first
			_ = tcp.SetLinger(0)
		}
		return
	}
}

// A request whose answer had begun to arrive used to be sent again on a new connection, as if the node had not read it,
// and the answer that could not be read was lost.
func TestRequestWithAnUnreadableAnswerIsNotSentAgain(t *testing.T) {
	for _, test := range []struct {
		name        string
		text        string
		reset       bool
		final       checker.Final
		wantInvalid bool
	}{
		{name: "a size that is not a number", text: "VA x O2\r\nok\r\n", final: checker.Failed, wantInvalid: true},
		{name: "part of a value", text: "VA 2 O2\r\no", final: checker.Cut},
		{name: "part of a value, then a reset", text: "VA 2 O2\r\no", reset: true, final: checker.Cut},
		{name: "part of a line, then a reset", text: "VA", reset: true, final: checker.Cut},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			server := &answerServer{text: test.text, reset: test.reset, requests: make(chan string, 9)}
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go server.serve(conn)
				}
			}()
			pool := &Pool{Addr: l.Addr().String()}
			defer pool.Close()
			send := func(id string) Response {
				done := make(chan Response, 1)
				pool.Send(&Request{ID: id, Key: "k", Class: "read", Timeout: 5 * time.Second}, func(r Response) { done <- r })
				return <-done
			}
			if first := send("1"); first.Final != checker.Satisfied {
				t.Fatalf("first request: %+v", first)
			}
			second := send("2")
			if second.Final != test.final || second.InvalidReason != "" != test.wantInvalid {
				t.Errorf("got %+v", second)
			}
			if len(server.requests) != 2 {
				t.Errorf("the server received %d requests, want 2", len(server.requests))
			}
		})
	}
}
