package realtime

import (
	"fmt"
	"io"
	"net"
	"time"

	"dahliapin/policy"
)

const (
	reconnectDelay        = 20 * time.Millisecond // before a client of a crowd that was closed comes again
	crowdDialTimeout      = time.Second           // that connecting may take
	stalledRequestTimeout = 3 * time.Second       // by which a client that stopped in the middle of a request is to have its error, or its end
)

// CrowdNode has clients connect to a node and keep what they have: half of them ask once whether it is ready, the others say nothing. One that is
// closed comes again; the lock is held.
func (r *Rig) CrowdNode(number, clients int, until policy.Instant) {
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

// StallClients has clients stop in the middle of a request, and stay. Each is owed an error or its end in time, unless the node has been told to end
// or was killed meanwhile; the lock is held.
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
				r.checker.WrongAnswer(r.now(), "", fmt.Sprintf("a client of %s that stopped in the middle of a request heard nothing for %v", m.name, stalledRequestTimeout+slack))
			}
		}()
	}
}

func isTimeout(err error) bool {
	late, is := err.(net.Error)
	return is && late.Timeout()
}

// ReloadNode tells a node several times in a row to read its configuration again; the lock is held.
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

// FreezeNode has a node's process stand still for a moment. Nothing is excused: the rules allow for that; the lock is held.
func (r *Rig) FreezeNode(number int, long time.Duration) {
	m := r.nodes[number]
	p, can := m.process.(Pauser)
	if !can || m.ending {
		return
	}
	p.Pause(true)
	r.At(r.now().Add(long), func() { p.Pause(false) })
}

// scenarioSlack is what the script allows what crosses to take.
func (r *Rig) scenarioSlack() time.Duration {
	return time.Duration(r.scenario.Allowed.SlackMs * float64(time.Millisecond))
}
