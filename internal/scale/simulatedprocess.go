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
	// orderTimeout is the time in which a process of simulated nodes must answer an order, in addition to the time for
	// starting nodes.
	orderTimeout = 30 * time.Second
	// maxAnswerBytes is the maximum size of an answer.
	maxAnswerBytes = 8 << 20
	// initialLineBytes is the initial size of the buffer for a line, which grows as required.
	initialLineBytes = 64 << 10
)

// SimulatedProcess is a process of simulated nodes. It reads orders as lines of JSON and answers each with one line.
type SimulatedProcess struct {
	*Child
	places  []Place        // nodes that it runs
	orders  io.WriteCloser // for orders; the process exits when it is closed
	answers chan answer    // closed when the process has closed its output
}

// StartSimulatedProcess starts a process of simulated nodes. It runs no nodes until it receives an order to open them.
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
	h := &SimulatedProcess{Child: c, places: places, orders: in, answers: make(chan answer, 1)}
	go h.readAnswers(from)
	return h, nil
}

// readAnswers sends answers to the channel until the process closes its output.
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
	if err := json.NewEncoder(h.orders).Encode(o); err != nil {
		return answer{}, fmt.Errorf("cannot send the order %s to a process of simulated nodes: %w: %s",
			o.Do, err, h.LastLogLine())
	}
	select {
	case a, more := <-h.answers:
		if !more {
			return a, fmt.Errorf("a process of simulated nodes has exited: %s", h.LastLogLine())
		}
		if a.Fault != "" {
			return a, fmt.Errorf("the order %s failed in a process of simulated nodes: %s", o.Do, a.Fault)
		}
		return a, nil
	case <-ctx.Done():
		return answer{}, ctx.Err()
	case <-time.After(within):
		return answer{}, fmt.Errorf("a process of simulated nodes did not answer the order %s within %v", o.Do, within)
	}
}

// Close stops the process and all of its nodes.
func (h *SimulatedProcess) Close() { h.Stop(func() { _ = h.orders.Close() }) }
