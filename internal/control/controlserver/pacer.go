package controlserver

import (
	"sync"
	"time"
)

// maxPacerBurst is how much unused time a pacer saves up.
const maxPacerBurst = 100 * time.Millisecond

// pacer bounds the bytes a second that go to all followers that catch up, so that a server which many nodes have just
// chosen does not fill its link and delay raft's heartbeats.
type pacer struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time // when what was reserved before has gone
}

// reserve returns how long to wait before so many bytes may go; zero or less for not at all.
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
