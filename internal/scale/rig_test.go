package scale

import (
	"path/filepath"
	"testing"
	"time"
)

// A node whose process could not be started was returned with the error, and stopping it panicked.
func TestStartRealNodeReturnsNoNodeOnFailure(t *testing.T) {
	dir := t.TempDir()
	r := &Rig{Program: filepath.Join(dir, "absent"), Dir: dir}
	n, err := r.StartRealNode(Place{Name: "n", Addr: "127.0.0.1:0", List: "127.0.0.1:1"}, nil, 1, 1)
	if err == nil || n != nil {
		t.Errorf("got node %v and error %v, want only an error", n, err)
	}
}

// A window that is not a whole number of push-pull intervals distorts the figures, as some nodes begin one exchange
// more than others.
func TestWindowIsWholePushPullIntervals(t *testing.T) {
	p := Plan{Window: time.Minute}
	for nodes, want := range map[int]time.Duration{
		30:  time.Minute,
		60:  time.Minute,
		120: 90 * time.Second,
		480: 75 * time.Second,
		960: 90 * time.Second,
	} {
		if got := p.window(nodes); got != want {
			t.Errorf("%d nodes: the window is %v, want %v", nodes, got, want)
		}
	}
	p.Window = 2 * time.Second
	if got := p.window(480); got != p.Window {
		t.Errorf("a window of %v became %v, although it is shorter than half an interval", p.Window, got)
	}
}
