package sockets

import "errors"

const (
	// ownDescriptors is the number of descriptors used by the process itself: the poller, a listener, the log and the
	// runtime.
	ownDescriptors = 24

	// dialReserve is the number of descriptors reserved for dialing, so that clients cannot keep attempts from being
	// sent.
	dialReserve = 8

	// minDescriptors is the lower bound of the limit of descriptors for connections.
	minDescriptors = 16
)

// ErrNoDescriptor is returned by Dial while the limit of descriptors is reached.
var ErrNoDescriptor = errors.New("limit of file descriptors reached")

// SetDescriptorLimit sets the number of descriptors that the process may use, including those that are not for
// connections. At least minDescriptors remain for connections.
func (e *Engine) SetDescriptorLimit(descriptors int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.descriptorLimit.Store(int64(max(minDescriptors, descriptors-e.reservedDescriptors)))
	e.stateChanged.Broadcast() // an acceptor may be waiting for a descriptor
}

// OverClientLimit reports whether more connections are open than the clients' limit allows, as after the limit was
// lowered.
func (e *Engine) OverClientLimit() bool { return e.openDescriptors.Load() > e.clientLimit() }

// MaxClients returns the number of open connections above which new clients have to wait.
func (e *Engine) MaxClients() int { return int(e.clientLimit()) }

func (e *Engine) clientLimit() int64 { return e.descriptorLimit.Load() - dialReserve }

// ClientWaiting reports whether a client waits for a descriptor and none is free for it yet.
func (e *Engine) ClientWaiting() bool { return e.clientWaiting.Load() && e.OverClientLimit() }

// descriptorFreed counts one open descriptor less, and wakes the acceptors.
func (e *Engine) descriptorFreed() {
	e.openDescriptors.Add(-1)
	e.mu.Lock()
	e.stateChanged.Broadcast()
	e.mu.Unlock()
}

// waitForDescriptor blocks an acceptor while the clients' limit is exceeded, and wakes the loop, which closes idle
// connections.
func (e *Engine) waitForDescriptor() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.OverClientLimit() && !e.stopped {
		e.clientWaiting.Store(true)
		e.wakeLoop()
		e.stateChanged.Wait()
	}
	e.clientWaiting.Store(false)
}
