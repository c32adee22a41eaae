package gossip

import (
	"net"
	"net/netip"
	"time"
)

// Transport is the network that carries datagrams and streams: sockets, or a substitute in tests and simulations.
type Transport struct {
	Datagrams net.PacketConn
	Streams   net.Listener
	// Dial opens a stream to an address.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
	// Addr converts an address to the type that Datagrams writes to.
	Addr func(addr string) (net.Addr, error)
}

func (t *Transport) close() {
	_ = t.Datagrams.Close()
	_ = t.Streams.Close()
}

// anyPortAttempts is how often Listen retries with another port if the port is 0.
const anyPortAttempts = 20

// Listen opens sockets for datagrams and streams at the same address and port.
func Listen(addr string) (Transport, error) {
	local, err := netip.ParseAddrPort(addr)
	if err != nil {
		return Transport{}, err
	}
	udp, tcp, err := listenBoth(local)
	if err != nil {
		return Transport{}, err
	}
	return Transport{Datagrams: udp, Streams: tcp, Dial: dialFrom(local.Addr()), Addr: resolveUDP}, nil
}

// listenBoth opens both sockets. If the port is 0, a port that is free for datagrams may be in use for streams;
// listenBoth then tries another one.
func listenBoth(local netip.AddrPort) (*net.UDPConn, *net.TCPListener, error) {
	for attempt := 0; ; attempt++ {
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
		if err != nil {
			return nil, nil, err
		}
		bound := udp.LocalAddr().(*net.UDPAddr).AddrPort()
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(bound))
		if err == nil {
			return udp, tcp, nil
		}
		_ = udp.Close()
		if local.Port() != 0 || attempt == anyPortAttempts {
			return nil, nil, err
		}
	}
}

// dialFrom returns a function that dials streams from the local address, as datagrams are sent from it: the receiver
// identifies the sender by this address.
func dialFrom(local netip.Addr) func(addr string, timeout time.Duration) (net.Conn, error) {
	base := net.Dialer{}
	if !local.IsUnspecified() {
		base.LocalAddr = &net.TCPAddr{IP: local.AsSlice(), Zone: local.Zone()}
	}
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		dialer := base
		dialer.Timeout = timeout
		return dialer.Dial("tcp", addr)
	}
}

func resolveUDP(addr string) (net.Addr, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return net.UDPAddrFromAddrPort(parsed), nil
}
