package controlserver

import (
	"sync"
	"time"
)

// maxPacerBurst is how much unused time a pacer accumulates.
const maxPacerBurst = 100 * time.Millisecond

// pacer limits the combined send rate to all followers that catch up, so that a server to which many nodes have just
// connected does not saturate its link and delay raft's heartbeats.
type pacer struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time // when all bytes reserved so far will have been sent
}

// reserve reserves capacity for some bytes and returns how long to wait before sending them; zero or less for no wait.
func (p *pacer) reserve(bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if earliest := now.Add(-maxPacerBurst); p.freeAt.Before(earliest) {
		p.freeAt = earliest
	}
	wait := p.freeAt.Sub(now)
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second)))
	return wait
}
