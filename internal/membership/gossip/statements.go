package gossip

import (
	"hash/maphash"
	"slices"

	"github.com/hashicorp/memberlist"

	"dahliapin/internal/membership"
)

// statementStore keeps the latest statement of each process as it was received. Statements are forwarded byte for byte,
// so that fields unknown to this version are not lost.
type statementStore struct {
	byProcess map[membership.ProcessID]storedStatement
	hashes    map[uint64]bool // of all stored statements, to recognise the many duplicates that arrive
}

type storedStatement struct {
	message []byte
	hash    uint64
}

var hashSeed = maphash.MakeSeed()

func newStatementStore() statementStore {
	return statementStore{
		byProcess: map[membership.ProcessID]storedStatement{},
		hashes:    map[uint64]bool{},
	}
}

func (s *statementStore) len() int { return len(s.byProcess) }

// put stores a statement of a process in place of the previous one.
func (s *statementStore) put(process membership.ProcessID, message []byte) {
	delete(s.hashes, s.byProcess[process].hash)
	hash := maphash.Bytes(hashSeed, message)
	s.byProcess[process] = storedStatement{message: message, hash: hash}
	s.hashes[hash] = true
}

// keepOnly removes the statements of processes that are no longer known.
func (s *statementStore) keepOnly(own membership.ProcessID, members []membership.Member) {
	known := map[membership.ProcessID]bool{own: true}
	for _, m := range members {
		known[m.Process] = true
	}
	for process, stored := range s.byProcess {
		if !known[process] {
			delete(s.hashes, stored.hash)
			delete(s.byProcess, process)
		}
	}
}

// all returns the stored statements in no particular order.
func (s *statementStore) all() [][]byte {
	messages := make([][]byte, 0, len(s.byProcess))
	for _, stored := range s.byProcess {
		messages = append(messages, stored.message)
	}
	return messages
}

// isStored reports whether exactly this statement is stored. Such a statement has no effect and need not be decoded
// again.
func (n *Node) isStored(message []byte) bool {
	hash := maphash.Bytes(hashSeed, message)
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	return n.state.statements.hashes[hash]
}

// mergeStatement handles a statement that has arrived, and forwards it if it is new. It does not retain the slice.
func (n *Node) mergeStatement(message []byte) {
	if n.isStored(message) {
		return
	}
	message = slices.Clone(message)
	statement, err := decodeStatement(message)
	if err != nil {
		n.unreadable.Add(1)
		return
	}
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	if n.state.detector.Merge(statement) {
		n.storeAndBroadcast(statement.Process, message)
	}
}

// broadcastOwnStatement gossips this process's statement if it has changed. The caller must hold the lock of the state.
func (n *Node) broadcastOwnStatement() {
	own, isNew := n.state.detector.OwnStatement()
	if !isNew {
		return
	}
	message, err := encodeStatement(own)
	if err != nil {
		return
	}
	n.storeAndBroadcast(own.Process, message)
}

// storeAndBroadcast stores a statement and queues it for gossip. The caller must hold the lock of the state.
func (n *Node) storeAndBroadcast(process membership.ProcessID, message []byte) {
	n.state.statements.put(process, message)
	n.queue.QueueBroadcast(broadcast{process: process, message: message})
}

// broadcast is a statement in the library's queue.
type broadcast struct {
	process membership.ProcessID
	message []byte
}

// Invalidates implements memberlist.Broadcast: a newer statement of a process replaces the older one in the queue.
func (b broadcast) Invalidates(other memberlist.Broadcast) bool {
	older, ok := other.(broadcast)
	return ok && older.process == b.process
}

// Name implements memberlist.NamedBroadcast: the library looks up the statement to be replaced by this name instead of
// comparing all that are queued.
func (b broadcast) Name() string { return hexID(b.process) }

// Message implements memberlist.Broadcast.
func (b broadcast) Message() []byte { return b.message }

// Finished implements memberlist.Broadcast.
func (b broadcast) Finished() {}
