package listeners

import (
	"os"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
)

const listener = "[[listener]]\nlisten = \"127.0.0.1:0\"\nprotocol = \"http\"\n"
const level = "[[level]]\nname = \"l\"\nenter = {late = 0.1}\nleave = {late = 0.2}\nstay_s = 9\nshed = [\"submit\"]\n"
const route = "[[listener.route]]\npath = \"/p/\"\nmethods = [\"GET\"]\ngrade = \"read\"\n"

// A file that is taken as something else than it says would send writes out as reads, or leave a listener without routes.
func TestAFileOfListenersIsTakenAsItStandsOrRefusedWithItsLine(t *testing.T) {
	terms, err := settings.Decode(fastjson.MustParse(`{"service_grades":[{"name":"read"},{"name":"submit"}],"tenants":[{"name":"adda"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	file := t.TempDir() + "/o.toml"
	for text, want := range map[string]string{
		listener + "lisen = 1\n":                                    "o.toml:4: no such field: listener.lisen",
		strings.Replace(listener, "127.0.0.1:0", "home", 1) + route: `o.toml:2: listener.0.listen: "home" is not an address and a port`,
		strings.Replace(listener, "\"http\"", "\"htp\"", 1):         `o.toml:3: listener.0.protocol: "htp" is neither meta nor http`,
		listener: "o.toml:3: listener.0.protocol: names no route, so nothing could be asked",
		strings.Replace(listener, "\"http\"", "\"meta\"", 1) + route:  "o.toml:3: listener.0.protocol: meta commands need no routes, pages and headers",
		strings.ReplaceAll(listener+route+listener+route, ":0", ":9"): "o.toml:9: listener.1.listen: 127.0.0.1:9 stands twice",
		listener + "ready_path = \"up\"\n" + route:                    `o.toml:4: listener.0.ready_path: "up" does not begin with a slash`,
		listener + "grade_header = \"a b\"\n" + route:                 `o.toml:4: listener.0.grade_header: "a b" can't be a header's name`,
		listener + strings.Replace(route, "/p/", "/p", 1):             `o.toml:5: listener.0.route.0.path: "/p" does not begin and end with a slash, or has what no plain path has`,
		listener + strings.Replace(route, "GET", "DELETE", 1):         `o.toml:6: listener.0.route.0.methods: "DELETE" is none of GET, HEAD, PUT, POST`,
		listener + route + route:                                      "o.toml:10: listener.0.route.1.methods: GET /p/ stands twice",
		listener + strings.Replace(route, "\"read\"", "\"raed\"", 1):  `o.toml:7: listener.0.route.0.grade: the deployment states no grade "raed"`,
		listener + route + "tenant = \"b\"\n":                         `o.toml:8: listener.0.route.0.tenant: the deployment states no tenant "b"`,
		listener + route + "deadline_ms = -1.0\n":                     "o.toml:8: listener.0.route.0.deadline_ms: -1 is not from 0 to 600000",
		level:                                    "o.toml:4: level.0.leave.late: 0.2 is not above 0 and under 0.1, at which the level is entered",
		strings.Replace(level, "0.2", "0.05", 1): `o.toml:6: level.0.shed: "submit" may have an effect, and is never shed`,
		listener + route + "tenant = \"adda\"\ndeadline_ms = 300\n":     "",
		listener + route + strings.Replace(route, "/p/", "/p/long/", 1): "",
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := Read(file, &terms)
		all := f.Listeners
		switch {
		case err != nil && (want == "" || strings.TrimPrefix(err.Error(), strings.TrimSuffix(file, "o.toml")) != want):
			t.Errorf("%q: %v, want %s", text, err, want)
		case err == nil && want != "":
			t.Errorf("%q is taken, want %s", text, want)
		case err == nil && len(all[0].Routes) == 2:
			if r, _ := all[0].Route("GET", "/p/long/k"); r != &all[0].Routes[1] {
				t.Errorf("the longest path is not the one found: %v", r)
			}
		}
	}
	if f, err := Read("../../../deploy/listeners.toml", &terms); err != nil || len(f.Listeners) == 0 {
		t.Errorf("the file in deploy: %v", err)
	}
}
