package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const (
	// answerBy is how long a process of hollow nodes may take for an order, beside the time that it is given for
	// starts.
	answerBy = 30 * time.Second
	// longestAnswer bounds what is read of one answer, in bytes.
	longestAnswer = 8 << 20
	// firstLineBytes is the initial size of the buffer for a line; it grows up to the longest line.
	firstLineBytes = 64 << 10
)

// HollowProcess is a process of hollow nodes, which takes orders as lines of JSON and answers each with one line.
type HollowProcess struct {
	*Child
	places  []Place        // of the nodes it runs
	in      io.WriteCloser // orders; the process ends once it is closed
	answers chan answer    // closed once the process has closed its output
}

// StartHollowProcess starts a process of hollow nodes, which has no nodes before the order to open them.
func (r *Rig) StartHollowProcess(places []Place, name string) (*HollowProcess, error) {
	cmd := exec.Command(r.Program, "scale", "hollow")
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	from, to, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = to
	c, err := StartChild(cmd, filepath.Join(r.Dir, name+".log"))
	to.Close()
	if err != nil {
		from.Close()
		return nil, err
	}
	h := &HollowProcess{Child: c, places: places, in: in, answers: make(chan answer, 1)}
	go h.readAnswers(from)
	return h, nil
}

// readAnswers passes answers on until the process closes its output.
func (h *HollowProcess) readAnswers(from io.ReadCloser) {
	defer from.Close()
	defer close(h.answers)
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, firstLineBytes), longestAnswer)
	for lines.Scan() {
		var a answer
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			a.Fault = err.Error()
		}
		h.answers <- a
	}
}

// ask sends an order and waits for the answer.
func (h *HollowProcess) ask(ctx context.Context, o order, within time.Duration) (answer, error) {
	if err := json.NewEncoder(h.in).Encode(o); err != nil {
		return answer{}, fmt.Errorf("a process of hollow nodes takes no order: %w: %s", err, h.LastLogLine())
	}
	select {
	case a, more := <-h.answers:
		if !more {
			return a, fmt.Errorf("a process of hollow nodes has ended: %s", h.LastLogLine())
		}
		if a.Fault != "" {
			return a, fmt.Errorf("a process of hollow nodes: %s", a.Fault)
		}
		return a, nil
	case <-ctx.Done():
		return answer{}, ctx.Err()
	case <-time.After(within):
		return answer{}, fmt.Errorf("a process of hollow nodes does not answer within %v to %s", within, o.Do)
	}
}

// Close ends the process with all of its nodes.
func (h *HollowProcess) Close() { h.Stop(func() { _ = h.in.Close() }) }
