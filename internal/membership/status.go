package membership

// Status is the state of a process in a view.
type Status int

// The statuses of a process. Only those that are Alive or Suspected are members.
const (
	Joining   Status = iota // known; not yet heard by enough, or without its name yet
	Alive                   // a member
	Suspected               // a member that some neighbour misses
	Removed                 // more neighbours miss it than hear it, for long enough
	Left                    // it has shut down in order or is on standby
	Forgotten               // no longer known, or another process has its name
)

// String returns the name that operators see.
func (s Status) String() string {
	return [...]string{"joining", "present", "suspected", "cut", "left", "gone"}[s]
}
