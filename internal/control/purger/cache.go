package purger

import (
	"errors"
	"net"
	"time"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
	"dahliapin/internal/wire/meta"
)

const (
	dialBy      = 1500 * time.Millisecond
	writeBy     = 2 * time.Second // for commands to be taken
	writeAtOnce = 16 << 10        // bytes of commands
	readAtOnce  = 4 << 10         // bytes of answers
	mostUnread  = 8 << 10         // of an answer that has not come whole: none is as long
	lookAgain   = time.Minute     // where nothing says when
)

// cache is what is known of one, and its connection's goroutines while it is in the list. All fields are under the purger's lock.
type cache struct {
	*purge.Cache
	p      *Purger
	id     purge.CacheID
	addr   string
	stop   chan struct{} // nil while it is not in the list; closed when it leaves
	chance keyhash.Source
	nudge  chan struct{} // an answer came
	heard  monotime.Instant
	reason string
	saved  purge.Cursor
}

// moves does something by which the cursor may move, and tells of it.
func (c *cache) moves(do func()) {
	before := c.Cursor()
	if do(); c.p.OnProgress != nil && c.Cursor() != before {
		c.p.OnProgress(c.id, c.Cursor())
	}
}

var (
	errSilent = errors.New("no answer in time")
	errLeft   = errors.New("it left the list")
)

// run keeps a connection while there is something to do.
func (c *cache) run(addr string, stop chan struct{}) {
	p := c.p
	defer p.done.Done()
	for {
		p.mu.Lock()
		fresh, idle := p.fresh, c.Idle(p.Log, &p.times)
		p.mu.Unlock()
		if idle { // the cache closed it, or it is new
			select {
			case <-fresh:
				continue
			case <-stop:
				return
			}
		}
		conn, err := p.Dial(addr, dialBy)
		if err == nil {
			err = c.over(conn, stop)
			_ = conn.Close()
		}
		p.mu.Lock()
		if c.stop != stop { // another run has its place
			p.mu.Unlock()
			return
		}
		rest := c.OnDisconnect(p.Now(), c.chance.Float64())
		c.reason = short(err)
		p.mu.Unlock()
		select {
		case <-time.After(rest):
		case <-stop:
			return
		}
	}
}

// over carries purges out over a connection until it breaks.
func (c *cache) over(conn net.Conn, stop chan struct{}) error {
	p := c.p
	broke := make(chan error, 1)
	go func() { broke <- c.read(conn, stop) }()
	timer := time.NewTimer(lookAgain)
	defer timer.Stop()
	for {
		var out []byte
		var again monotime.Instant
		p.mu.Lock()
		if c.stop != stop {
			p.mu.Unlock()
			return errLeft
		}
		now, fresh := p.Now(), p.fresh
		silent := c.AnswerOverdue(now)
		for is := true; is && len(out) < writeAtOnce && !silent; {
			var cmd purge.Command
			c.moves(func() { cmd, is, again = c.NextCommand(now, p.Log, &p.times, &p.gate) })
			switch {
			case is && cmd.Kind >= purge.Flush:
				out = append(out, meta.FlushAll...)
			case is:
				out = meta.AppendDelete(out, cmd.Key, uint64(cmd.Index))
			}
		}
		p.mu.Unlock()
		if silent {
			return errSilent
		}
		if len(out) > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(writeBy))
			if _, err := conn.Write(out); err != nil {
				return err
			}
			continue
		}
		wait := lookAgain
		if again > 0 {
			wait = max(0, again.Since(now))
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-fresh:
		case <-c.nudge:
		case err := <-broke:
			return err
		case <-stop:
			return errLeft
		}
	}
}

// read takes answers: each has to be that to the command which is due.
func (c *cache) read(conn net.Conn, stop chan struct{}) error {
	p, in, held := c.p, make([]byte, readAtOnce), []byte(nil)
	for {
		n, err := conn.Read(in)
		if err != nil {
			return err
		}
		if held = append(held, in[:n]...); len(held) > mostUnread {
			return errSaid
		}
		for len(held) > 0 {
			id, flushed, size, err := meta.ReadDeleted(held)
			if err != nil {
				return err
			}
			if size == 0 {
				break
			}
			held = held[size:]
			p.mu.Lock()
			due, is := c.AwaitingAnswer()
			ok := c.stop == stop && is && flushed == (due.Kind >= purge.Flush) && (flushed || id == uint64(due.Index))
			if ok {
				c.heard, c.reason = p.Now(), ""
				c.moves(func() { c.OnAnswer(p.Log, &p.times) })
			}
			p.mu.Unlock()
			if !ok {
				return errSaid
			}
		}
		select {
		case c.nudge <- struct{}{}:
		default:
		}
	}
}
