package cachegrowth

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const testPatience = 5 * time.Second

// call polls discovery for the changes since a version, or for the complete list if since is empty.
func call(t *testing.T, d *discovery, since string) pollResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testPatience)
	defer cancel()
	query := ""
	if since != "" {
		query = "?since=" + since
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address+"/"+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	var answer pollResponse
	if err == nil {
		err = json.Unmarshal(body, &answer)
	}
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func publish(t *testing.T, d *discovery, changes []instance) {
	t.Helper()
	if err := d.publish(changes); err != nil {
		t.Fatal(err)
	}
}

// Discovery must serve the complete list first, then one update at a time, also after an outage.
func TestDiscoveryServesCompleteListThenUpdates(t *testing.T) {
	d, err := newDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.stop() }()
	f, err := newFleet(30)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	publish(t, d, f.all())
	if answer := call(t, d, ""); answer.Generation != 1 || !answer.Reset || len(answer.Instances) != 30 {
		t.Errorf("got %+v, want the complete list of 30 caches in version 1", answer)
	}
	if err := d.stop(); err != nil {
		t.Fatal(err)
	}
	if err := d.start(); err != nil {
		t.Fatal(err)
	}
	publish(t, d, f.drain(0))
	publish(t, d, f.replace(0))
	if answer := call(t, d, "1"); answer.Generation != 2 || answer.Reset || len(answer.Instances) != 6 {
		t.Errorf("got %+v, want 6 changes in version 2", answer)
	}
	if answer := call(t, d, "2"); answer.Generation != 3 || len(answer.Instances) != 12 {
		t.Errorf("got %+v, want 12 changes in version 3", answer)
	}
	if answer := call(t, d, ""); len(answer.Instances) != 30 {
		t.Errorf("the list has %d caches after a release step, want 30", len(answer.Instances))
	}
}

// A lost zone must close its connections and refuse new ones. After the outage it must accept connections at the same
// address.
func TestLostZoneRefusesConnectionsUntilRestored(t *testing.T) {
	f, err := newFleet(30)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	address := f.zones[lostZone].address.Addr()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "mg mk v O1\r\n"); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len("EN O1\r\n"))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "EN O1\r\n" {
		t.Fatalf("the answer is %q, error %v", got, err)
	}
	if err := f.loseZone(lostZone); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(got); err == nil {
		t.Error("the connection is open after the zone was lost")
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Error("the lost zone accepts a connection")
	}
	if err := f.restoreZone(lostZone); err != nil {
		t.Fatal(err)
	}
	back, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	back.Close()
	if gone := len(f.zoneGone(lostZone)); gone != 10 {
		t.Errorf("%d of 30 caches are in one of %d zones, want 10", gone, zoneCount)
	}
}
