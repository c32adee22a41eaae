package metrics

import (
	"strconv"
	"strings"
	"time"
)

// Snapshot is a copy of a node's figures as they stood at one moment. The loop hands out a new one each time; nobody changes it.
type Snapshot struct {
	At                   time.Time // by the monotonic clock: how fresh it is
	Serving              bool      // clients are taken, and their requests served
	Phase                string
	Classes              []ClassSnapshot
	Attempts             uint64 // written whole to servers
	Pending              int    // requests taken and not ended
	Members, Unavailable int    // caches in the list, and those of them that the node avoids
}

// ClassSnapshot counts final answers of one service grade.
type ClassSnapshot struct {
	Name                        string
	Satisfied, Rejected, Failed uint64
}

// plain keeps a grade's name from ending its field or line.
var plain = strings.NewReplacer(".", "_", ":", "_", "|", "_", " ", "_", "\t", "_", "\r", "_", "\n", "_")

// Text writes the figures a line each, as name, value and kind: c counts since the start, g is as it stands.
func (s *Snapshot) Text() []byte {
	var b []byte
	line := func(kind string, n uint64, name ...string) {
		b = append(b, "svc"...)
		for _, part := range name {
			b = append(append(b, '.'), plain.Replace(part)...)
		}
		b = append(append(append(strconv.AppendUint(append(b, ':'), n, 10), '|'), kind...), '\n')
	}
	for _, g := range s.Classes {
		line("c", g.Satisfied, "downstream_requests", g.Name, "completed")
		line("c", g.Rejected, "downstream_requests", g.Name, "rejected")
		line("c", g.Failed, "downstream_requests", g.Name, "failed")
	}
	line("c", s.Attempts, "upstream_requests")
	line("g", uint64(s.Pending), "pending")
	line("g", uint64(s.Members), "members")
	line("g", uint64(s.Unavailable), "members_unavailable")
	return b
}
