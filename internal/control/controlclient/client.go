package controlclient

import (
	"context"
	"errors"
	"time"

	"dahliapin/internal/control/controlwire"
)

// ErrUnavailable reports that no control server could be reached, or that none answered in time.
var ErrUnavailable = errors.New("no control server answers")

// Client sends requests to control servers.
type Client struct {
	Servers []string             // addresses, at least one
	Label   string               // of the fleet
	Dial    controlwire.DialFunc // nil for TCP
}

// exchange opens a stream to a server, sends a request and returns the answer. timeout bounds the wait for the answer;
// the end of the context interrupts the exchange once the stream is open.
func (c Client) exchange(
	ctx context.Context, addr string, request controlwire.Message, timeout time.Duration,
) (controlwire.Message, error) {
	stream, err := controlwire.Dial(c.Dial, addr, controlwire.StreamClient, c.Label, controlwire.MaxFrameBytes)
	if err != nil {
		return controlwire.Message{}, err
	}
	defer stream.Close()
	stopWatching := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stopWatching()
	if _, err := stream.Send(request, min(timeout, controlwire.WriteTimeout)); err != nil {
		return controlwire.Message{}, err
	}
	answer, _, err := stream.Receive(timeout)
	return answer, err
}
