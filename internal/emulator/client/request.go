package client

import (
	"time"

	"dahliapin/internal/emulator/checker"
)

// Request is one request of a client.
type Request struct {
	ID             string
	Key            string
	IdempotencyKey string // empty for none
	Class          string // name of the service class
	Write          bool
	Retry          bool          // it was sent before
	Value          string        // of a write
	CachedValue    string        // by HTTP: what the client has, and asks whether it is still valid; empty for nothing
	Timeout        time.Duration // until the deadline
	AbandonAfter   time.Duration // after which the client goes without a response; 0 for never
	ReuseOnly      bool          // no new connection is made for it
}

// Response is what became of a request.
type Response struct {
	Final         checker.Final
	RetryAfter    time.Duration // stated by the node; 0 for nothing
	Value         string        // or the receipt of a write
	InvalidReason string        // what is not as it should be; empty for nothing
	Silent        bool          // nothing came in time
	Abandoned     bool          // the client went before
	NotSent       bool          // with ReuseOnly: no connection was open, or the node closed it at the same time
	Unsolicited   bool          // the connection had brought something that nobody asked for
	SentAt        time.Time
	ReceivedAt    time.Time

	closes bool // the node ends the connection
}
