package syscallfault

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// childEnv is the environment variable that makes the test binary run as the traced child process.
const childEnv = "SYSCALLFAULT_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		openSockets()
		return
	}
	os.Exit(m.Run())
}

// openSockets opens a socket for each line of standard input and prints whether it failed with ENFILE.
func openSockets() {
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
		_ = unix.Close(fd)
		fmt.Println(errors.Is(err, unix.ENFILE))
	}
}

func TestTracerFailsCallsSelectedByRule(t *testing.T) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childEnv+"=1")
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	input, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	})
	answers := bufio.NewReader(output)
	fails := func() string {
		if _, err := io.WriteString(input, "open\n"); err != nil {
			t.Fatal(err)
		}
		answer, err := answers.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return strings.TrimSpace(answer)
	}
	got := []string{fails()}
	tracer, err := Attach(child.Process.Pid)
	if errors.Is(err, ErrNotPermitted) {
		t.Skip(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	injection := tracer.Inject(Rule{Call: NewSocket, Errno: unix.ENFILE, Schedule: Schedule{Every: 2, Limit: 1}})
	for range 4 {
		got = append(got, fails())
	}
	tracer.Clear()
	if want := "false false true false false"; strings.Join(got, " ") != want || injection.Injected() != 1 {
		t.Errorf("calls failed: %v, want %s; %d failures injected, want 1", got, want, injection.Injected())
	}
}
