package scale

import (
	"path/filepath"
	"testing"
	"time"
)

// A node whose start failed must not be returned: stopping it without a process panicked.
func TestStartRealNodeReturnsNoNodeOnFailure(t *testing.T) {
	dir := t.TempDir()
	r := &Rig{Program: filepath.Join(dir, "absent"), Dir: dir}
	n, err := r.StartRealNode(Place{Name: "n", Addr: "127.0.0.1:0", List: "127.0.0.1:1"}, nil, 1, 1)
	if err == nil || n != nil {
		t.Errorf("%v, %v", n, err)
	}
}

// A window that is not a whole number of push-pull intervals skews the figures: some nodes begin one exchange more.
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
			t.Errorf("%d nodes: %v", nodes, got)
		}
	}
	p.Window = 2 * time.Second
	if got := p.window(480); got != p.Window {
		t.Errorf("a short window is %v", got)
	}
}
