package membership

// Status is the state of a process in a view.
type Status int

// The statuses of a process. Only Alive and Suspected processes are members. The quoted word is the name that operators
// see.
const (
	Joining   Status = iota // "joining": known, but not heard by enough processes yet or without its name
	Alive                   // "present": a member
	Suspected               // "suspected": a member that at least one neighbour misses
	Removed                 // "cut": more neighbours miss it than hear it, for RemovalDelay
	Left                    // "left": it has shut down gracefully or is on standby
	Forgotten               // "gone": no longer known, or another process has its name
)

// String returns the name that operators see.
func (s Status) String() string {
	return [...]string{"joining", "present", "suspected", "cut", "left", "gone"}[s]
}
