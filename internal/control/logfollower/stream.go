package logfollower

import (
	"sync"
	"time"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
)

const (
	// maxUnreportedBytes is how many bytes may be received before a report is sent immediately. The server stops
	// sending when too much is unreported.
	maxUnreportedBytes = 64 << 10
	// idleReportInterval is how often unchanged progress is reported, so that the server knows that the node is
	// alive.
	idleReportInterval = time.Second
)

// followStream follows over a stream until it fails, and returns the error.
func (f *Follower) followStream(stream *controlwire.Stream, leaderlessLimit time.Duration) error {
	hello := f.report(controlwire.KindHello)
	hello.Fresh = !f.progress.Load().Started
	hello.LogID = uint64(f.progress.Load().Log)
	sent, err := stream.Send(hello, controlwire.HandshakeTimeout)
	f.bytesOut.Add(uint64(sent))
	if err != nil {
		return err
	}

	stop := make(chan struct{})
	reportNow := make(chan struct{}, 1)
	var reporter sync.WaitGroup
	reporter.Go(func() { f.sendReports(stream, stop, reportNow) })
	defer reporter.Wait()
	defer close(stop)

	hadLeaderAt := time.Now()
	unreported := 0
	for {
		message, size, err := stream.Receive(serverTimeout)
		f.bytesIn.Add(uint64(size))
		if err != nil {
			return err
		}
		if err := f.apply(message); err != nil {
			return err
		}
		unreported += size
		if unreported >= maxUnreportedBytes {
			unreported = 0
			select {
			case reportNow <- struct{}{}:
			default:
			}
		}
		if message.HasLeader {
			hadLeaderAt = time.Now()
			f.recordLeaderSeen()
		} else if time.Since(hadLeaderAt) > leaderlessLimit {
			return errNoLeader
		}
	}
}

// apply passes a message to the Applier and publishes the resulting progress, also after an error.
func (f *Follower) apply(message controlwire.Message) error {
	var err error
	switch message.Kind {
	case controlwire.KindStart:
		log := replicatedlog.LogID(message.LogID)
		err = f.Applier.Start(log, replicatedlog.Index(message.Index), message.BaseConfig)
	case controlwire.KindEntries:
		err = f.Applier.Apply(message.Entries)
	}
	f.publishProgress()
	if message.Kind == controlwire.KindStart { // in another log the index may be lower
		f.lastIndex.Store(message.Last)
	}
	f.lastIndex.Store(max(f.lastIndex.Load(), message.Last))
	return err
}

// sendReports checks each ProgressInterval and on reportNow whether progress has changed. It reports progress that has
// changed, or that has not been reported for about idleReportInterval. It returns once stop is closed. When the
// Follower is closed it closes the stream, which unblocks the reading goroutine.
func (f *Follower) sendReports(stream *controlwire.Stream, stop, reportNow chan struct{}) {
	ticker := time.NewTicker(controlwire.ProgressInterval)
	defer ticker.Stop()
	var last replicatedlog.Progress
	unchanged := 0 // wake-ups since the last report, each taken for a ProgressInterval
	for {
		select {
		case <-ticker.C:
		case <-reportNow:
		case <-stop:
			return
		case <-f.closed:
			_ = stream.Close()
			<-stop
			return
		}
		now := *f.progress.Load()
		if now == last && time.Duration(unchanged)*controlwire.ProgressInterval < idleReportInterval {
			unchanged++
			continue
		}
		report := f.report(controlwire.KindProgress)
		if f.OnProgressSent != nil {
			f.OnProgressSent(replicatedlog.Index(report.Nodes[0].Applied))
		}
		sent, err := stream.Send(report, controlwire.WriteTimeout)
		f.bytesOut.Add(uint64(sent))
		if err != nil {
			_ = stream.Close()
		}
		last = now
		unchanged = 1
	}
}

// report returns a message of the given kind that holds the current progress.
func (f *Follower) report(kind controlwire.MessageKind) controlwire.Message {
	progress := f.progress.Load()
	return controlwire.Message{Kind: kind, Nodes: []controlwire.NodeReport{{
		Node:           f.Name,
		Process:        f.Process,
		Applied:        uint64(progress.Applied),
		Config:         uint64(progress.Config),
		Refused:        uint64(progress.Refused),
		PresumedPurged: uint64(progress.PresumedPurged),
		NotStarted:     !progress.Started,
		Gaps:           progress.Gaps,
		Reason:         progress.Reason[:min(len(progress.Reason), controlwire.MaxReasonBytes)],
	}}}
}
