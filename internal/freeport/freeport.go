// Package freeport finds free addresses for test rigs whose processes have to know beforehand where to listen: other
// processes get the address as well, or the process comes back there. All others listen on port 0 instead.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The range of the ports. Guards against a process of a rig that ends as its address is in use: the range is below the
// one from which systems give ports to outgoing connections, so that none of these takes a port before the process
// does.
const (
	firstPort = 12_000
	portCount = 20_000
	// processStride keeps the ports of test processes that run at once apart.
	processStride = 397
)

var issued atomic.Uint32 // attempts of this process until now

// Free returns an address on loopback that is free for streams and for datagrams. It returns none twice until it has
// been through all. The error is that of the last attempt.
func Free() (string, error) {
	var err error
	for range portCount {
		offset := (uint32(os.Getpid())*processStride + issued.Add(1)) % portCount
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		if err = tryListen(addr); err == nil {
			return addr, nil
		}
	}
	return "", fmt.Errorf("no port is free: %w", err)
}

// tryListen listens on an address for streams and for datagrams, and closes both again.
func tryListen(addr string) error {
	streams, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	streams.Close()
	datagrams, err := net.ListenPacket("udp", addr)
	if err != nil {
		return err
	}
	datagrams.Close()
	return nil
}
