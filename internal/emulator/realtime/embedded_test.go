package realtime

import (
	"io"

	"github.com/sirupsen/logrus"

	"dahliapin/node"
)

// Embedded starts nodes within this process. They can be asked to terminate, but not killed.
type Embedded struct{}

type embedded struct {
	n    *node.Node
	done chan struct{}
}

func (Embedded) Start(o NodeSpec) (Process, error) {
	p, err := node.ParseConfig(o.Configuration)
	if err == nil && o.Operator != nil {
		err = p.ParseListeners("operator", o.Operator)
	}
	if err == nil && o.Fleet != nil {
		p.OnTrace = o.OnTrace
		err = p.ParseFleet("charter", o.Fleet)
	}
	if err != nil {
		return nil, err
	}
	p.OnEvent = o.OnRecord
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	n, err := node.New(p, quiet)
	if err != nil {
		return nil, err
	}
	e := &embedded{n, make(chan struct{})}
	go func() {
		n.Serve()
		close(e.done)
	}()
	return e, nil
}

func (e *embedded) End()                  { e.n.Shutdown() }
func (e *embedded) Kill()                 { e.n.Shutdown() }
func (e *embedded) Done() <-chan struct{} { return e.done }
func (e *embedded) ExitReason() string    { return "" }
