package controlserver

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLogger passes raft's errors on to the log and its warnings as debug messages, and drops the rest. Where raft
// wants the process to end it panics, and raftLoop.run ends the server.
type raftLogger struct{ *logrus.Logger }

func (raftLogger) Debug(...any)                      {}
func (raftLogger) Debugf(string, ...any)             {}
func (raftLogger) Info(...any)                       {}
func (raftLogger) Infof(string, ...any)              {}
func (l raftLogger) Warning(args ...any)             { l.Logger.Debug(args...) }
func (raftLogger) Warningf(string, ...any)           {}
func (l raftLogger) Error(args ...any)               { l.Logger.Error(args...) }
func (raftLogger) Fatal(args ...any)                 { panic(fmt.Sprint(args...)) }
func (raftLogger) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (raftLogger) Panic(args ...any)                 { panic(fmt.Sprint(args...)) }
func (raftLogger) Panicf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
