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
	// orderTimeout is the time that a process of hollow nodes has to answer an order, in addition to the time for
	// starting nodes.
	orderTimeout = 30 * time.Second
	// maxAnswerBytes bounds the size of one answer.
	maxAnswerBytes = 8 << 20
	// initialLineBytes is the initial size of the buffer for a line; it grows up to the longest line.
	initialLineBytes = 64 << 10
)

// SimulatedProcess is a process of hollow nodes. It reads orders as lines of JSON and answers each with one line.
type SimulatedProcess struct {
	*Child
	places  []Place        // nodes that it runs
	in      io.WriteCloser // orders; the process exits when it is closed
	answers chan answer    // closed once the process has closed its output
}

// StartSimulatedProcess starts a process of hollow nodes. It runs no nodes until it is ordered to open them.
func (r *Rig) StartSimulatedProcess(places []Place, name string) (*SimulatedProcess, error) {
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
	h := &SimulatedProcess{Child: c, places: places, in: in, answers: make(chan answer, 1)}
	go h.readAnswers(from)
	return h, nil
}

// readAnswers passes answers on until the process closes its output.
func (h *SimulatedProcess) readAnswers(from io.ReadCloser) {
	defer from.Close()
	defer close(h.answers)
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, initialLineBytes), maxAnswerBytes)
	for lines.Scan() {
		var a answer
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			a.Fault = err.Error()
		}
		h.answers <- a
	}
}

// ask sends an order and waits for the answer.
func (h *SimulatedProcess) ask(ctx context.Context, o order, within time.Duration) (answer, error) {
	if err := json.NewEncoder(h.in).Encode(o); err != nil {
		return answer{}, fmt.Errorf("send an order to a process of hollow nodes: %w: %s", err, h.LastLogLine())
	}
	select {
	case a, more := <-h.answers:
		if !more {
			return a, fmt.Errorf("a process of hollow nodes has exited: %s", h.LastLogLine())
		}
		if a.Fault != "" {
			return a, fmt.Errorf("order failed in a process of hollow nodes: %s", a.Fault)
		}
		return a, nil
	case <-ctx.Done():
		return answer{}, ctx.Err()
	case <-time.After(within):
		return answer{}, fmt.Errorf("a process of hollow nodes did not answer within %v to the order %s", within, o.Do)
	}
}

// Close stops the process with all of its nodes.
func (h *SimulatedProcess) Close() { h.Stop(func() { _ = h.in.Close() }) }
