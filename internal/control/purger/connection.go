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
	dialTimeout    = 1500 * time.Millisecond
	writeTimeout   = 2 * time.Second // for commands to be taken
	maxWriteBytes  = 16 << 10        // of commands at once
	readBytes      = 4 << 10         // of answers at once
	maxAnswerBytes = 8 << 10         // of an answer that has not arrived whole: none is that long
	idleInterval   = time.Minute     // between two looks at what is due, where nothing says when
)

var (
	errAnswerTimeout = errors.New("no answer in time")
	errUnlisted      = errors.New("it left the list")
	errBadAnswer     = errors.New("an answer that is none to what was sent")
)

// cache is a cache and its connection. All fields are under the Purger's lock, but for what is set once.
type cache struct {
	*purge.Cache
	purger     *Purger
	id         purge.CacheID
	addr       string
	stop       chan struct{} // nil while it is not in the list; closed when it leaves the list, or moves
	random     keyhash.Source
	answered   chan struct{} // holds a value when an answer has arrived
	answeredAt monotime.Instant
	reason     string       // why the last connection ended; empty once something was answered
	saved      purge.Cursor // as on disk
}

// update does something by which the cursor may change, and reports it. The lock is held.
func (c *cache) update(change func()) {
	before := c.Cursor()
	change()
	if c.purger.OnProgress != nil && c.Cursor() != before {
		c.purger.OnProgress(c.id, c.Cursor())
	}
}

// run keeps a connection to an address while there is something to do, until stop is closed.
func (c *cache) run(addr string, stop chan struct{}) {
	p := c.purger
	for {
		p.mu.Lock()
		changed := p.changed
		idle := c.Idle(p.Log, &p.arrivals)
		p.mu.Unlock()
		if idle { // the cache may close its side meanwhile
			select {
			case <-changed:
				continue
			case <-stop:
				return
			}
		}
		conn, err := p.Dial(addr, dialTimeout)
		if err == nil {
			err = c.serve(conn, stop)
			_ = conn.Close()
		}
		delay, current := c.disconnected(stop, err)
		if !current {
			return
		}
		select {
		case <-time.After(delay):
		case <-stop:
			return
		}
	}
}

// disconnected notes that a connection ended, and returns the delay until the next one. It is not current any more
// where another run has taken the place of the one with this stop.
func (c *cache) disconnected(stop chan struct{}, err error) (delay time.Duration, current bool) {
	c.purger.mu.Lock()
	defer c.purger.mu.Unlock()
	if c.stop != stop {
		return 0, false
	}
	c.reason = truncatedReason(err)
	return c.OnDisconnect(c.purger.Now(), c.random.Float64()), true
}

// serve sends commands over a connection until it breaks, and returns why.
func (c *cache) serve(conn net.Conn, stop chan struct{}) error {
	broken := make(chan error, 1)
	c.purger.goroutines.Go(func() { broken <- c.readAnswers(conn, stop) }) // it ends when run closes the connection
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		due, err := c.collectDue(stop)
		if err != nil {
			return err
		}
		if len(due.commands) > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(due.commands); err != nil {
				return err
			}
			continue
		}
		timer.Reset(due.wait)
		select {
		case <-timer.C:
		case <-due.changed:
		case <-c.answered:
		case err := <-broken:
			return err
		case <-stop:
			return errUnlisted
		}
	}
}

// dueCommands are encoded commands that are due; where there are none, how long to wait for one, or for more entries.
type dueCommands struct {
	commands []byte
	wait     time.Duration
	changed  <-chan struct{}
}

// collectDue returns the commands that are due. It is an error if an answer is overdue, or the cache is no longer
// listed.
func (c *cache) collectDue(stop chan struct{}) (dueCommands, error) {
	p := c.purger
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stop != stop {
		return dueCommands{}, errUnlisted
	}
	now := p.Now()
	if c.AnswerOverdue(now) {
		return dueCommands{}, errAnswerTimeout
	}
	due := dueCommands{wait: idleInterval, changed: p.changed}
	for len(due.commands) < maxWriteBytes {
		var command purge.Command
		var ready bool
		var askAgain monotime.Instant
		c.update(func() { command, ready, askAgain = c.NextCommand(now, p.Log, &p.arrivals, &p.limiter) })
		if !ready {
			if askAgain > 0 {
				due.wait = max(0, askAgain.Since(now))
			}
			break
		}
		if command.Kind >= purge.Flush {
			due.commands = append(due.commands, meta.FlushAll...)
		} else {
			due.commands = meta.AppendDelete(due.commands, command.Key, uint64(command.Index))
		}
	}
	return due, nil
}

// readAnswers reads answers until the connection breaks, and returns why. Each has to be the one to the command that
// is due: anything else could make a purge count as done that is not.
func (c *cache) readAnswers(conn net.Conn, stop chan struct{}) error {
	buffer := make([]byte, readBytes)
	var unread []byte
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return err
		}
		unread = append(unread, buffer[:n]...)
		if len(unread) > maxAnswerBytes {
			return errBadAnswer
		}
		for len(unread) > 0 {
			id, flushed, size, err := meta.ReadDeleted(unread)
			if err != nil {
				return err
			}
			if size == 0 {
				break
			}
			unread = unread[size:]
			if !c.handleAnswer(stop, id, flushed) {
				return errBadAnswer
			}
		}
		select {
		case c.answered <- struct{}{}:
		default:
		}
	}
}

// handleAnswer takes the answer to a flush, or to the delete with an id; false where another one is due.
func (c *cache) handleAnswer(stop chan struct{}, id uint64, flushed bool) bool {
	p := c.purger
	p.mu.Lock()
	defer p.mu.Unlock()
	due, awaiting := c.AwaitingAnswer()
	if c.stop != stop || !awaiting || flushed != (due.Kind >= purge.Flush) {
		return false
	}
	if !flushed && id != uint64(due.Index) {
		return false
	}
	c.answeredAt = p.Now()
	c.reason = ""
	c.update(func() { c.OnAnswer(p.Log, &p.arrivals) })
	return true
}
