package rig

import (
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	chunkBytes           = 16 << 10               // maximum size of a part of a stream that is forwarded at a time
	segment              = 1448                   // payload bytes of a packet
	firstRetransmitDelay = 200 * time.Millisecond // typical initial retransmission timeout of TCP, doubled each time
	synRetransmitDelay   = time.Second            // initial retransmission timeout of a SYN
	maxRetransmits       = 4                      // maximum number of consecutive losses of a packet
	maxChunksInFlight    = 64                     // per direction; the sender then blocks, as with a full window
	cutPollInterval      = 10 * time.Millisecond  // interval at which a stalled stream checks for the partition's end
	intraRegionDelay     = time.Millisecond       // one-way delay within a region
	minRegionDelay       = 10 * time.Millisecond  // base of the one-way delay to another region
	delayPerRegion       = 12 * time.Millisecond  // added per region of distance, along the shorter way around the ring
	acceptRetryPause     = 20 * time.Millisecond  // pause after a failed accept
)

// RegionNetwork emulates the network between regions for streams. It listens on loopback for each pair of a region and
// a server, and forwards with the delay between their regions. Packets of 1,448 bytes are lost at random. A loss delays
// the stream by a retransmission timeout, as later data waits for the lost packet. While a region is cut off, all of
// its streams to other regions stall, and the other end does not notice that connections are opened or closed.
type RegionNetwork struct {
	regions   int
	loss      float64
	seed      uint32
	streams   atomic.Uint32 // number of streams so far, from which each derives its seed
	lost      atomic.Uint64 // number of lost packets
	cut       []atomic.Bool // by region
	closed    chan struct{}
	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool // open connections, which Close closes
	done      sync.WaitGroup    // goroutines of listeners and streams
}

// NewRegionNetwork returns a network without partitions. loss is the share of packets that are lost.
func NewRegionNetwork(regions int, loss float64, seed uint32) *RegionNetwork {
	return &RegionNetwork{
		regions: regions,
		loss:    loss,
		seed:    seed,
		cut:     make([]atomic.Bool, regions),
		closed:  make(chan struct{}),
		conns:   map[net.Conn]bool{},
	}
}

// Delay returns the one-way delay from one region to another.
func (n *RegionNetwork) Delay(from, to int) time.Duration {
	if from == to {
		return intraRegionDelay
	}
	d := from - to
	if d < 0 {
		d = -d
	}
	return minRegionDelay + delayPerRegion*time.Duration(min(d, n.regions-d))
}

// SetCut cuts a region off from all others, or reconnects it.
func (n *RegionNetwork) SetCut(region int, is bool) { n.cut[region].Store(is) }

func (n *RegionNetwork) isCut(from, to int) bool {
	return from != to && (n.cut[from].Load() || n.cut[to].Load())
}

// Listen opens an address at which one region reaches a server in another one, and returns it. server is the server's
// own address.
func (n *RegionNetwork) Listen(from, to int, server string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.done.Go(func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(acceptRetryPause)
				continue
			}
			if n.track(c) {
				n.done.Go(func() { n.forwardStream(from, to, c, server) })
			}
		}
	})
	return l.Addr().String(), nil
}

// track registers a connection for Close. If the network is already closed it closes the connection and returns false.
func (n *RegionNetwork) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.closed:
		_ = c.Close()
		return false
	default:
	}
	n.conns[c] = true
	return true
}

// closeConn closes a connection and removes its registration.
func (n *RegionNetwork) closeConn(c net.Conn) {
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	_ = c.Close()
}

// wait waits for a duration. It returns false if the network is closed meanwhile.
func (n *RegionNetwork) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-n.closed:
		return false
	}
}

// retransmissionDelay draws the delay that lost packets cause to a chunk of the given size.
func (n *RegionNetwork) retransmissionDelay(chance *keyhash.Source, bytes int,
	first time.Duration) (late time.Duration) {
	if n.loss == 0 {
		return 0
	}
	p := 1 - math.Pow(1-n.loss, math.Ceil(float64(bytes)/segment))
	for losses := 0; losses < maxRetransmits && chance.Float64() < p; losses++ {
		late += first
		first *= 2
		p = n.loss
		n.lost.Add(1)
	}
	return late
}

// forwardStream forwards one connection until it ends.
func (n *RegionNetwork) forwardStream(from, to int, near net.Conn, server string) {
	defer n.closeConn(near)
	number := n.streams.Add(1)
	chance := keyhash.Source{Seed: uint32(keyhash.Salted(uint64(n.seed), int(number)))}
	if !n.wait(2*n.Delay(from, to) + n.retransmissionDelay(&chance, 1, synRetransmitDelay)) {
		return
	}
	for n.isCut(from, to) {
		if !n.wait(cutPollInterval) {
			return
		}
	}
	far, err := net.DialTimeout("tcp", server, time.Second)
	if err != nil || !n.track(far) {
		return
	}
	defer n.closeConn(far)
	var both sync.WaitGroup
	both.Go(func() { n.forward(from, to, near, far, keyhash.Source{Seed: chance.Seed ^ 1}) })
	both.Go(func() { n.forward(to, from, far, near, keyhash.Source{Seed: chance.Seed ^ 2}) })
	both.Wait()
}

// chunk is a part of a stream with its arrival time.
type chunk struct {
	due  time.Time
	data []byte
}

// forward forwards one direction of a stream. The end of the stream is delayed like its data.
func (n *RegionNetwork) forward(from, to int, in, out net.Conn, chance keyhash.Source) {
	chunks := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(chunks)
		buf := make([]byte, chunkBytes)
		for {
			size, err := in.Read(buf)
			if size > 0 {
				p := chunk{
					due: time.Now().Add(
						n.Delay(from, to) + n.retransmissionDelay(&chance, size, firstRetransmitDelay)),
					data: append([]byte(nil), buf[:size]...),
				}
				select {
				case chunks <- p:
				case <-n.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range chunks {
		if !n.wait(time.Until(p.due)) {
			break
		}
		for n.isCut(from, to) {
			if !n.wait(cutPollInterval) {
				break
			}
		}
		if _, err := out.Write(p.data); err != nil {
			break
		}
	}
	if n.wait(n.Delay(from, to)) {
		for n.isCut(from, to) && n.wait(cutPollInterval) {
		}
	}
	_ = out.Close()
	_ = in.Close()
	for range chunks { // unblocks the reader, which may be blocked on sending to the channel
	}
}

// Close closes all listeners and streams, and waits for their goroutines.
func (n *RegionNetwork) Close() {
	close(n.closed)
	n.mu.Lock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for c := range n.conns {
		_ = c.Close()
	}
	n.mu.Unlock()
	n.done.Wait()
}
