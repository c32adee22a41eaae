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
	churnTime            = 2 * time.Second
	churnDialers         = 16 // number of concurrent dials
	churnClients         = 8  // number of concurrent clients, which open a new connection for each request
	churnDialTimeout     = time.Second
	churnResponseTimeout = 2 * time.Second
)

// churn runs an engine whose loop closes each dialed connection as soon as it is established, and echoes what clients
// send.
type churn struct {
	engine *Engine
	target net.Listener // listener that is dialed
	ended  atomic.Bool
}

// run is the event loop. It returns once ended is set.
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
	_ = c.engine.Dial(c.target.Addr().String(), churnDialTimeout, 1) // fails if no descriptor is free
}

// request sends one line on a new connection and checks that the same line is returned.
func (c *churn) request(line string) error {
	conn, err := net.Dial("tcp", c.engine.Addr(0).String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(churnResponseTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprint(conn, line); err != nil {
		return err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && answer != line {
		err = fmt.Errorf("unexpected response %q", answer)
	}
	return err
}

// A dialed connection that the loop closes as soon as it is established must not replace, in the poller, a client's
// connection that has been given the same descriptor. That client's requests would never be read, nor its end detected.
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
			go func() { // waits until the peer closes the connection
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
