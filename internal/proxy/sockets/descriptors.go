package sockets

import "errors"

const (
	// ownDescriptors is how many descriptors are not for connections: poller, listener, log, runtime.
	ownDescriptors = 24

	// dialReserve is how many descriptors are kept from clients, so that attempts can be sent.
	dialReserve = 8

	// minDescriptors is the least limit of descriptors for connections.
	minDescriptors = 16
)

// ErrNoDescriptor says that the limit of descriptors is reached.
var ErrNoDescriptor = errors.New("all descriptors are in use")

// SetDescriptorLimit sets how many descriptors the process may have from now on, its own among them.
// At least minDescriptors are for connections.
func (e *Engine) SetDescriptorLimit(descriptors int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.descriptorLimit.Store(int64(max(minDescriptors, descriptors-e.reservedDescriptors)))
	e.changed.Broadcast() // the acceptor may wait for a descriptor that there is now
}

// OverClientLimit tells whether more connections are open than clients may have: the limit was lowered.
func (e *Engine) OverClientLimit() bool { return e.openDescriptors.Load() > e.clientLimit() }

// MaxClients returns how many connections there may be before clients have to wait.
func (e *Engine) MaxClients() int { return int(e.clientLimit()) }

func (e *Engine) clientLimit() int64 { return e.descriptorLimit.Load() - dialReserve }

// ClientWaiting tells whether a client waits for a descriptor, and still has to.
func (e *Engine) ClientWaiting() bool { return e.clientWaits.Load() && e.OverClientLimit() }

// descriptorFreed counts a descriptor as free.
func (e *Engine) descriptorFreed() {
	e.openDescriptors.Add(-1)
	e.mu.Lock()
	e.changed.Broadcast()
	e.mu.Unlock()
}

// waitForDescriptor holds the acceptor while the limit is reached, and wakes the loop to close idle connections.
func (e *Engine) waitForDescriptor() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.OverClientLimit() && !e.stopped {
		e.clientWaits.Store(true)
		e.wakeLoop()
		e.changed.Wait()
	}
	e.clientWaits.Store(false)
}
