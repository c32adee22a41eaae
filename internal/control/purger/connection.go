package purger

import (
	"errors"
	"fmt"
	"net"
	"time"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
	"dahliapin/internal/wire/meta"
)

const (
	dialTimeout    = 1500 * time.Millisecond
	writeTimeout   = 2 * time.Second // for a write of commands
	maxWriteBytes  = 16 << 10        // of commands in one write
	readBytes      = 4 << 10         // of answers in one read
	maxAnswerBytes = 8 << 10         // of an incomplete answer; no valid answer is as long
	idleInterval   = time.Minute     // between checks for due commands, if no time is known
)

var (
	errAnswerTimeout = fmt.Errorf("no answer to a command within %v", purge.AnswerTimeout)
	errStopped       = errors.New("cache left the list, moved or restarted")
	errBadAnswer     = errors.New("answer does not match the command that was sent")
)

// cache is a cache and its connection. The embedded purge.Cache (methods such as OnAnswer and NextCommand) decides what
// to send and what is done. The Purger's lock guards all fields that change.
type cache struct {
	*purge.Cache
	purger     *Purger
	id         purge.CacheID
	addr       string
	stop       chan struct{} // nil while not in the list; closed when the cache leaves the list, moves or restarts
	random     keyhash.Source
	answered   chan struct{} // signaled when answers have arrived
	answeredAt monotime.Instant
	reason     string       // why the last connection ended; empty after an answer
	saved      purge.Cursor // the cursor on disk
}

// update calls change, and reports the cursor if it changed. The caller must hold the lock.
func (c *cache) update(change func()) {
	before := c.Cursor()
	change()
	if c.purger.OnProgress != nil && c.Cursor() != before {
		c.purger.OnProgress(c.id, c.Cursor())
	}
}

// run opens a connection to addr when there is something to do, keeps it until it breaks, and then starts over, until
// stop is closed.
func (c *cache) run(addr string, stop chan struct{}) {
	p := c.purger
	for {
		p.mu.Lock()
		changed := p.changed
		idle := c.Idle(p.Log, &p.arrivals)
		p.mu.Unlock()
		if idle { // without a connection, since the cache may close an idle one
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

// disconnected records that a connection ended, and returns the delay until the next one. current is false if the run
// with this stop channel has ended or was replaced by another one.
func (c *cache) disconnected(stop chan struct{}, err error) (delay time.Duration, current bool) {
	c.purger.mu.Lock()
	defer c.purger.mu.Unlock()
	if c.stop != stop {
		return 0, false
	}
	c.reason = truncatedReason(err)
	return c.OnDisconnect(c.purger.Now(), c.random.Float64()), true
}

// serve sends commands over a connection until it fails, and returns the reason.
func (c *cache) serve(conn net.Conn, stop chan struct{}) error {
	broken := make(chan error, 1)
	c.purger.goroutines.Go(func() { broken <- c.readAnswers(conn, stop) }) // ends when run closes the connection
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
			return errStopped
		}
	}
}

// dueCommands holds the encoded commands that are due, or else how long to wait for one and what signals new entries.
type dueCommands struct {
	commands []byte
	wait     time.Duration
	changed  <-chan struct{}
}

// collectDue returns the commands that are due. It returns an error if an answer is overdue, or if the cache is no
// longer listed.
func (c *cache) collectDue(stop chan struct{}) (dueCommands, error) {
	p := c.purger
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stop != stop {
		return dueCommands{}, errStopped
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

// readAnswers reads answers until the connection fails, and returns the reason. Each answer must match the command that
// is next in order; accepting any other could count a purge as done that is not.
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
			id, flushed, size, err := meta.ReadDeleteResponse(unread)
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

// handleAnswer handles the answer to a flush, or to the delete with the given id. It returns false if no answer, or
// that to another command, is due.
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
