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
	answerGrace    = 500 * time.Millisecond // time after the deadline in which an answer is still accepted
	popularKeys    = 200                    // number of keys that caches have
	missEvery      = 10                     // one request in this many is for a key that no cache has
)

// clients send requests at a constant rate (open loop), each on its own connection.
type clients struct {
	address string
	rate    int // requests per second

	mu       sync.Mutex
	sent     int
	served   int
	refused  int           // answered without a value
	lost     int           // without an answer; a restarting node refuses connections
	lateness time.Duration // maximum delay of a send after its due time, caused by a busy machine
}

// run sends requests for a time, and returns when the last one has ended.
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
		all.Go(func() { c.countOutcome(c.request(i)) })
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

// keyOf returns the key of the i-th request. Popular keys are requested in rotation, and some keys are misses.
func keyOf(i int) string {
	if i%missEvery == missEvery-1 {
		return fmt.Sprint(missPrefix, i)
	}
	return fmt.Sprint("key", i%popularKeys)
}

// countOutcome counts the outcome of a request.
func (c *clients) countOutcome(answer string, err error) {
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
