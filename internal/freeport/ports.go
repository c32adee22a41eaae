// Package ports finds addresses for rigs and tests whose processes have to be told beforehand where to listen, as others are told it too or as
// they come back there. Who can, listens on port 0 instead.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports from which those are taken: below those that systems give to whoever asks for any, or one of the many connections beside a rig
// could have it before the process does, which then ends as its address is in use.
const first, more = 12_000, 20_000

var taken atomic.Uint32

// Free finds an address on loopback that nobody has, for streams and for datagrams. It hands out none twice until it has been through all.
func Free() (string, error) {
	var err error
	for range more {
		at := fmt.Sprintf("127.0.0.1:%d", first+(uint32(os.Getpid())*397+taken.Add(1))%more)
		var l net.Listener
		if l, err = net.Listen("tcp", at); err != nil {
			continue
		}
		l.Close()
		var u net.PacketConn
		if u, err = net.ListenPacket("udp", at); err == nil {
			u.Close()
			return at, nil
		}
	}
	return "", fmt.Errorf("no port is free: %w", err)
}
