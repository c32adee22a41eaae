package controlserver

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
)

// Raft's warnings and errors are logged at their own levels, and its other messages are dropped.
func TestRaftWarningsAndErrorsAreLogged(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	var log raft.Logger = raftLogger{logger}
	log.Debug("dropped")
	log.Debugf("%s", "dropped")
	log.Info("dropped")
	log.Infof("%s", "dropped")
	log.Warning("first")
	log.Warningf("%s", "second")
	log.Error("third")
	log.Errorf("%s", "fourth")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{
		"level=warning msg=first", "level=warning msg=second", "level=error msg=third", "level=error msg=fourth",
	}
	if len(lines) != len(want) {
		t.Fatalf("logged %q, want %q", lines, want)
	}
	for i := range want {
		if !strings.HasSuffix(lines[i], want[i]) {
			t.Errorf("logged %q, want %q", lines[i], want[i])
		}
	}
}
