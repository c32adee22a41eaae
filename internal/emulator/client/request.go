package client

import (
	"time"

	"dahliapin/internal/emulator/checker"
)

// Request is a request of a client.
type Request struct {
	ID             string
	Key            string
	IdempotencyKey string // empty for none
	Class          string // name of the service class
	Write          bool
	Retry          bool          // the client sends the request again
	Value          string        // of a write; HTTP only: the content of a read, which no server may get
	CachedValue    string        // HTTP only: makes the request conditional on this value; empty for none
	Timeout        time.Duration // until the deadline
	AbandonAfter   time.Duration // time after which the client stops waiting for a response; 0 for never
	ReuseOnly      bool          // never opens a connection for the request
}

// Response is the outcome of a request.
type Response struct {
	Final         checker.Final
	RetryAfter    time.Duration // as stated by the node; 0 if it stated none
	Value         string        // the value of a read, or the receipt of a write
	InvalidReason string        // why the response is invalid; empty for a valid one
	Silent        bool          // no response arrived in time
	Abandoned     bool          // the client stopped waiting before a response arrived
	NotSent       bool          // ReuseOnly: no connection was idle, or the node closed it without reading the request
	Unsolicited   bool          // data had arrived on the connection before the request was sent
	SentAt        time.Time
	ReceivedAt    time.Time

	closes bool // the node closes the connection after the response
}
