package realtime

import (
	"fmt"
	"io"
	"net"
	"time"

	"dahliapin/policy"
)

const (
	reconnectDelay        = 20 * time.Millisecond // after which an idle client connects again
	idleClientDialTimeout = time.Second
	stalledRequestTimeout = 3 * time.Second // by which an incomplete request must be answered or closed
)

// OpenIdleClients opens idle client connections to a node until an instant. Every second client sends one readiness
// check, the others send nothing. A client whose connection is closed connects again after reconnectDelay. Rig.mu must
// be locked.
func (r *Rig) OpenIdleClients(number, clients int, until policy.Instant) {
	addr := r.nodes[number].addr
	for n := range clients {
		go func() {
			for !r.isClosing() && r.now() < until {
				c, err := net.DialTimeout("tcp", addr, idleClientDialTimeout)
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

// StallClients makes clients send an incomplete request and stay connected. The node must answer with an error or close
// each connection within stalledRequestTimeout, unless it is terminated or killed meanwhile. Rig.mu must be locked.
func (r *Rig) StallClients(number, clients int) {
	m := r.nodes[number]
	incarnation := m.incarnation
	for n := range clients {
		go func() {
			c, err := net.DialTimeout("tcp", m.addr, idleClientDialTimeout)
			if err != nil {
				return
			}
			defer c.Close()
			io.WriteString(c, "mg k v O"[:2+n%7])
			tolerance := max(slack, r.scenarioSlack())
			c.SetReadDeadline(time.Now().Add(stalledRequestTimeout + tolerance))
			if _, err := c.Read(make([]byte, 1)); err == nil || !isTimeout(err) {
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			if m.incarnation == incarnation && !m.ending && !r.closing {
				r.checker.WrongAnswer(r.now(), "", fmt.Sprintf(
					"a client of %s that sent an incomplete request received neither an answer nor a close within %v",
					m.name, stalledRequestTimeout+tolerance))
			}
		}()
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// ReloadNode tells a node to reload its configuration, several times at signalInterval. Rig.mu must be locked.
func (r *Rig) ReloadNode(number, times int) {
	m := r.nodes[number]
	p, ok := m.process.(Reloader)
	if !ok || m.ending {
		return
	}
	for n := range times {
		r.At(r.now().Add(time.Duration(n)*signalInterval), p.Reload)
	}
}

// FreezeNode stops a node's process for a short time. No request is excused, as the tolerances of the rules cover such
// a pause. Rig.mu must be locked.
func (r *Rig) FreezeNode(number int, duration time.Duration) {
	m := r.nodes[number]
	p, ok := m.process.(Pauser)
	if !ok || m.ending {
		return
	}
	p.Pause(true)
	r.At(r.now().Add(duration), func() { p.Pause(false) })
}

// scenarioSlack returns the scenario's tolerance for messages in transit.
func (r *Rig) scenarioSlack() time.Duration {
	return time.Duration(r.scenario.Allowed.SlackMs * float64(time.Millisecond))
}
