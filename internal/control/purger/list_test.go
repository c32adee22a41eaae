package purger

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// testDiscovery serves a list of instances, with long polling.
type testDiscovery struct {
	mu        sync.Mutex
	version   int
	instances []map[string]any
}

func (d *testDiscovery) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	since := request.URL.Query().Get("since")
	for range 40 {
		d.mu.Lock()
		list, _ := json.Marshal(map[string]any{"generation": d.version, "reset": true, "instances": d.instances})
		unchanged := since == fmt.Sprint(d.version)
		d.mu.Unlock()
		if !unchanged {
			_, _ = response.Write(list)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	_, _ = fmt.Fprintf(response, `{"generation":%s,"reset":false,"instances":[]}`, since)
}

func (d *testDiscovery) set(instances ...map[string]any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.instances = instances
}

// instance returns an entry of discovery's list.
func instance(id, addr, kind, lifecycle string, started int) map[string]any {
	return map[string]any{
		"instanceId":  id,
		"hostPort":    addr,
		"machineType": kind,
		"lifecycle":   lifecycle,
		"startedAtMs": started,
	}
}

// A number that no start time can have, whose conversion to an integer would depend on the processor, must not look like
// an earlier or later process of the cache.
func TestStartTimeOutOfRangeCountsAsNotStated(t *testing.T) {
	for _, stated := range []float64{1e300, -1e300, 1e19, -1} {
		instance := listedInstance{ID: "c", Addr: "127.0.0.1:1", Lifecycle: "in_service", Started: stated}
		if listed, valid := instance.cache(); !valid || listed.started != 0 {
			t.Errorf("start time %v: %+v, valid: %v, want 0", stated, listed, valid)
		}
	}
}

// listed returns the number of caches in a purger's list.
func (f *fixture) listed(i int) int {
	all, _ := f.purgers[i].Progress()
	return len(all)
}

// The purger follows discovery's list. It ignores origins. An invalid entry must not remove a cache. A cache that left
// gets no purges, and continues from its cursor when it returns. A restarted cache gets the purges again whose old
// values fills could have stored.
func TestListIsFollowed(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 0)
	discovery := &testDiscovery{}
	web := httptest.NewServer(discovery)
	t.Cleanup(web.Close)
	cache := func(i, started int, lifecycle string) map[string]any {
		return instance(f.caches[i].Name(), f.caches[i].Addr(), "m2", lifecycle, started)
	}
	origin := instance("o", "127.0.0.1:1", "origin", "in_service", 0)
	unreadable := instance("odd", "nowhere", "m2", "in_service", 0)
	f.settings.Caches = nil
	f.settings.Discovery = strings.TrimPrefix(web.URL, "http://")
	f.addPurger()
	if _, listed := f.purgers[0].Progress(); listed {
		t.Error("listed before discovery sent a list")
	}

	discovery.set(cache(0, 5, "in_service"), cache(1, 5, "terminating"), origin)
	f.publish(2, "a")
	f.eventually("both are listed", func() bool { return f.listed(0) == 2 })
	f.waitDone(0, "c0")
	f.waitDone(0, "c1")
	discovery.set(cache(0, 5, "in_service"), origin, unreadable)
	time.Sleep(100 * time.Millisecond)
	if f.listed(0) != 2 {
		t.Error("invalid entry removed a cache")
	}

	discovery.set(cache(0, 5, "in_service"), cache(1, 5, "terminated"), origin)
	f.eventually("one has left", func() bool { return f.listed(0) == 1 })
	f.caches[1].Fill("b", 1)
	f.publish(2, "b")
	f.waitDone(0, "c0")
	if _, ok := f.caches[1].Serve("b"); !ok {
		t.Error("purge sent to a cache that has left")
	}
	discovery.set(cache(0, 5, "in_service"), cache(1, 5, "in_service"))
	f.waitDone(0, "c1")

	f.caches[0].Restart()
	f.caches[0].Fill("c", 1) // by a fill that began before the restart
	f.publish(2, "c")
	discovery.set(cache(0, 9, "in_service"), cache(1, 5, "in_service"))
	f.waitDone(0, "c0")
	f.waitDone(0, "c1")
	f.eventually("the new process is known", func() bool { return f.progress(0, "c0").Incarnation == 9 })
	if _, ok := f.caches[0].Serve("c"); ok {
		t.Error("old value in a restarted cache")
	}
	f.expectNoBreach()
}
