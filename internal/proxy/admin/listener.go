package admin

import (
	"errors"
	"net"
	"time"
)

// acceptRetryPause is the pause after a failed accept. It prevents a busy loop.
const acceptRetryPause = 5 * time.Millisecond

// retryingListener retries failed accepts until it is closed. Without it net/http would stop serving for good after any
// error that it does not consider temporary, such as ENOBUFS.
type retryingListener struct{ net.Listener }

// Accept returns the next connection. Its only error is net.ErrClosed.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		time.Sleep(acceptRetryPause)
	}
}
