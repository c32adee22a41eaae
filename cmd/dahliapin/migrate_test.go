package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/node"
)

// The command must leave what stands alone, and never half a file.
func TestMigrateWritesBesideAndNothingElse(t *testing.T) {
	dir := t.TempDir()
	from, to := dir+"/old.json", dir+"/new.json"
	old := `{"name":"n","listen":"0.0.0.0:0","discovery":"127.0.0.1:1","settings":{"service_grades":[{"name":"read"}],"zone":"z"}}`
	if err := os.WriteFile(from, []byte(old), 0o640); err != nil {
		t.Fatal(err)
	}
	bad := dir + "/bad.json"
	os.WriteFile(bad, []byte("{"), 0o600)
	for _, c := range []struct {
		from, to     string
		dry, replace bool
		works        bool
	}{
		{from, to, true, false, true}, {bad, to, false, false, false}, {dir + "/none", to, false, false, false},
		{from, from, false, true, false}, {from, to, false, false, true}, {from, to, false, false, false}, {from, to, false, true, true},
	} {
		_, was := os.Stat(to)
		var said strings.Builder
		err := migrateFile(&said, c.from, c.to, c.dry, c.replace)
		if (err == nil) != c.works || err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v", c, err)
		}
		if _, is := os.Stat(to); (c.dry || !c.works) && (was == nil) != (is == nil) {
			t.Errorf("%+v wrote", c)
		}
		if c.works && !strings.Contains(said.String(), "settings.n_instances: fill in") {
			t.Errorf("%+v said %q", c, said.String())
		}
	}
	if kept, _ := os.ReadFile(from); string(kept) != old {
		t.Error("the old file was changed")
	}
	if all, _ := os.ReadDir(dir); len(all) != 3 {
		t.Errorf("left behind: %v", all)
	}
	if info, err := os.Stat(to); err != nil || info.Mode().Perm() != 0o640 {
		t.Error(info, err)
	}
}

// A node on a migrated file, with what had to be filled in, must ask its own zone's caches; on the old file all.
func TestAMigratedNodeKeepsToItsZoneAndGoesBack(t *testing.T) {
	heard := map[string]chan string{"home": make(chan string, 999), "far": make(chan string, 999)}
	var list []string
	for i := range 12 {
		zone := []string{"home", "far"}[i%2]
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				go func() { // a cache that has every value
					for r := bufio.NewReader(c); ; {
						line, err := r.ReadString('\n')
						if err != nil {
							return
						}
						heard[zone] <- line
						id := line[strings.Index(line, " O")+1:]
						io.WriteString(c, "VA 5 "+id[:strings.IndexAny(id, " \r")]+" h1\r\nhello\r\n")
					}
				}()
			}
		}()
		list = append(list, `{"instanceId":"`+l.Addr().String()+`","hostPort":"`+l.Addr().String()+`","zone":"`+zone+`","lifecycle":"in_service"}`)
	}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			io.WriteString(w, `{"generation":7,"reset":true,"instances":[`+strings.Join(list, ",")+`]}`)
		} else {
			<-r.Context().Done()
		}
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	dir := t.TempDir()
	from, to := dir+"/old.json", dir+"/new.json"
	os.WriteFile(from, []byte(`{"name":"n","listen":"127.0.0.1:0","discovery":"`+strings.TrimPrefix(discovery.URL, "http://")+`",
"settings":{"service_grades":[{"name":"read","effect":"idempotent","benefit":1,"soft_limit_s":0.2,"hard_stop_s":0.4}],"round_s":0.001,
"zone":"home","failure_domains":["home","far"],"n_instances":1}}`), 0o600)
	if err := migrateFile(io.Discard, from, to, false, false); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(to)
	filled := strings.Replace(string(text), `"zone":"home"`, `"tariffs":{"cross_zone":0.2},"zone":"home"`, 1)
	os.WriteFile(to, []byte(filled), 0o600)
	for _, c := range []struct {
		file string
		far  bool
	}{{from, true}, {to, false}, {from, true}} {
		p, err := node.ReadPosting(c.file)
		if err != nil {
			t.Fatal(err)
		}
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		n, err := node.New(p, quiet)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan bool)
		go func() { n.Serve(); close(done) }()
		for by := time.Now().Add(10 * time.Second); n.Phase() != node.Serving && time.Now().Before(by); {
			time.Sleep(time.Millisecond)
		}
		client, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		for i := range 24 {
			io.WriteString(client, "mg key"+string(rune('a'+i))+" v O"+string(rune('a'+i))+" Pc=read,d=400\r\n")
		}
		client.SetReadDeadline(time.Now().Add(10 * time.Second))
		for r, got := bufio.NewReader(client), 0; got < 24; {
			line, err := r.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if strings.HasPrefix(line, "hello") {
				got++
			}
		}
		client.Close()
		n.End()
		<-done
		home, far := len(heard["home"]), len(heard["far"])
		for _, ch := range heard {
			for len(ch) > 0 {
				<-ch
			}
		}
		if home == 0 || (far > 0) != c.far {
			t.Errorf("%s: %d legs at home, %d elsewhere", c.file, home, far)
		}
	}
}
