package listeners

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
)

const (
	httpListener = "[[listener]]\nlisten = \"127.0.0.1:0\"\nprotocol = \"http\"\n"
	readRoute    = "[[listener.route]]\npath = \"/p/\"\nmethods = [\"GET\"]\ngrade = \"read\"\n"
	level        = "[[level]]\nname = \"l\"\nenter = {late = 0.1}\nleave = {late = 0.2}\nstay_s = 9\n" +
		"shed = [\"submit\"]\n"
)

func testDeployment(t *testing.T) *settings.Settings {
	t.Helper()
	deployment, err := settings.Decode(fastjson.MustParse(
		`{"service_grades":[{"name":"read"},{"name":"submit"}],"tenants":[{"name":"adda"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	return &deployment
}

// Guards against accepting a file with a mistake, which could make a node send writes as reads or leave a listener
// without routes.
func TestInvalidFileIsRejectedWithItsLine(t *testing.T) {
	replace := strings.Replace
	path := filepath.Join(t.TempDir(), "o.toml")
	for _, test := range []struct{ name, text, want string }{
		{"unknown field", httpListener + "lisen = 1\n", "o.toml:4: no such field: listener.lisen"},
		{"address without a port", replace(httpListener, "127.0.0.1:0", "home", 1) + readRoute,
			`o.toml:2: listener.0.listen: "home" is not an address and port`},
		{"unknown protocol", replace(httpListener, "\"http\"", "\"htp\"", 1),
			`o.toml:3: listener.0.protocol: "htp" is neither meta nor http`},
		{"http without a route", httpListener,
			"o.toml:3: listener.0.protocol: an HTTP listener needs a route"},
		{"meta with a route", replace(httpListener, "\"http\"", "\"meta\"", 1) + readRoute,
			"o.toml:3: listener.0.protocol: a meta listener takes no routes, pages or headers"},
		{"duplicate address", strings.ReplaceAll(httpListener+readRoute+httpListener+readRoute, ":0", ":9"),
			"o.toml:9: listener.1.listen: 127.0.0.1:9 is used more than once"},
		{"page without a slash", httpListener + "ready_path = \"up\"\n" + readRoute,
			`o.toml:4: listener.0.ready_path: "up" does not begin with a slash`},
		{"header with a space", httpListener + "grade_header = \"a b\"\n" + readRoute,
			`o.toml:4: listener.0.grade_header: "a b" is not a valid header name`},
		{"route without a slash", httpListener + replace(readRoute, "/p/", "/p", 1),
			`o.toml:5: listener.0.route.0.path: "/p" does not begin and end with a slash, ` +
				`or is not a plain path`},
		{"unknown method", httpListener + replace(readRoute, "GET", "DELETE", 1),
			`o.toml:6: listener.0.route.0.methods: "DELETE" is none of GET, HEAD, PUT, POST`},
		{"duplicate route", httpListener + readRoute + readRoute,
			"o.toml:10: listener.0.route.1.methods: GET /p/ has a route already"},
		{"unknown class", httpListener + replace(readRoute, "\"read\"", "\"raed\"", 1),
			`o.toml:7: listener.0.route.0.grade: the settings define no grade "raed"`},
		{"unknown tenant", httpListener + readRoute + "tenant = \"b\"\n",
			`o.toml:8: listener.0.route.0.tenant: the settings define no tenant "b"`},
		{"negative deadline", httpListener + readRoute + "deadline_ms = -1.0\n",
			"o.toml:8: listener.0.route.0.deadline_ms: -1 is not from 0 to 600000"},
		{"leave bound above enter bound", level,
			"o.toml:4: level.0.leave.late: 0.2 is not above 0 and below 0.1, the bound for entering the level"},
		{"level that sheds writes", replace(level, "0.2", "0.05", 1),
			`o.toml:6: level.0.shed: "submit" is not idempotent and cannot be shed`},
	} {
		t.Run(test.name, func(t *testing.T) {
			writeFile(t, path, test.text)
			_, err := Read(path, testDeployment(t))
			if err == nil {
				t.Fatalf("%q is accepted, want %s", test.text, test.want)
			}
			if got := strings.TrimPrefix(err.Error(), strings.TrimSuffix(path, "o.toml")); got != test.want {
				t.Errorf("%q: %v, want %s", test.text, got, test.want)
			}
			var invalid strictconfig.FieldErrors
			if !errors.As(err, &invalid) {
				t.Errorf("%T is not FieldErrors", err)
			}
		})
	}
}

func TestRouteWithTenantAndDeadlineIsAccepted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "o.toml")
	writeFile(t, path, httpListener+readRoute+"tenant = \"adda\"\ndeadline_ms = 300\n")
	if _, err := Read(path, testDeployment(t)); err != nil {
		t.Error(err)
	}
}

func TestRouteWithTheLongestMatchingPathIsFound(t *testing.T) {
	path := filepath.Join(t.TempDir(), "o.toml")
	writeFile(t, path, httpListener+readRoute+strings.Replace(readRoute, "/p/", "/p/long/", 1))
	file, err := Read(path, testDeployment(t))
	if err != nil {
		t.Fatal(err)
	}
	listener := &file.Listeners[0]
	if len(listener.Routes) != 2 {
		t.Fatalf("%d routes", len(listener.Routes))
	}
	if found, _ := listener.Route("GET", "/p/long/k"); found != &listener.Routes[1] {
		t.Errorf("found %v, want the route with the longest path", found)
	}
}

func TestDeployedFileIsAccepted(t *testing.T) {
	file, err := Read("../../../deploy/listeners.toml", testDeployment(t))
	if err != nil || len(file.Listeners) == 0 {
		t.Error(err)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
