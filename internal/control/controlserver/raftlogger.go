package controlserver

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLogger logs raft's warnings and errors at their own levels and drops its less important messages, such as those
// on each vote. It panics on Fatal and Panic; raftLoop.run recovers and stops the server.
type raftLogger struct{ *logrus.Logger }

func (raftLogger) Debug(...any)                      {}
func (raftLogger) Debugf(string, ...any)             {}
func (raftLogger) Info(...any)                       {}
func (raftLogger) Infof(string, ...any)              {}
func (raftLogger) Fatal(args ...any)                 { panic(fmt.Sprint(args...)) }
func (raftLogger) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (raftLogger) Panic(args ...any)                 { panic(fmt.Sprint(args...)) }
func (raftLogger) Panicf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
