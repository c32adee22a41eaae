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

// silentLog returns a log that goes nowhere.
func silentLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// with returns testConfig with texts replaced.
func with(oldnew ...string) string { return strings.NewReplacer(oldnew...).Replace(testConfig) }

func TestUnusableConfigurationIsToldInOneLine(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"empty", ""},
		{"no JSON", "no"},
		{"no object", "[1]"},
		{"nothing in it", "{}"},
		{"listen without a port", with("127.0.0.1:0", "nowhere")},
		{"discovery by name", with("127.0.0.1:1", "host.name:1")},
		{"too few sockets", with("100", "3")},
		{"no service classes", with("service_grades", "x")},
		{"too few sockets for operators", with(`"seed"`, `"ops":"127.0.0.1:0","seed"`)},
		{"operators without a port", with("100", "200", `"seed"`, `"ops":"nowhere","seed"`)},
		{"operators at the clients' address",
			with("100", "200", "127.0.0.1:0", "127.0.0.1:7", `"seed"`, `"ops":"127.0.0.1:7","seed"`)},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := ParseConfig([]byte(test.text)); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: %v", test.text, err)
			}
		})
	}
}

func TestPortsThatTheSystemChoosesAreNotTheSame(t *testing.T) {
	if _, err := ParseConfig([]byte(with("100", "200", `"seed"`, `"ops":"127.0.0.1:0","seed"`))); err != nil {
		t.Error(err)
	}
}

func TestMissingConfigurationFileIsAnError(t *testing.T) {
	if _, err := ReadConfig("/nowhere/at/all"); err == nil {
		t.Error("read what is not there")
	}
}

const testListeners = "[[listener]]\nlisten='127.0.0.1:0'\nprotocol='meta'\n" +
	"[[listener]]\nlisten='127.0.0.1:0'\nprotocol='http'\nready_path='/up'\n" +
	"[[listener.route]]\npath='/'\nmethods=['GET']\ngrade='read'\n"

// Without discovery a node stays in its first phase, in which it answers that it starts, by each listener in its own
// protocol. Then it goes through the others to its end.
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
		t.Error("listens where another does")
	}
	n.Shutdown()
	<-done
	n.LogCounters()
	if n.Phase() != Stopped || n.Counters().Requests != 1 {
		t.Error(n.Phase(), n.Counters())
	}
}

// ask sends a request and returns what is answered, at least so many bytes.
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

// The other nodes' connections were not counted: a node at its limit of descriptors could have exceeded it.
func TestFleetNeedsDescriptors(t *testing.T) {
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
