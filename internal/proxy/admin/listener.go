package admin

import (
	"errors"
	"net"
	"time"
)

// acceptRetryPause is the pause after an accept that failed, so that the server does not spin.
const acceptRetryPause = 5 * time.Millisecond

// retryingListener accepts until it is closed, whatever fails meanwhile. Guards against net/http, which stops serving
// for good at any error that it does not know to be temporary, such as ENOBUFS.
type retryingListener struct{ net.Listener }

// Accept returns the next connection. Its error is always net.ErrClosed.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		time.Sleep(acceptRetryPause)
	}
}
