package onwire

import (
	"io"

	"github.com/sirupsen/logrus"

	"dahliapin/node"
)

// Embedded runs nodes within this process. They can be ended, not killed.
type Embedded struct{}

type embedded struct {
	n    *node.Node
	done chan struct{}
}

// Start starts one.
func (Embedded) Start(o Order) (Process, error) {
	p, err := node.ParsePosting(o.Configuration)
	if err == nil && o.Operator != nil {
		err = p.OpenText("operator", o.Operator)
	}
	if err == nil && o.Charter != nil {
		p.Trace = o.Trace
		err = p.JoinText("charter", o.Charter)
	}
	if err != nil {
		return nil, err
	}
	p.Records = o.Note
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

func (e *embedded) End()                  { e.n.End() }
func (e *embedded) Kill()                 { e.n.End() }
func (e *embedded) Done() <-chan struct{} { return e.done }
func (e *embedded) Ended() string         { return "" }
