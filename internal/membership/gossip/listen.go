package gossip

import (
	"net"
	"net/netip"
	"time"
)

// Transport is what datagrams and streams go over: sockets, or what tests and simulations have in their place.
type Transport struct {
	Datagrams net.PacketConn
	Streams   net.Listener
	// Dial opens a stream to an address.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
	// Addr returns an address in the form that Datagrams writes to.
	Addr func(addr string) (net.Addr, error)
}

func (t *Transport) close() {
	_ = t.Datagrams.Close()
	_ = t.Streams.Close()
}

// anyPortAttempts is how often another port is tried where any will do.
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

// listenBoth opens both sockets. Where any port will do, one that is free for datagrams may not be for streams:
// another is tried then.
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

// dialFrom returns a dialer of streams that come from the address which others know, as datagrams do: who accepts
// one identifies the sender by it.
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
