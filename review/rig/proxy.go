//go:build review

package rig

import (
	"net"
	"time"
)

// DelayProxy forwards connections to an address and delays what passes by a fixed time in each direction, as the way
// between two locations does. It returns the address at which it listens.
func DelayProxy(to string, delay time.Duration) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				s, err := net.Dial("tcp", to)
				if err != nil {
					c.Close()
					return
				}
				go forward(c, s, delay)
				forward(s, c, delay)
			}()
		}
	}()
	return l.Addr().String(), nil
}

type piece struct {
	at   time.Time
	data []byte
}

// forward passes on what comes from one connection to another, each piece after the delay, and then its end.
func forward(from, to net.Conn, delay time.Duration) {
	queue := make(chan piece, 4096)
	go func() {
		for p := range queue {
			time.Sleep(time.Until(p.at))
			if _, err := to.Write(p.data); err != nil {
				break
			}
		}
		to.Close()
		for range queue {
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- piece{time.Now().Add(delay), append([]byte(nil), buffer[:n]...)}
		}
		if err != nil {
			break
		}
	}
	time.Sleep(delay)
	close(queue)
	from.Close()
}
