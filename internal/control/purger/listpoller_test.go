package purger

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/fleetconfig"
)

// testCloses is how often a purger is closed, since a goroutine that outlives Close often ends shortly after it.
const testCloses = 100

// openWithDiscovery opens a purger that polls discovery at the given address and logs to out.
func openWithDiscovery(t *testing.T, addr string, out *bytes.Buffer) *Purger {
	t.Helper()
	settings := fleetconfig.DefaultPurges()
	settings.Discovery = addr
	logger := logrus.New()
	logger.SetOutput(out)
	log := &testLog{changed: make(chan struct{})}
	p, err := Open(Config{Settings: settings, ServerCount: 4, Log: log, Dir: t.TempDir(), Logger: logger, Now: bootTime})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// hasPollerGoroutine reports whether a goroutine of a list poller is running.
func hasPollerGoroutine() bool {
	stacks := make([]byte, 1<<20)
	return strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), "listPoller")
}

// A poll that Close interrupts has not failed.
func TestPollInterruptedByCloseIsNotLogged(t *testing.T) {
	polled := make(chan struct{}, 1)
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		polled <- struct{}{}
		<-request.Context().Done()
	}))
	defer discovery.Close()
	var out bytes.Buffer
	p := openWithDiscovery(t, strings.TrimPrefix(discovery.URL, "http://"), &out)
	select {
	case <-polled:
	case <-time.After(5 * time.Second):
		t.Error("no poll within 5 s")
	}
	p.Close()
	if out.Len() > 0 {
		t.Errorf("logged %q", out.String())
	}
}

// Close waits for all goroutines of the list poller, also between two polls.
func TestNoGoroutineOfTheListPollerOutlivesClose(t *testing.T) {
	outlived := 0
	for range testCloses {
		var out bytes.Buffer
		p := openWithDiscovery(t, "127.0.0.1:1", &out) // refuses connections
		time.Sleep(2 * time.Millisecond)
		p.Close()
		if hasPollerGoroutine() {
			outlived++
		}
	}
	if outlived > 0 {
		t.Errorf("a goroutine outlived %d of %d calls of Close", outlived, testCloses)
	}
}
