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
func (b *RegionNetwork) Delay(from, to int) time.Duration {
	if from == to {
		return intraRegionDelay
	}
	d := from - to
	if d < 0 {
		d = -d
	}
	return minRegionDelay + delayPerRegion*time.Duration(min(d, b.regions-d))
}

// SetCut cuts a region off from all others, or reconnects it.
func (b *RegionNetwork) SetCut(region int, is bool) { b.cut[region].Store(is) }

func (b *RegionNetwork) isCut(from, to int) bool {
	return from != to && (b.cut[from].Load() || b.cut[to].Load())
}

// Listen opens an address at which one region reaches a server in another one, and returns it. server is the server's
// own address.
func (b *RegionNetwork) Listen(from, to int, server string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	b.mu.Lock()
	b.listeners = append(b.listeners, l)
	b.mu.Unlock()
	b.done.Go(func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(acceptRetryPause)
				continue
			}
			if b.track(c) {
				b.done.Go(func() { b.stream(from, to, c, server) })
			}
		}
	})
	return l.Addr().String(), nil
}

// track registers a connection for Close. If the network is already closed it closes the connection and returns false.
func (b *RegionNetwork) track(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.closed:
		_ = c.Close()
		return false
	default:
	}
	b.conns[c] = true
	return true
}

// release closes a connection and removes its registration.
func (b *RegionNetwork) release(c net.Conn) {
	b.mu.Lock()
	delete(b.conns, c)
	b.mu.Unlock()
	_ = c.Close()
}

// wait waits for a duration. It returns false if the network is closed meanwhile.
func (b *RegionNetwork) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-b.closed:
		return false
	}
}

// retransmissionDelay draws the delay that lost packets cause to a chunk of the given size.
func (b *RegionNetwork) retransmissionDelay(chance *keyhash.Source, bytes int,
	first time.Duration) (late time.Duration) {
	if b.loss == 0 {
		return 0
	}
	p := 1 - math.Pow(1-b.loss, math.Ceil(float64(bytes)/segment))
	for n := 0; n < maxRetransmits && chance.Float64() < p; n++ {
		late += first
		first *= 2
		p = b.loss
		b.lost.Add(1)
	}
	return late
}

// stream forwards one connection until it ends.
func (b *RegionNetwork) stream(from, to int, near net.Conn, server string) {
	defer b.release(near)
	number := b.streams.Add(1)
	chance := keyhash.Source{Seed: uint32(keyhash.Salted(uint64(b.seed), int(number)))}
	if !b.wait(2*b.Delay(from, to) + b.retransmissionDelay(&chance, 1, synRetransmitDelay)) {
		return
	}
	for b.isCut(from, to) {
		if !b.wait(cutPollInterval) {
			return
		}
	}
	far, err := net.DialTimeout("tcp", server, time.Second)
	if err != nil || !b.track(far) {
		return
	}
	defer b.release(far)
	var both sync.WaitGroup
	both.Go(func() { b.carry(from, to, near, far, keyhash.Source{Seed: chance.Seed ^ 1}) })
	both.Go(func() { b.carry(to, from, far, near, keyhash.Source{Seed: chance.Seed ^ 2}) })
	both.Wait()
}

// piece is a part of a stream with its arrival time.
type piece struct {
	due  time.Time
	data []byte
}

// carry forwards one direction of a stream. The end of the stream is delayed like its data.
func (b *RegionNetwork) carry(from, to int, in, out net.Conn, chance keyhash.Source) {
	pieces := make(chan piece, maxChunksInFlight)
	go func() {
		defer close(pieces)
		buf := make([]byte, chunkBytes)
		for {
			n, err := in.Read(buf)
			if n > 0 {
				p := piece{
					due:  time.Now().Add(b.Delay(from, to) + b.retransmissionDelay(&chance, n, firstRetransmitDelay)),
					data: append([]byte(nil), buf[:n]...),
				}
				select {
				case pieces <- p:
				case <-b.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		if !b.wait(time.Until(p.due)) {
			break
		}
		for b.isCut(from, to) {
			if !b.wait(cutPollInterval) {
				break
			}
		}
		if _, err := out.Write(p.data); err != nil {
			break
		}
	}
	if b.wait(b.Delay(from, to)) {
		for b.isCut(from, to) && b.wait(cutPollInterval) {
		}
	}
	_ = out.Close()
	_ = in.Close()
	for range pieces { // unblocks the reader, which may be blocked on sending to the channel
	}
}

// Close closes all listeners and streams, and waits for their goroutines.
func (b *RegionNetwork) Close() {
	close(b.closed)
	b.mu.Lock()
	for _, l := range b.listeners {
		_ = l.Close()
	}
	for c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	b.done.Wait()
}
