package sockets

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	churnTime     = 2 * time.Second
	churnDialers  = 16 // connections that are being dialed at any time
	churnClients  = 8  // clients that send requests one after the other, on a connection each
	churnDialWait = time.Second
	answerWait    = 2 * time.Second
)

// churn is an engine whose loop closes each connection it has dialed as soon as it is established, and answers each
// line of a client.
type churn struct {
	engine *Engine
	target net.Listener // what it dials
	ended  atomic.Bool
}

// run is the loop. It returns once it is ended.
func (c *churn) run() {
	for !c.ended.Load() {
		for _, ev := range c.engine.TakeEvents() {
			switch ev.Kind {
			case Connected:
				ev.Conn.Close()
				c.dial()
			case DialFailed:
				c.dial()
			case Data:
				_ = ev.Conn.Write(ev.Bytes())
			}
		}
		select {
		case <-c.engine.Wake():
		case <-time.After(time.Millisecond):
		}
	}
}

func (c *churn) dial() {
	_ = c.engine.Dial(c.target.Addr().String(), churnDialWait, 1) // refused for want of a descriptor now and then
}

// request has one line answered on a connection of its own.
func (c *churn) request(line string) error {
	conn, err := net.Dial("tcp", c.engine.Addr(0).String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(answerWait)); err != nil {
		return err
	}
	if _, err := fmt.Fprint(conn, line); err != nil {
		return err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && answer != line {
		err = fmt.Errorf("the answer is %q", answer)
	}
	return err
}

// A dialed connection that was closed as soon as it was established took the place of a client's that had got its
// descriptor meanwhile: the client's requests were never read, nor its end noticed.
func TestClientsAreReadWhileNewConnectionsAreClosed(t *testing.T) {
	e, err := New([]string{"127.0.0.1:0"}, 200, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() { // until the other side closes it
				_, _ = conn.Read(make([]byte, 1))
				conn.Close()
			}()
		}
	}()
	c := &churn{engine: e, target: target}
	for range churnDialers {
		c.dial()
	}
	var all sync.WaitGroup
	var requests atomic.Int64
	all.Go(c.run)
	var clients sync.WaitGroup
	for i := range churnClients {
		clients.Go(func() {
			for by := time.Now().Add(churnTime); time.Now().Before(by); requests.Add(1) {
				if err := c.request(fmt.Sprintln("client", i)); err != nil {
					t.Errorf("request %d: %v", requests.Load(), err)
					return
				}
			}
		})
	}
	clients.Wait()
	c.ended.Store(true)
	all.Wait()
	t.Logf("%d requests", requests.Load())
}
