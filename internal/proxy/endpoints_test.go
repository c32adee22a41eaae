package proxy

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against nodes that poll the complete list after a restart although they have the last one on disk, which
// burdens discovery when a release restarts most nodes at once. A node must poll for updates, and serve with the last
// known list until there is one.
func TestLastKnownListIsPolledForUpdatesOnly(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	receive(t, g.listPolls)
	receive(t, g.listPolls)
	serving := make(chan bool, 9)
	config := g.config
	config.Listen = "127.0.0.1:0"
	config.OnPhaseChange = func(p Phase) { serving <- p == Serving }
	config.LastKnownEndpoints = []byte(`{"generation":41,"reset":true,"instances":[
{"instanceId":"c","hostPort":"127.0.0.1:1","machineType":"box","lifecycle":"in_service","zone":"z"}]}`)
	r, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	g.loop.Add(1)
	go func() {
		defer g.loop.Done()
		r.Run()
	}()
	t.Cleanup(r.Shutdown)
	if got := receive(t, g.listPolls); !strings.HasPrefix(got, endpointListPath+"?since=41&") {
		t.Errorf("polled %q", got)
	}
	if !receive(t, serving) {
		t.Error("it does not serve with the last known list")
	}
}

// Guards against a truncated list that is read as one without endpoints, and an entry without an id that is read as the
// removal of its endpoint: either left the node without endpoints. A list that cannot be read completely must remove no
// endpoint, and must be logged once.
func TestUnreadableEndpointListDropsNoEndpoint(t *testing.T) {
	for _, bad := range []string{
		`{"generation":9,"reset":true}`,
		`{"generation":9,"reset":true,"inst`,
		`[]`,
		`{"generation":9,"reset":true,"instances":[{"hostPort":"127.0.0.1:1","lifecycle":"in_service"}]}`,
	} {
		var before, log bytes.Buffer
		g := newHarness(t, 200, helloValue, func(c *Config) { c.Log.SetOutput(&before) })
		type state struct{ endpoints, logLines int }
		states := make(chan state, 1)
		g.runInLoop(func() { g.config.Log.SetOutput(&log) })
		for i := range 5 {
			if i > 1 {
				g.listAnswers <- bad
			}
			receive(t, g.listPolls)
		}
		g.runInLoop(func() {
			states <- state{endpoints: len(g.endpoints.byID), logLines: strings.Count(log.String(), "\n")}
		})
		if got := <-states; got != (state{endpoints: 2, logLines: 1}) {
			t.Errorf("after three times %s: %+v; logged before:\n%s", bad, got, before.String())
		}
	}
}
