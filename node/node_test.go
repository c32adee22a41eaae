package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

const testConfig = `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"memory_mb":64,"sockets":100},"settings":{"service_grades":[{"name":"read","hard_stop_s":0.1}]}}`

// silentLog returns a logger that discards its output.
func silentLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// with returns testConfig with replacements, in pairs of old and new text.
func with(oldnew ...string) string { return strings.NewReplacer(oldnew...).Replace(testConfig) }

func TestInvalidConfigurationIsReportedInOneLine(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"empty", ""},
		{"not JSON", "no"},
		{"not an object", "[1]"},
		{"empty object", "{}"},
		{"listen without a port", with("127.0.0.1:0", "nowhere")},
		{"discovery by name", with("127.0.0.1:1", "host.name:1")},
		{"too few sockets", with("100", "3")},
		{"no service classes", with("service_grades", "x")},
		{"too few sockets for the admin server", with(`"seed"`, `"ops":"127.0.0.1:0","seed"`)},
		{"admin address without a port", with("100", "200", `"seed"`, `"ops":"nowhere","seed"`)},
		{"admin address is the client address",
			with("100", "200", "127.0.0.1:0", "127.0.0.1:7", `"seed"`, `"ops":"127.0.0.1:7","seed"`)},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := ParseConfig([]byte(test.text)); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: %v", test.text, err)
			}
		})
	}
}

func TestAdminAddressMayRepeatPortZero(t *testing.T) {
	if _, err := ParseConfig([]byte(with("100", "200", `"seed"`, `"ops":"127.0.0.1:0","seed"`))); err != nil {
		t.Error(err)
	}
}

func TestMissingConfigurationFileIsAnError(t *testing.T) {
	if _, err := ReadConfig("/nowhere/at/all"); err == nil {
		t.Error("no error for a missing file")
	}
}

const testListeners = "[[listener]]\nlisten='127.0.0.1:0'\nprotocol='meta'\n" +
	"[[listener]]\nlisten='127.0.0.1:0'\nprotocol='http'\nready_path='/up'\n" +
	"[[listener.route]]\npath='/'\nmethods=['GET']\ngrade='read'\n"

// Without discovery a node stays in its first phase and answers on each listener, in its protocol, that it is starting.
// After Shutdown it goes through the remaining phases and stops.
func TestNodeGoesThroughItsPhases(t *testing.T) {
	config, err := ParseConfig([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "o.toml")
	if err := os.WriteFile(file, []byte(testListeners), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := config.LoadListenersFile(file); err != nil {
		t.Fatal(err)
	}
	n, err := New(config, silentLog())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		n.Serve()
		close(done)
	}()

	want := "SERVER_ERROR starting\r\nSERVER_ERROR busy\r\n"
	got := ask(t, n.Addr(), "mn\r\nmg k v Oa Pc=read,d=9\r\n", len(want))
	if n.Phase() != Starting || got != want {
		t.Errorf("%v, %q", n.Phase(), got)
	}
	for i, test := range []struct{ request, want string }{
		{"mn\r\n", "SERVER_ERROR starting\r\n"},
		{"GET /up HTTP/1.1\r\nHost: n\r\n\r\n", "HTTP/1.1 503 "},
	} {
		if got := ask(t, n.ListenerAddr(i), test.request, len(test.want)); !strings.HasPrefix(got, test.want) {
			t.Errorf("listener %d: %q", i, got)
		}
	}
	if _, err := New(&Config{Listen: n.Addr()}, silentLog()); err == nil {
		t.Error("a second node listens on the same address")
	}
	n.Shutdown()
	<-done
	n.LogCounters()
	if n.Phase() != Stopped || n.Counters().Requests != 1 {
		t.Error(n.Phase(), n.Counters())
	}
}

// ask sends a request and returns the response. It waits for at least the given number of bytes.
func ask(t *testing.T, addr, request string, least int) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 99)
	n, _ := io.ReadAtLeast(c, answer, least)
	return string(answer[:n])
}

// Guards against a node that exceeds its descriptor limit because the descriptors for gossip were not counted.
func TestFleetConfigRequiresEnoughDescriptors(t *testing.T) {
	const text = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{"sockets":%d},` +
		`"settings":{"service_grades":[{"name":"read"}]}}`
	for _, test := range []struct {
		sockets int
		enough  bool
	}{{64, false}, {102, false}, {103, true}, {0, true}} {
		t.Run(fmt.Sprint(test.sockets), func(t *testing.T) {
			config, err := ParseConfig(fmt.Appendf(nil, text, test.sockets))
			if err != nil {
				t.Fatal(err)
			}
			err = config.ParseFleet("f", []byte("[fleet]\nlisten = \"127.0.0.1:7946\"\n"))
			if (err == nil) != test.enough {
				t.Error(err)
			}
		})
	}
}
