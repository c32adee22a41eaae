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

// runAsProgramEnv is the environment variable that makes the test binary act as the program.
const runAsProgramEnv = "DAHLIAPIN_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	// With the race detector a process sleeps a second before it exits, longer than a drain may last beyond deadlines.
	if os.Getenv(raceOptionsEnv) == "" {
		os.Setenv(raceOptionsEnv, "atexit_sleep_ms=0")
	}
	os.Exit(m.Run())
}

// raceOptionsEnv is the environment variable with the options of the race detector. Processes that the tests start
// inherit it.
const raceOptionsEnv = "GORACE"

// startProgram starts the program as a process, and returns a channel with the lines of its log as they are written.
func startProgram(t testing.TB, name string, args ...string) (*exec.Cmd, chan string) {
	t.Helper()
	program := exec.Command(name, args...)
	program.Env = append(os.Environ(), runAsProgramEnv+"=1")
	program.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a process group, for tracing
	out, err := program.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { program.Process.Kill() })
	logged := make(chan string, 99)
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			logged <- s.Text()
		}
		close(logged)
	}()
	return program, logged
}

// waitForLine reads lines until one contains want, and returns that line. It fails the test after 20 s.
func waitForLine(t testing.TB, from chan string, want string) (got string) {
	t.Helper()
	for timeout, ok := time.After(20*time.Second), true; !strings.Contains(got, want); {
		select {
		case got, ok = <-from:
		case <-timeout:
			ok = false
		}
		if !ok {
			t.Fatalf("no line contains: %s", want)
		}
	}
	return got
}

// TestSignalsDuringConfigurationRead guards against two failures: any signal during startup, even SIGHUP, ended the
// process, and SIGTERM was ignored while a configuration was read again. A FIFO in place of the configuration file
// blocks the program in the read. The program is started with the run command of deploy/balancer.toml, as the platform
// starts it, which ignores SIGHUP.
func TestSignalsDuringConfigurationRead(t *testing.T) {
	pipe := t.TempDir() + "/config.json"
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, run, _ := strings.Cut(string(deploy), "\nrun = \"")
	run, _, _ = strings.Cut(run, "\"\n")
	run = strings.Replace(run, "exec bin/dahliapin", "exec "+os.Args[0], 1) + " --config " + pipe
	reading := func() *os.File { // returns once the program has opened the pipe
		opened := make(chan *os.File, 1)
		go func() {
			f, _ := os.OpenFile(pipe, os.O_WRONLY, 0)
			opened <- f
		}()
		select {
		case f := <-opened:
			return f
		case <-time.After(20 * time.Second):
			t.Fatal("the program does not open its configuration")
			return nil
		}
	}
	early, _ := startProgram(t, "/bin/sh", "-c", run)
	f := reading()
	early.Process.Signal(syscall.SIGTERM)
	if err := early.Wait(); err != nil {
		t.Errorf("SIGTERM before serving: %v", err)
	}
	f.Close()
	program, logged := startProgram(t, "/bin/sh", "-c", run)
	f = reading()
	program.Process.Signal(syscall.SIGHUP)
	fmt.Fprint(f, `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"service_grades":[{}]}}`)
	f.Close()
	waitForLine(t, logged, "listening")
	f = reading() // read again after SIGHUP
	defer f.Close()
	for range 6 { // more than signalQueueSize
		program.Process.Signal(syscall.SIGUSR1)
	}
	program.Process.Signal(syscall.SIGTERM)
	waitForLine(t, logged, "counters, stopped")
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}

// TestSIGHUPReloadsConfiguration guards against SIGHUP ending the process with status 129, which lost all requests in
// flight. A reload must apply a new discovery address, and an invalid configuration must change nothing.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	polls := make(chan string, 99)
	discovery := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			polls <- name + r.URL.RawQuery
			if r.URL.RawQuery == "" {
				io.WriteString(w, `{"generation":7,"reset":true,`+
					`"instances":[{"instanceId":"c","hostPort":"127.0.0.1:1"}]}`)
			} else {
				<-r.Context().Done() // a long poll without an update
			}
		}))
		t.Cleanup(s.CloseClientConnections)
		return strings.TrimPrefix(s.URL, "http://")
	}
	file := t.TempDir() + "/config.json"
	write := func(discovery, end string) {
		text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,`+
			`"settings":{"service_grades":[{}]}}`, discovery)
		if err := os.WriteFile(file, []byte(strings.TrimSuffix(text, end)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, second := discovery("first "), discovery("second ")
	write(first, "")
	program, logged := startProgram(t, os.Args[0], "serve", "--config", file)
	expect := func(from chan string, want string) string { t.Helper(); return waitForLine(t, from, want) }
	addr := expect(logged, "listening")
	addr = strings.FieldsFunc(addr[strings.Index(addr, "127."):], func(c rune) bool { return c == '"' || c == ' ' })[0]
	expect(polls, "first since=7")
	for _, step := range []struct{ discovery, end, logs, polls string }{
		{second, `]}}`, "keeping the current configuration", ""}, // half written
		{second, "", "configuration reloaded", "second since=7"},
		{second, "", "configuration reloaded", ""},
		{first, "", "configuration reloaded", "first since=7"},
	} {
		write(step.discovery, step.end)
		program.Process.Signal(syscall.SIGHUP)
		expect(logged, step.logs)
		if step.polls != "" {
			expect(polls, step.polls)
		}
		if c, err := net.Dial("tcp", addr); err != nil {
			t.Errorf("accepts no connection after %q: %v", step.logs, err)
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
