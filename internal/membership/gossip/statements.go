package gossip

import (
	"hash/maphash"
	"slices"

	"github.com/hashicorp/memberlist"

	"dahliapin/internal/membership"
)

// statementStore keeps the latest statement of each process as it arrived: statements go to others byte for byte, so
// that fields which this version doesn't know are not lost.
type statementStore struct {
	byProcess map[membership.ProcessID]storedStatement
	hashes    map[uint64]bool // of all that are stored: each statement arrives many times
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

// put stores a process's statement in place of an older one.
func (s *statementStore) put(process membership.ProcessID, message []byte) {
	delete(s.hashes, s.byProcess[process].hash)
	hash := maphash.Bytes(hashSeed, message)
	s.byProcess[process] = storedStatement{message: message, hash: hash}
	s.hashes[hash] = true
}

// keepOnly drops the statements of processes that are not known any more.
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

// all returns the stored statements in no order.
func (s *statementStore) all() [][]byte {
	messages := make([][]byte, 0, len(s.byProcess))
	for _, stored := range s.byProcess {
		messages = append(messages, stored.message)
	}
	return messages
}

// isStored reports whether exactly this statement is stored. Nothing new follows from it, and it need not be decoded
// again.
func (n *Node) isStored(message []byte) bool {
	hash := maphash.Bytes(hashSeed, message)
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	return n.state.statements.hashes[hash]
}

// mergeStatement takes a statement that has arrived, and passes it on where it is news. The bytes remain the caller's.
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

// broadcastOwnStatement has this process's statement passed on where it is new; the state is locked.
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

// storeAndBroadcast stores a statement and queues it to be passed on; the state is locked.
func (n *Node) storeAndBroadcast(process membership.ProcessID, message []byte) {
	n.state.statements.put(process, message)
	n.queue.QueueBroadcast(broadcast{process: process, message: message})
}

// broadcast is a statement in the library's queue.
type broadcast struct {
	process membership.ProcessID
	message []byte
}

// Invalidates implements memberlist.Broadcast: a newer statement of the same process takes an older one's place.
func (b broadcast) Invalidates(other memberlist.Broadcast) bool {
	older, ok := other.(broadcast)
	return ok && older.process == b.process
}

// Name implements memberlist.NamedBroadcast: by it the library finds what a statement takes the place of, without
// asking each that waits.
func (b broadcast) Name() string { return hexID(b.process) }

// Message implements memberlist.Broadcast.
func (b broadcast) Message() []byte { return b.message }

// Finished implements memberlist.Broadcast.
func (b broadcast) Finished() {}
