package simwire

import "dahliapin/policy"

// The members of a batch and of a reply. Writer writes those of a reply.
const (
	keyTime   = "t_s"     // time of the batch, in seconds
	keyParts  = "parts"   // list of the events of each node
	keyNode   = "node_id" // number of the node
	keyEvents = "news"    // list of its events
)

// The names of events.
const (
	eventStart           = "begin"            // a node starts
	eventStop            = "destroy"          // a node is killed
	eventEndpointList    = "ledger"           // the content of an endpoint list, which has a number
	eventUpdateEndpoints = "fleet"            // a node is given one of these lists
	eventRequest         = "job_in"           // a request arrives
	eventAttemptDone     = "attempt_end"      // an attempt ends
	eventResponseStarted = "established"      // the response to the client has started
	eventClientGone      = "timed_out_client" // the client has stopped waiting
	eventHealthCheck     = "sampled"          // the result of a health check
	eventTimer           = "wake"             // a timer fires
	eventMessage         = "inbox"            // messages of other nodes; ignored
)

// The names of actions.
const (
	actionSend          = "place"         // start an attempt
	actionCancel        = "retract"       // cancel an attempt
	actionReject        = "shed"          // respond that the request was rejected and never ran
	actionFail          = "surrender"     // respond that the request failed
	actionSetTimer      = "timer"         // set a timer
	actionCheckHealth   = "touch"         // check an endpoint's health
	actionPollEndpoints = "keep_informed" // subscribe to the endpoint list
)

// flagWrite is the bit in the flags of a request that marks a write.
const flagWrite = 4

// updateKinds maps the names of the kinds of endpoint list updates.
var updateKinds = map[string]policy.UpdateKind{
	"delta":  policy.DeltaUpdate,
	"full":   policy.CompleteUpdate,
	"cached": policy.LastKnownUpdate,
	"failed": policy.PollFailed,
}

// lifecycles maps the names of endpoint states.
var lifecycles = map[string]policy.Lifecycle{
	"active":  policy.Ready,
	"leaving": policy.Draining,
	"left":    policy.Removed,
}

// results holds the results of attempts and health checks, indexed by their numbers on the wire.
var results = []policy.Result{
	policy.Answered,
	policy.Errored,
	policy.Rejected,
	policy.TimedOut,
	policy.ConnectFailed,
	policy.ConnectionBroken,
	policy.Cancelled,
	policy.NotSent,
	policy.CacheMiss,
}
