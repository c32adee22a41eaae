package membership

// ProcessID identifies one process. Each process draws it at random when it starts; 0 is no process.
type ProcessID uint64

// NodeName is the operator's name of a node. It stays the same over restarts of the process.
type NodeName string

// Incarnation counts the processes of a node: each takes the one after its predecessor's. 0 is that of a process that
// has not taken its name yet.
type Incarnation uint32

// Revision counts the statements of one process: of two statements the one with the higher revision holds.
type Revision uint64
