package cachegrowth

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	originTime = 20 * time.Millisecond // service time of the origin
	originID   = "origin"

	// maxClientLateness is the maximum delay of a client request after its due time. If a request was sent later, the
	// machine was too busy for a verdict on the node.
	maxClientLateness = 500 * time.Millisecond
)

// Plan configures a measurement.
type Plan struct {
	Program   string  // path of the executable with the command serve
	Dir       string  // folder for the node's configuration, log and saved endpoint list
	Share     float64 // share of a core that the node gets
	Rate      int     // requests per second
	Nodes     int     // number of nodes in the fleet, according to the node's settings
	DayLength time.Duration
	Progress  func(line string) // receives lines of progress; may be nil
}

// DayResult is the result of a day at one size.
type DayResult struct {
	Day     string  `json:"day"`
	Caches  int     `json:"caches"`
	Figures Figures `json:"figures"` // by Metric
	Sent    int     `json:"sent"`
	Refused int     `json:"refused"`
	Lost    int     `json:"lost"`
	Busy    bool    `json:"busy"` // the machine was too busy for a verdict
}

// dayRun is a running day at one size.
type dayRun struct {
	plan      *Plan
	caches    *fleet
	discovery *discovery
	origin    *http.Server
	node      *nodeProcess
	clients   *clients
}

// RunDay runs a day with the given number of caches. It returns an error if the node fails or the day cannot be run.
func (plan *Plan) RunDay(ctx context.Context, day *Day, caches int) (*DayResult, error) {
	p := &dayRun{plan: plan}
	defer p.close()
	if err := p.prepare(caches); err != nil {
		return nil, err
	}
	p.clients = &clients{address: p.node.listen, rate: plan.Rate}
	clientsDone := make(chan struct{})
	go func() {
		defer close(clientsDone)
		p.clients.run(plan.DayLength)
	}()
	err := p.runEvents(ctx, day)
	<-clientsDone
	if err != nil {
		return nil, fmt.Errorf("%s with %d caches: %w", day.Name, caches, err)
	}
	if err := p.node.stopAndMeasure(); err != nil {
		return nil, err
	}
	return p.result(day), ctx.Err()
}

// prepare starts everything except the clients.
func (p *dayRun) prepare(caches int) error {
	var err error
	if p.caches, err = newFleet(caches); err != nil {
		return err
	}
	if p.discovery, err = newDiscovery(); err != nil {
		return err
	}
	origin, err := p.startOrigin()
	if err != nil {
		return err
	}
	if err := p.discovery.publish(append([]instance{origin}, p.caches.all()...)); err != nil {
		return err
	}
	p.node = &nodeProcess{program: p.plan.Program, folder: p.plan.Dir, share: p.plan.Share}
	if err := p.node.configure(p.discovery.address, p.plan.Nodes); err != nil {
		return err
	}
	return p.node.start()
}

// startOrigin starts the origin and returns its entry in the endpoint list.
func (p *dayRun) startOrigin() (instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return instance{}, err
	}
	p.origin = &http.Server{
		ReadHeaderTimeout: headerTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(originTime)
			_, _ = w.Write([]byte(value))
		}),
	}
	go func() { _ = p.origin.Serve(l) }() // returns after close
	return instance{
		ID:          originID,
		Address:     l.Addr().String(),
		MachineType: originMachine,
		Lifecycle:   inService,
		Zone:        zoneName(0),
	}, nil
}

// runEvents executes the events of a day at their times.
func (p *dayRun) runEvents(ctx context.Context, day *Day) error {
	began := time.Now()
	for _, event := range day.events {
		select {
		case <-time.After(event.time(p.plan.DayLength) - time.Since(began)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := event.do(p); err != nil {
			return err
		}
	}
	return nil
}

// restartNode stops the node in an orderly way and starts it again at the same address.
func (p *dayRun) restartNode() error {
	if err := p.node.stopAndMeasure(); err != nil {
		return err
	}
	return p.node.start()
}

func (p *dayRun) result(day *Day) *DayResult {
	figures := p.node.figures
	figures[Connections] = float64(p.caches.connections.Load())
	figures[ListKilobytes] = float64(p.discovery.bytes.Load()) / 1e3
	figures[ShareServed] = float64(p.clients.served) / float64(max(1, p.clients.sent))
	return &DayResult{
		Day:     day.Name,
		Caches:  p.caches.count,
		Figures: figures,
		Sent:    p.clients.sent,
		Refused: p.clients.refused,
		Lost:    p.clients.lost,
		Busy:    p.clients.lateness > maxClientLateness,
	}
}

func (p *dayRun) close() {
	if p.node != nil {
		_ = p.node.stopAndMeasure()
	}
	if p.origin != nil {
		_ = p.origin.Close()
	}
	if p.discovery != nil {
		_ = p.discovery.stop()
	}
	if p.caches != nil {
		p.caches.close()
	}
}
