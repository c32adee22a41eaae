package membership

// ProcessID identifies one process. Each process draws a random ID when it starts; 0 is not a valid ID.
type ProcessID uint64

// NodeName is the name that the operator gave to a node. It stays the same when the process restarts.
type NodeName string

// Incarnation numbers the processes of a node: each takes the number after its predecessor's. It is 0 for a process
// that has not claimed its name yet.
type Incarnation uint32

// Revision numbers the statements of one process. Of two statements the one with the higher revision is in force.
type Revision uint64
