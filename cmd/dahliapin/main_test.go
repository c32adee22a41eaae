package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const asProgram = "DAHLIAPIN_TEST_AS_PROGRAM" // set, the test's own binary is the program

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// SIGHUP ended the process with 129, and all that it had in hand was lost.
func TestSIGHUPMovesDiscoveryAndKeepsWhatRunsOverABadFile(t *testing.T) {
	heard := make(chan string, 99)
	discovery := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if heard <- name + r.URL.RawQuery; r.URL.RawQuery == "" {
				io.WriteString(w, `{"generation":7,"reset":true,"instances":[{"instanceId":"c","hostPort":"127.0.0.1:1"}]}`)
			} else {
				<-r.Context().Done() // a watch without news
			}
		}))
		t.Cleanup(s.CloseClientConnections)
		return strings.TrimPrefix(s.URL, "http://")
	}
	file := t.TempDir() + "/config.json"
	write := func(discovery, end string) {
		text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"settings":{"service_grades":[{}]}}`, discovery)
		if err := os.WriteFile(file, []byte(strings.TrimSuffix(text, end)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, second := discovery("first "), discovery("second ")
	write(first, "")
	program := exec.Command(os.Args[0], "serve", "--config", file)
	program.Env = append(os.Environ(), asProgram+"=1")
	out, err := program.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	defer program.Process.Kill()
	logged := make(chan string, 99)
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			logged <- s.Text()
		}
		close(logged)
	}()
	expect := func(from chan string, want string) (got string) {
		t.Helper()
		for by := time.After(20 * time.Second); !strings.Contains(got, want); {
			select {
			case got = <-from:
			case <-by:
				t.Fatalf("never: %s", want)
			}
		}
		return got
	}
	addr := expect(logged, "listening")
	addr = strings.FieldsFunc(addr[strings.Index(addr, "127."):], func(c rune) bool { return c == '"' || c == ' ' })[0]
	expect(heard, "first since=7")
	for _, step := range []struct{ discovery, end, logs, asks string }{
		{second, `]}}`, "the last one stays", ""}, // half written
		{second, "", "read again", "second since=7"},
		{second, "", "read again", ""},
		{first, "", "read again", "first since=7"},
	} {
		write(step.discovery, step.end)
		program.Process.Signal(syscall.SIGHUP)
		if expect(logged, step.logs); step.asks != "" {
			expect(heard, step.asks)
		}
		if c, err := net.Dial("tcp", addr); err != nil {
			t.Errorf("takes nobody after %q: %v", step.logs, err)
		} else {
			c.Close()
		}
	}
	program.Process.Signal(syscall.SIGTERM)
	expect(logged, "counters, stopped")
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}
