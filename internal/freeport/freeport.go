// Package freeport finds free addresses for tests whose processes must know their address before they listen, because
// other processes need it too or because the process restarts there. All other tests listen on port 0 instead.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The port range lies below the ephemeral range, so that no outgoing connection takes a port before the test's process
// listens on it; that process would otherwise exit because its address is in use.
const (
	firstPort = 12_000
	portCount = 20_000
	// processStride separates the ports of test processes that run concurrently.
	processStride = 397
)

var attempts atomic.Uint32 // attempts made by this process

// Free returns a loopback address that is free for both TCP and UDP. It repeats no address until the whole range has
// been tried. The error wraps that of the last attempt.
func Free() (string, error) {
	var err error
	for range portCount {
		offset := (uint32(os.Getpid())*processStride + attempts.Add(1)) % portCount
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		if err = tryListen(addr); err == nil {
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port: %w", err)
}

// tryListen listens on an address over TCP and UDP, and closes both sockets again.
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
