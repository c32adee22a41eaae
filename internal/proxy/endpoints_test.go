package proxy

import (
	"bytes"
	"strings"
	"testing"
)

// After a release that ended most nodes at once, each of them asked for the whole list, of which it held most.
func TestLastKnownListIsPolledForUpdatesOnly(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	receive(t, g.listPolls)
	receive(t, g.listPolls)
	up := make(chan bool, 9)
	again := g.config
	again.Listen, again.OnPhaseChange = "127.0.0.1:0", func(p Phase) { up <- p == Serving }
	again.LastEndpoints = []byte(`{"generation":41,"reset":true,"instances":[
{"instanceId":"c","hostPort":"127.0.0.1:1","machineType":"box","lifecycle":"in_service","zone":"z"}]}`)
	r, err := New(again)
	if err != nil {
		t.Fatal(err)
	}
	g.loop.Add(1)
	go func() { defer g.loop.Done(); r.Run() }()
	t.Cleanup(r.Shutdown)
	if got := receive(t, g.listPolls); !strings.HasPrefix(got, endpointListPath+"?since=41&") {
		t.Errorf("asked %q", got)
	}
	if !receive(t, up) {
		t.Error("it does not serve by its last list while nothing is new")
	}
}

// Half a list read as one without caches, and an entry without a name as if its cache had gone: either emptied the node.
func TestUnreadableEndpointListDropsNoEndpoint(t *testing.T) {
	for _, bad := range []string{`{"generation":9,"reset":true}`, `{"generation":9,"reset":true,"inst`, `[]`,
		`{"generation":9,"reset":true,"instances":[{"hostPort":"127.0.0.1:1","lifecycle":"in_service"}]}`} {
		g, lines := newHarness(t, 200, helloValue), make(chan int, 1)
		var said bytes.Buffer
		g.runInLoop(func() { g.config.Log.SetOutput(&said) })
		for i := range 5 {
			if i > 1 {
				g.listAnswers <- bad
			}
			receive(t, g.listPolls)
		}
		g.runInLoop(func() { lines <- 10*len(g.endpoints.byID) + strings.Count(said.String(), "\n") })
		if got := <-lines; got != 21 {
			t.Errorf("after three times %s: %d (ten for each cache, one for a line in the log)", bad, got)
		}
	}
}
