package cachegrowth

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	requestTimeout = 1200 * time.Millisecond
	answerGrace    = 500 * time.Millisecond // time after the deadline during which an answer is still accepted
	popularKeys    = 200
	missEvery      = 10 // one in so many requests is for a key that no cache has
)

// clients send requests at a steady rate (open loop), each on a connection of its own.
type clients struct {
	address string
	rate    int // per second

	mu       sync.Mutex
	sent     int // requests that were due and sent
	served   int
	refused  int
	lost     int           // without an answer; a node that restarts refuses connections meanwhile
	lateness time.Duration // maximum delay of a send after its due time, caused by a busy machine
}

// run sends requests for a time, and returns once the last has ended.
func (c *clients) run(length time.Duration) {
	var all sync.WaitGroup
	began := time.Now()
	interval := time.Second / time.Duration(c.rate)
	for i := 0; time.Duration(i)*interval < length; i++ {
		due := began.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		c.mu.Lock()
		c.lateness = max(c.lateness, time.Since(due))
		c.sent++
		c.mu.Unlock()
		all.Go(func() { c.ended(c.request(i)) })
	}
	all.Wait()
}

// request sends the i-th request and returns the first line of its answer.
func (c *clients) request(i int) (string, error) {
	conn, err := net.DialTimeout("tcp", c.address, requestTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(requestTimeout + answerGrace)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(conn, "mg %s v O%d Pc=read,d=%d\r\n",
		keyOf(i), i, requestTimeout.Milliseconds()); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// keyOf is the key of the i-th request: popular keys in rotation, and some that no cache has.
func keyOf(i int) string {
	if i%missEvery == missEvery-1 {
		return fmt.Sprint(missPrefix, i)
	}
	return fmt.Sprint("key", i%popularKeys)
}

func (c *clients) ended(answer string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.lost++
	case strings.HasPrefix(answer, "VA"):
		c.served++
	default:
		c.refused++
	}
}
