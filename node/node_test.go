package node

import (
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

const posting = `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"memory_mb":64,"sockets":100},"settings":{"service_grades":[{"name":"read","hard_stop_s":0.1}]}}`

func TestAPostingThatCantBeUsedIsToldInOneLine(t *testing.T) {
	for _, bad := range []string{"", "no", "[1]", "{}", strings.Replace(posting, "127.0.0.1:0", "nowhere", 1),
		strings.Replace(posting, "127.0.0.1:1", "host.name:1", 1), strings.Replace(posting, "100", "3", 1),
		strings.Replace(posting, "service_grades", "x", 1), strings.Replace(posting, `"seed"`, `"ops":"127.0.0.1:0","seed"`, 1),
		strings.Replace(strings.Replace(posting, "100", "200", 1), `"seed"`, `"ops":"nowhere","seed"`, 1),
		strings.NewReplacer("100", "200", "127.0.0.1:0", "127.0.0.1:7", `"seed"`, `"ops":"127.0.0.1:7","seed"`).Replace(posting)} {
		if _, err := ParseConfig([]byte(bad)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", bad, err)
		}
	}
	if _, err := ParseConfig([]byte(strings.NewReplacer("100", "200", `"seed"`, `"ops":"127.0.0.1:0","seed"`).Replace(posting))); err != nil {
		t.Errorf("two ports that the system chooses are not the same: %v", err)
	}
	if _, err := ReadConfig("/nowhere/at/all"); err == nil {
		t.Error("read what is not there")
	}
}

func TestANodeGoesThroughItsPhases(t *testing.T) {
	p, err := ParseConfig([]byte(posting))
	if err != nil {
		t.Fatal(err)
	}
	file := t.TempDir() + "/o.toml"
	os.WriteFile(file, []byte("[[listener]]\nlisten='127.0.0.1:0'\nprotocol='meta'\n[[listener]]\nlisten='127.0.0.1:0'\nprotocol='http'\n"+
		"ready_path='/up'\n[[listener.route]]\npath='/'\nmethods=['GET']\ngrade='read'\n"), 0o600)
	if err := p.LoadListenersFile(file); err != nil {
		t.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	n, err := New(p, quiet)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan bool)
	go func() { n.Serve(); close(done) }()
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "mn\r\nmg k v Oa Pc=read,d=9\r\n")
	b := make([]byte, 99)
	k, _ := io.ReadAtLeast(c, b, len("SERVER_ERROR starting\r\nSERVER_ERROR busy\r\n"))
	if got := string(b[:k]); n.Phase() != Starting || got != "SERVER_ERROR starting\r\nSERVER_ERROR busy\r\n" {
		t.Errorf("%v, %q", n.Phase(), got)
	}
	for i, said := range []string{"SERVER_ERROR starting\r\n", "HTTP/1.1 503 "} { // each further listener speaks its own protocol
		c, err := net.Dial("tcp", n.ListenerAddr(i))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, []string{"mn\r\n", "GET /up HTTP/1.1\r\nHost: n\r\n\r\n"}[i])
		if k, _ := io.ReadAtLeast(c, b, len(said)); !strings.HasPrefix(string(b[:k]), said) {
			t.Errorf("listener %d: %q", i, b[:k])
		}
	}
	if _, err := New(&Config{Listen: n.Addr()}, quiet); err == nil {
		t.Error("listens where another does")
	}
	n.Shutdown()
	<-done
	if n.LogCounters(); n.Phase() != Stopped || n.Counters().Requests != 1 {
		t.Error(n.Phase(), n.Counters())
	}
}

// The other nodes' sockets were not counted: a node at its limit could have gone over it.
func TestOtherNodesNeedDescriptors(t *testing.T) {
	text := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{"sockets":%d},"settings":{"service_grades":[{"name":"read"}]}}`
	for sockets, want := range map[int]bool{64: false, 102: false, 103: true, 0: true} {
		p, err := ParseConfig([]byte(strings.Replace(text, "%d", strconv.Itoa(sockets), 1)))
		if err != nil {
			t.Fatal(err)
		}
		if err := p.ParseFleet("f", []byte("[fleet]\nlisten = \"127.0.0.1:7946\"\n")); (err == nil) != want {
			t.Errorf("%d sockets: %v", sockets, err)
		}
	}
}
