package realtime

import (
	"fmt"
	"io"
	"net"
	"time"

	"dahliapin/policy"
)

const (
	reconnectDelay        = 20 * time.Millisecond // before a client whose connection was closed connects again
	crowdDialTimeout      = time.Second
	stalledRequestTimeout = 3 * time.Second // by which an incomplete request must be answered or closed
)

// OpenIdleClients opens idle client connections to a node: half of the clients check readiness once, the others send
// nothing. A client whose connection is closed connects again. The lock is held.
func (r *Rig) OpenIdleClients(number, clients int, until policy.Instant) {
	addr := r.nodes[number].addr
	for n := range clients {
		go func() {
			for !r.isClosing() && r.now() < until {
				c, err := net.DialTimeout("tcp", addr, crowdDialTimeout)
				if err == nil {
					if n%2 == 0 {
						io.WriteString(c, "mn\r\n")
					}
					c.SetReadDeadline(time.Now().Add(until.Since(r.now())))
					io.Copy(io.Discard, c)
					c.Close()
				}
				time.Sleep(reconnectDelay)
			}
		}()
	}
}

// StallClients has clients stop in the middle of a request and stay connected. The node must answer with an error or
// close each connection in time, unless it was told to end or killed meanwhile. The lock is held.
func (r *Rig) StallClients(number, clients int) {
	m := r.nodes[number]
	life := m.incarnation
	for n := range clients {
		go func() {
			c, err := net.DialTimeout("tcp", m.addr, crowdDialTimeout)
			if err != nil {
				return
			}
			defer c.Close()
			io.WriteString(c, "mg k v O"[:2+n%7])
			slack := max(slack, r.scenarioSlack())
			c.SetReadDeadline(time.Now().Add(stalledRequestTimeout + slack))
			if _, err := c.Read(make([]byte, 1)); err == nil || !isTimeout(err) {
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			if m.incarnation == life && !m.ending && !r.closing {
				r.checker.WrongAnswer(r.now(), "", fmt.Sprintf("a client of %s that stopped in the middle of a request got neither answer nor close within %v", m.name, stalledRequestTimeout+slack))
			}
		}()
	}
}

func isTimeout(err error) bool {
	late, is := err.(net.Error)
	return is && late.Timeout()
}

// ReloadNode tells a node several times in a row to reload its configuration. The lock is held.
func (r *Rig) ReloadNode(number, times int) {
	m := r.nodes[number]
	p, can := m.process.(Reloader)
	if !can || m.ending {
		return
	}
	for n := range times {
		r.At(r.now().Add(time.Duration(n)*signalInterval), p.Reload)
	}
}

// FreezeNode stops a node's process for a moment. No request is excused, as the rules allow for such a pause. The
// lock is held.
func (r *Rig) FreezeNode(number int, long time.Duration) {
	m := r.nodes[number]
	p, can := m.process.(Pauser)
	if !can || m.ending {
		return
	}
	p.Pause(true)
	r.At(r.now().Add(long), func() { p.Pause(false) })
}

// scenarioSlack is the tolerance that the scenario adds for messages in transit.
func (r *Rig) scenarioSlack() time.Duration {
	return time.Duration(r.scenario.Allowed.SlackMs * float64(time.Millisecond))
}
