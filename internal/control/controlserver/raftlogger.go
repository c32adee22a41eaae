package controlserver

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLogger logs raft's errors as errors and its unformatted warnings at debug level, and drops all other messages,
// also its formatted warnings. As of raft v3.7.0 all of its warnings are formatted, so none are logged. It panics on
// Fatal and Panic; raftLoop.run recovers and stops the server.
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
