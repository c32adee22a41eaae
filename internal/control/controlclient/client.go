package controlclient

import (
	"context"
	"errors"
	"time"

	"dahliapin/internal/control/controlwire"
)

// ErrUnavailable says that no control server did what was asked.
var ErrUnavailable = errors.New("no control machine answers")

// Client asks control servers.
type Client struct {
	Servers []string             // addresses, at least one
	Label   string               // of the fleet
	Dial    controlwire.DialFunc // nil for TCP
}

// exchange opens a stream to a server, sends a request and returns the answer, for which it waits so long. It ends
// early with the context.
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
