package membership

// Status is the state of a process in a view.
type Status int

// The statuses of a process. Only those that are Alive or Suspected are members. The word in quotes is the one that
// operators see.
const (
	Joining   Status = iota // "joining": known; not yet heard by enough, or without its name yet
	Alive                   // "present": a member
	Suspected               // "suspected": a member that some neighbour misses
	Removed                 // "cut": more neighbours miss it than hear it, for long enough
	Left                    // "left": it has shut down in order or is on standby
	Forgotten               // "gone": no longer known, or another process has its name
)

// String returns the name that operators see.
func (s Status) String() string {
	return [...]string{"joining", "present", "suspected", "cut", "left", "gone"}[s]
}
