package purger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"dahliapin/internal/discovery"
	"dahliapin/internal/keyhash"
)

const (
	listPath     = "/registry/instances"
	maxListBytes = 8 << 20
)

var (
	errBusy        = errors.New("discovery refused the request because it is overloaded")
	errInvalidList = errors.New("discovery returned an invalid list of caches")
)

// listAnswer is discovery's answer, with discovery's field names.
type listAnswer struct {
	Generation *int              `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  *[]listedInstance `json:"instances"`
}

// listPoller polls discovery for the list of caches, with the same timeouts and backoffs as nodes.
type listPoller struct {
	purger *Purger
	client *http.Client
	poller discovery.Poller
	random keyhash.Source // jitter of the backoff
}

func newListPoller(p *Purger) *listPoller {
	// Without a timeout of its own, a connection attempt that hangs outlives the poll that started it, and as the only
	// permitted connection it blocks all further polls.
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxConnsPerHost: 1, DisableCompression: true}
	return &listPoller{
		purger: p,
		client: &http.Client{Transport: transport},
		poller: discovery.New(p.ServerCount),
		random: keyhash.Source{Seed: p.Seed},
	}
}

// run polls until the Purger is closed.
func (l *listPoller) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.purger.goroutines.Go(func() {
		<-l.purger.closed
		cancel()
	})
	defer l.client.CloseIdleConnections()
	for {
		delay := l.poll(ctx)
		select {
		case <-time.After(delay):
		case <-l.purger.closed:
			return
		}
	}
}

// poll polls once, applies the list, and returns the delay until the next poll.
func (l *listPoller) poll(ctx context.Context) time.Duration {
	request := l.poller.NextPoll()
	began := time.Now()
	at := l.purger.Now()
	answer, err := l.get(ctx, request)
	if err == nil && !l.poller.Accepts(*answer.Generation, answer.Reset) {
		err = errInvalidList
	}
	if err == nil {
		kind, recovered := l.poller.OnUpdate(*answer.Generation, answer.Reset)
		if recovered {
			l.purger.Logger.Info("discovery: the list of caches is available again")
		}
		l.purger.applyList(*answer.Instances, kind, at)
		return 0
	}
	if ctx.Err() != nil { // interrupted by Close
		return 0
	}
	failure := discovery.ConnectionLost
	switch {
	case errors.Is(err, errBusy):
		failure = discovery.Refused
	case errors.Is(err, errInvalidList):
		failure = discovery.Unreadable
	}
	delay, first := l.poller.OnFailure(failure, time.Since(began), l.random.Float64())
	if first {
		l.purger.Logger.WithError(err).Warn("discovery: polling the list of caches failed; keeping the last list")
	}
	return delay
}

// get requests the list, or the changes to it, from discovery. It returns errBusy, errInvalidList or a network error.
func (l *listPoller) get(ctx context.Context, poll discovery.Poll) (listAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, poll.Timeout)
	defer cancel()
	url := "http://" + l.purger.Settings.Discovery + listPath
	if !poll.Complete {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", poll.SinceVersion, max(1, poll.LongPollTime.Milliseconds()))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return listAnswer{}, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return listAnswer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return listAnswer{}, err
	}
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return listAnswer{}, errBusy
	case http.StatusOK:
		return decodeList(body)
	}
	return listAnswer{}, errInvalidList
}

// decodeList decodes an answer and checks that it has all fields and is within the bounds.
func decodeList(body []byte) (listAnswer, error) {
	var answer listAnswer
	if len(body) > maxListBytes || json.Unmarshal(body, &answer) != nil {
		return listAnswer{}, errInvalidList
	}
	if answer.Generation == nil || answer.Instances == nil || len(*answer.Instances) > maxListed {
		return listAnswer{}, errInvalidList
	}
	return answer, nil
}
