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
	chunkBytes           = 16 << 10               // of a stream, read and forwarded at a time
	segment              = 1448                   // payload bytes of a packet
	firstRetransmitDelay = 200 * time.Millisecond // a usual first retransmission time-out of TCP, doubled each time
	synRetransmitDelay   = time.Second            // the same for the SYN
	maxRetransmits       = 4                      // consecutive losses of one packet
	maxChunksInFlight    = 64                     // in flight per direction; the sender then blocks, as with a full window
	cutPollInterval      = 10 * time.Millisecond  // interval at which a stalled stream checks the partition
	intraRegionDelay     = time.Millisecond       // one way, within a region
	minRegionDelay       = 10 * time.Millisecond  // one way, to another region, plus
	delayPerRegion       = 12 * time.Millisecond  // for each region of distance along the shorter way around the ring
	acceptRetryPause     = 20 * time.Millisecond  // after a failed accept
)

// RegionNetwork emulates the network between regions, for streams: it listens on loopback for each pair of a region and
// a server elsewhere, and forwards with the delay between the two. A packet of 1,448 bytes is lost by chance, which
// delays the stream by a retransmission time-out, as all that was sent after it waits. While a region is cut off, all
// of its streams to others stall, and connections that are opened or closed meanwhile stay unnoticed at the other end.
type RegionNetwork struct {
	regions   int
	loss      float64
	seed      uint32
	streams   atomic.Uint32
	lost      atomic.Uint64
	cut       []atomic.Bool
	closed    chan struct{}
	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
	done      sync.WaitGroup
}

// NewRegionNetwork returns a network without partitions. Loss is the share of packets that are lost.
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

// SetCut partitions a region from all others, or heals the partition.
func (b *RegionNetwork) SetCut(region int, is bool) { b.cut[region].Store(is) }

func (b *RegionNetwork) isCut(from, to int) bool {
	return from != to && (b.cut[from].Load() || b.cut[to].Load())
}

// Listen opens an address at which one region reaches a server in another, whose own address is given.
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

func (b *RegionNetwork) release(c net.Conn) {
	b.mu.Lock()
	delete(b.conns, c)
	b.mu.Unlock()
	_ = c.Close()
}

// wait waits, and reports whether the network is still open then.
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

// retransmissionDelay returns the delay that lost packets cause for a chunk of the given size.
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

type piece struct {
	due  time.Time
	data []byte
}

// carry forwards one direction of a stream. Its closing is delayed like its data.
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
	for range pieces { // unblocks the reader, which may be blocked on a send
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
